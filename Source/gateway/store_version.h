// Versions of rows, qualified by the era of the store. When the store returns
// from an older copy, it gives out versions again, and its era rises by one.
// The upper bits of a qualified version are the era, so that versions of two
// eras are ordered as the eras are. A store that names no era has era 0, and
// its qualified versions are the plain numbers.

#ifndef SOURCE_GATEWAY_STORE_VERSION_H_
#define SOURCE_GATEWAY_STORE_VERSION_H_

#include <cstdint>

namespace heatherwick {

// Enough for 400 writes a second for 87 years.
inline constexpr int kVersionNumberBits = 40;
inline constexpr uint64_t kMaxVersionNumber =
    (uint64_t{1} << kVersionNumberBits) - 1;
// Keeps qualified versions below kMaxCounter (see json_reader.h).
inline constexpr uint64_t kMaxEra = (uint64_t{1} << 20) - 1;

constexpr uint64_t QualifyVersion(uint64_t era, uint64_t number) {
  return (era << kVersionNumberBits) | number;
}

constexpr uint64_t EraOf(uint64_t version) {
  return version >> kVersionNumberBits;
}

constexpr uint64_t VersionNumber(uint64_t version) {
  return version & kMaxVersionNumber;
}

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_STORE_VERSION_H_
