// Builds the names of rows and objects, and computes the content hash.

#include "Source/decision/sheet_head.h"

#include "absl/strings/str_cat.h"
#include "xxhash.h"

namespace heatherwick {

std::string SheetHistoryRow(uint64_t version) {
  return absl::StrCat("sheet/history/", version);
}

std::string SheetObjectName(absl::string_view content_hash) {
  return absl::StrCat("sheet/", content_hash);
}

std::string SheetContentHash(absl::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

}  // namespace heatherwick
