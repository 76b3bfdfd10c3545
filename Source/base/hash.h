// A hash function with the same values in every process and on every machine.

#ifndef SOURCE_BASE_HASH_H_
#define SOURCE_BASE_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "xxhash.h"

namespace heatherwick {

// Use this where processes must agree on a hash value; absl::Hash has a
// different seed in each process.
inline uint64_t StableHash(absl::string_view bytes, uint64_t seed = 0) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace heatherwick

#endif  // SOURCE_BASE_HASH_H_
