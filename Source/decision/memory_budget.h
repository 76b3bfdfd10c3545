// Decides which connections of a process may receive more and which are closed,
// so that what all of them have buffered stays within the process's share of
// memory.

#ifndef SOURCE_DECISION_MEMORY_BUDGET_H_
#define SOURCE_DECISION_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace heatherwick {

struct MemoryLimits {
  // Holders are closed above this, in bytes.
  size_t total = 0;
  // A holder that has this much or less is never paused: the statements of an
  // ordinary caller are far below it.
  size_t small = 16 << 10;
  // While holders are paused, the one that may go on has this long for its
  // message before it is closed. A message of 1 MiB takes 0.9 s at 10 Mbit/s.
  absl::Duration turn = absl::Seconds(3);
};

// What one connection has buffered, in bytes.
struct MemoryUse {
  size_t input = 0;    // Received, and not run yet.
  size_t running = 0;  // Copies of the statement in progress.
  size_t output = 0;   // Not sent yet.
  bool in_transaction = false;
  // The connection has received a part of a message.
  bool message_unfinished = false;

  size_t Total() const { return input + running + output; }
};

class MemoryBudget {
 public:
  using HolderId = uint64_t;

  explicit MemoryBudget(MemoryLimits limits) : m_limits(limits) {}

  HolderId Add();
  void Remove(HolderId id, absl::Time now);
  void Report(HolderId id, const MemoryUse& use, absl::Time now);

  size_t Total() const { return m_total; }
  // False while the holder must not receive more of its message. Above half of
  // the limit only small holders receive, and the one whose message began
  // first, so that one message after the other is completed.
  bool MayReceive(HolderId id) const;
  // False while a statement that takes `bytes` has to wait. Above three
  // quarters of the limit one long statement runs at a time.
  bool MayRun(HolderId id, size_t bytes) const;
  // The holders to close now: as many as are needed to return to the limit, the
  // largest first and those with an open transaction last, and the one whose
  // message has taken longer than its turn while others waited.
  std::vector<HolderId> ToClose(absl::Time now);

 private:
  struct Holder {
    MemoryUse use;
    // Order in which the unfinished messages became larger than `small`; 0 if
    // there is none.
    uint64_t turn = 0;
  };

  bool Pressed() const { return m_total > m_limits.total / 2; }

  const MemoryLimits m_limits;
  std::map<HolderId, Holder> m_holders;
  std::map<uint64_t, HolderId> m_turns;
  HolderId m_next_id = 1;
  uint64_t m_next_turn = 1;
  size_t m_total = 0;         // Sum over m_holders.
  size_t m_long_running = 0;  // Holders whose statement is not small.
  // The holder whose turn it is, and since when while others wait.
  HolderId m_favoured = 0;
  absl::Time m_favoured_since = absl::InfiniteFuture();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_MEMORY_BUDGET_H_
