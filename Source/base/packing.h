// Compresses values that are passed on between instances.

#ifndef SOURCE_BASE_PACKING_H_
#define SOURCE_BASE_PACKING_H_

#include <cstddef>
#include <string>

#include "Source/base/error.h"

namespace heatherwick {

// Larger values are not unpacked, so that a damaged message cannot make an
// instance run out of memory. The store's rows are smaller.
inline constexpr size_t kMaxUnpackedBytes = 16 << 20;

// Returns `value` in the zlib format.
std::string Pack(const std::string& value);

// Returns the value of `value_bytes` bytes that was packed. Fails if the bytes
// are damaged or the value has another size.
Result<std::string> Unpack(const std::string& packed, size_t value_bytes);

}  // namespace heatherwick

#endif  // SOURCE_BASE_PACKING_H_
