// The replicated log of the stand-in database and the rows that result from
// its applied entries. An LSN is the 1-based number of an entry.

#ifndef TESTS_STANDINS_TARGET_LOG_H_
#define TESTS_STANDINS_TARGET_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Source/proto/target.pb.h"
#include "absl/time/time.h"

namespace heatherwick {

class TargetLog {
 public:
  struct Row {
    std::string value;
    uint64_t lsn = 0;  // LSN of the entry that wrote the row.
  };

  // `entry.position.lsn` must be End().lsn + 1.
  void Append(const proto::LogEntry& entry, absl::Time received);
  // Removes the entries after `lsn` and undoes those that were applied.
  void TruncateTo(uint64_t lsn);
  // Applies the entries that were received at `limit` or earlier.
  void ApplyReceivedUntil(absl::Time limit);

  proto::Position End() const { return PositionAt(m_entries.size()); }
  proto::Position AppliedEnd() const { return PositionAt(m_applied); }
  bool Contains(const proto::Position& position) const;
  bool AppliedContains(const proto::Position& position) const;
  // Position of the last entry of each term, newest term last.
  std::vector<proto::Position> TermEnds() const;
  // Length of the common prefix with the requester's log, whose last entry of
  // each term is listed in `request.ends`.
  uint64_t CommonPrefixLength(const proto::PullRequest& request) const;

  const proto::LogEntry& EntryAt(uint64_t lsn) const {
    return m_entries[lsn - 1].entry;
  }
  // Returns the entry that records the idempotency key, or null.
  const proto::LogEntry* FindKey(const std::string& key) const;
  // Reads from the applied entries; returns an empty row if there is none.
  Row Read(const std::string& key) const;

 private:
  struct ReceivedEntry {
    proto::LogEntry entry;
    absl::Time at;
  };

  proto::Position PositionAt(uint64_t lsn) const;
  void Apply(const proto::LogEntry& entry);

  std::vector<ReceivedEntry> m_entries;  // Index is LSN - 1.
  uint64_t m_applied = 0;                // At most m_entries.size().
  std::map<std::string, Row> m_rows;
  std::map<std::string, uint64_t> m_lsn_by_key;  // By idempotency key.
  // LSN of each term's last entry.
  std::map<uint64_t, uint64_t> m_last_lsn_by_term;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_LOG_H_
