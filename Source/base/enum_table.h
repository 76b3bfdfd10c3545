// Tables of the names that enum values have in logs, settings and files.

#ifndef SOURCE_BASE_ENUM_TABLE_H_
#define SOURCE_BASE_ENUM_TABLE_H_

#include <cstddef>
#include <optional>

#include "absl/strings/string_view.h"

namespace heatherwick {

template <typename Enum>
struct EnumName {
  Enum value;
  absl::string_view name;
};

// Returns the name of `value`, or "invalid" if the table has no such value.
template <typename Enum, size_t kSize>
constexpr absl::string_view NameOf(const EnumName<Enum> (&table)[kSize],
                                   Enum value) {
  for (const EnumName<Enum>& row : table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "invalid";
}

// Returns the value called `name`, or nullopt if the table has no such name.
template <typename Enum, size_t kSize>
constexpr std::optional<Enum> ValueOf(const EnumName<Enum> (&table)[kSize],
                                      absl::string_view name) {
  for (const EnumName<Enum>& row : table) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace heatherwick

#endif  // SOURCE_BASE_ENUM_TABLE_H_
