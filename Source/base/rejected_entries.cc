// Remembers the cause that was logged for each entry.

#include "Source/base/rejected_entries.h"

#include "absl/strings/escaping.h"
#include "glog/logging.h"

namespace heatherwick {

void RejectedEntries::Reject(absl::string_view key, const Error& error) {
  const auto found = m_causes.find(key);
  if (found != m_causes.end()) {
    if (found->second == error.message) {
      return;
    }
    found->second = error.message;
  } else if (m_causes.size() < kMaxEntries) {
    m_causes.emplace(std::string(key), error.message);
  } else {
    LOG_IF(WARNING, !m_full_logged)
        << "event=entries_rejected table=" << m_table
        << " count_above=" << kMaxEntries
        << " outcome=\"further entries are not logged\"";
    m_full_logged = true;
    return;
  }
  LOG(WARNING) << "event=entry_rejected table=" << m_table << " key=\""
               << absl::CHexEscape(key) << "\" cause=\""
               << absl::CHexEscape(error.message) << "\"";
}

void RejectedEntries::Accept(absl::string_view key) {
  const auto found = m_causes.find(key);
  if (found != m_causes.end()) {
    m_causes.erase(found);
  }
}

}  // namespace heatherwick
