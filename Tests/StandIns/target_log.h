// The log of the stand-in database and the rows that its applied part gives.

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
    uint64_t lsn = 0;  // Of the entry that wrote it.
  };

  // `entry.position.lsn` must be End().lsn + 1.
  void Append(const proto::LogEntry& entry, absl::Time received);
  void TruncateTo(uint64_t lsn);
  // Applies the entries that were received at `limit` or earlier.
  void ApplyReceivedUntil(absl::Time limit);

  proto::Position End() const { return PositionAt(m_entries.size()); }
  proto::Position AppliedEnd() const { return PositionAt(m_applied); }
  bool Contains(const proto::Position& position) const;
  bool AppliedContains(const proto::Position& position) const;
  // Log end of each term, newest last.
  std::vector<proto::Position> EndsOfTerms() const;
  // Length of the common part with a log that has these ends.
  uint64_t CommonWith(const proto::PullRequest& request) const;

  const proto::LogEntry& At(uint64_t lsn) const {
    return m_entries[lsn - 1].entry;
  }
  // Null when no entry records the key.
  const proto::LogEntry* FindKey(const std::string& key) const;
  // Of the applied part; an empty row when absent.
  Row Read(const std::string& key) const;

 private:
  struct Received {
    proto::LogEntry entry;
    absl::Time at;
  };

  proto::Position PositionAt(uint64_t lsn) const;
  void Apply(const proto::LogEntry& entry);

  std::vector<Received> m_entries;  // Index is LSN - 1.
  uint64_t m_applied = 0;           // At most m_entries.size().
  std::map<std::string, Row> m_rows;
  std::map<std::string, uint64_t> m_keys;       // LSN of each key.
  std::map<uint64_t, uint64_t> m_ends_by_term;  // LSN of each term's last.
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_LOG_H_
