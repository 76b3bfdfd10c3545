// Limits the log lines on entries of a table that cannot be used. A writer that
// renews its bad entry every second would otherwise fill the log.

#ifndef SOURCE_BASE_REJECTED_ENTRIES_H_
#define SOURCE_BASE_REJECTED_ENTRIES_H_

#include <map>
#include <string>

#include "Source/base/error.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

class RejectedEntries {
 public:
  // `table` is named in the log lines.
  explicit RejectedEntries(std::string table) : m_table(std::move(table)) {}

  // Logs the entry unless it was rejected for the same cause before.
  void Reject(absl::string_view key, const Error& error);
  // The entry can be used, or is gone.
  void Accept(absl::string_view key);

  // Entries whose causes are remembered; further ones are logged once in all.
  static constexpr size_t kMaxEntries = 1000;

 private:
  const std::string m_table;
  std::map<std::string, std::string, std::less<>> m_causes;  // By key.
  bool m_full_logged = false;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_REJECTED_ENTRIES_H_
