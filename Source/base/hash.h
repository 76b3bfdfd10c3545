// Hash values that are the same in every process and on every machine.

#ifndef SOURCE_BASE_HASH_H_
#define SOURCE_BASE_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "xxhash.h"

namespace heatherwick {

// absl::Hash is seeded per process, so two processes cannot agree on it.
inline uint64_t StableHash(absl::string_view bytes, uint64_t seed = 0) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace heatherwick

#endif  // SOURCE_BASE_HASH_H_
