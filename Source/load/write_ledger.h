// Records every write of a load run with the outcome that was reported for it,
// and checks the results of reads against these records.
//
// A write "S.n" (session S, number n) adds 1 to the row once:S.n and appends
// "S.n," to the row log:S:b, where b is its block. A transaction also adds 1
// to pair_a:S and, in another statement, to pair_b:S. The rows therefore show
// whether a write ran twice, was lost, or ran only in part.

#ifndef SOURCE_LOAD_WRITE_LEDGER_H_
#define SOURCE_LOAD_WRITE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class WriteState { kUnknown, kDone, kNotRun };

struct LoadWrite {
  uint64_t session = 0;
  uint64_t number = 0;  // Unique within the session.
  std::string group;
  std::string caller;
  WriteState state = WriteState::kUnknown;
  absl::Time acknowledged_at = absl::InfiniteFuture();

  std::string Name() const;  // "S.n", also its idempotency key.
};

// Identifies the writes of one session and group that share a log row.
struct WriteBlock {
  std::string group;
  uint64_t session = 0;
  uint64_t block = 0;

  auto operator<=>(const WriteBlock&) const = default;
};

std::string LogRow(const WriteBlock& block);
std::string OnceRow(const std::string& write_name);

class WriteLedger {
 public:
  static constexpr uint64_t kWritesInBlock = 16;

  // All methods are thread-safe.
  LoadWrite Begin(uint64_t session,
                  const std::string& group,
                  const std::string& caller);
  void Settle(const LoadWrite& write, WriteState state, absl::Time now);

  // The latest block of the session in the group, or nothing if the session has
  // not written to the group.
  std::optional<WriteBlock> LastBlock(uint64_t session,
                                      const std::string& group) const;
  // Names of the block's writes that were acknowledged at `time` or earlier.
  std::vector<std::string> AcknowledgedUntil(const WriteBlock& block,
                                             absl::Time time) const;

  std::vector<LoadWrite> UnknownWrites() const;
  std::map<WriteBlock, std::vector<LoadWrite>> AllBlocks() const;

  // Checks the content of a block's log row. Returns a description of the first
  // fault: an entry that is not a write of the session, a duplicate write or a
  // missing write of `required`. Returns nothing if the content is right.
  static std::optional<std::string> CheckLogRow(
      const WriteBlock& block,
      const std::string& content,
      const std::vector<std::string>& required);

  // Describes every fault in the final rows of a block. `once` holds the
  // content of the once row of each write, in the order of `writes`.
  static std::vector<std::string> CheckFinalRows(
      const WriteBlock& block,
      const std::vector<LoadWrite>& writes,
      const std::string& log,
      const std::vector<std::string>& once);

 private:
  static WriteBlock BlockOf(const LoadWrite& write);

  mutable absl::Mutex m_mutex;
  std::map<WriteBlock, std::vector<LoadWrite>> m_blocks
      ABSL_GUARDED_BY(m_mutex);
  std::map<uint64_t, uint64_t> m_last_number ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_WRITE_LEDGER_H_
