// Stores log entries, applies them to the rows, and truncates entries that a
// new primary does not have.

#include "Tests/StandIns/target_log.h"

#include <algorithm>

namespace heatherwick {

void TargetLog::Append(const proto::LogEntry& entry, absl::Time received) {
  m_entries.push_back({entry, received});
  const uint64_t lsn = m_entries.size();
  if (!entry.key().empty()) {
    m_lsn_by_key[entry.key()] = lsn;
  }
  m_last_lsn_by_term[entry.position().term()] = lsn;
}

void TargetLog::TruncateTo(uint64_t lsn) {
  if (lsn >= m_entries.size()) {
    return;
  }
  const std::vector<ReceivedEntry> kept(m_entries.begin(),
                                        m_entries.begin() + lsn);
  const uint64_t applied = std::min(m_applied, lsn);
  *this = TargetLog();
  for (const ReceivedEntry& received : kept) {
    Append(received.entry, received.at);
  }
  for (m_applied = 0; m_applied < applied; ++m_applied) {
    Apply(m_entries[m_applied].entry);
  }
}

void TargetLog::ApplyReceivedUntil(absl::Time limit) {
  while (m_applied < m_entries.size() && m_entries[m_applied].at <= limit) {
    Apply(m_entries[m_applied].entry);
    ++m_applied;
  }
}

void TargetLog::Apply(const proto::LogEntry& entry) {
  for (const auto& [key, value] : entry.writes()) {
    m_rows[key] = {value, entry.position().lsn()};
  }
}

proto::Position TargetLog::PositionAt(uint64_t lsn) const {
  return lsn == 0 ? proto::Position() : EntryAt(lsn).position();
}

bool TargetLog::Contains(const proto::Position& position) const {
  return position.lsn() <= m_entries.size() &&
         PositionAt(position.lsn()).term() == position.term();
}

bool TargetLog::AppliedContains(const proto::Position& position) const {
  return position.lsn() <= m_applied && Contains(position);
}

std::vector<proto::Position> TargetLog::TermEnds() const {
  std::vector<proto::Position> ends;
  for (const auto& entry : m_last_lsn_by_term) {
    ends.push_back(PositionAt(entry.second));
  }
  return ends;
}

uint64_t TargetLog::CommonPrefixLength(
    const proto::PullRequest& request) const {
  for (int i = request.ends_size() - 1; i >= 0; --i) {
    const auto own = m_last_lsn_by_term.find(request.ends(i).term());
    if (own != m_last_lsn_by_term.end()) {
      return std::min(own->second, request.ends(i).lsn());
    }
  }
  return 0;
}

const proto::LogEntry* TargetLog::FindKey(const std::string& key) const {
  const auto found = key.empty() ? m_lsn_by_key.end() : m_lsn_by_key.find(key);
  return found == m_lsn_by_key.end() ? nullptr : &EntryAt(found->second);
}

TargetLog::Row TargetLog::Read(const std::string& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? Row() : found->second;
}

}  // namespace heatherwick
