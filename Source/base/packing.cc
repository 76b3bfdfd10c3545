// Packs values with zlib.

#include "Source/base/packing.h"

#include <zlib.h>

namespace heatherwick {
std::string Pack(const std::string& value) {
  uLongf size = compressBound(value.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(value.data()), value.size(),
            Z_DEFAULT_COMPRESSION);
  packed.resize(size);
  return packed;
}

Result<std::string> Unpack(const std::string& packed, size_t value_bytes) {
  const Error damaged{ErrorKind::kInvalidArgument,
                      "the packed value is damaged or too large",
                      "check that all instances run compatible versions"};
  if (value_bytes > kMaxUnpackedBytes) {
    return damaged;
  }
  std::string value(value_bytes, '\0');
  uLongf size = value.size();
  const int status =
      uncompress(reinterpret_cast<Bytef*>(value.data()), &size,
                 reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (status != Z_OK || size != value_bytes) {
    return damaged;
  }
  return value;
}

}  // namespace heatherwick
