// In-process fake of a target (a database server) for load experiments. It has
// slots, a log, terms, and replication by pulls that can be made to lag.

#ifndef SOURCE_LOAD_FAKE_TARGET_H_
#define SOURCE_LOAD_FAKE_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/failover_controller.h"
#include "Source/decision/group_scheduler.h"
#include "Source/load/event_queue.h"
#include "absl/time/time.h"

namespace heatherwick {

struct FakeStatement {
  RequestClass request_class = RequestClass::kWrite;
  uint64_t term = 0;
  absl::Duration max_age;
  Position min_position;
  absl::Duration service;
};

struct FakeReply {
  StatementEnd end = StatementEnd::kRan;
  // End of the log when the statement ended. The simulation uses it only for
  // writes and current reads.
  Position position;
};

class FakeTarget {
 public:
  using ReplyHandler = std::function<void(FakeReply)>;
  // Receives the term and the end of the log. It is not called after the target
  // has crashed.
  using PositionHandler = std::function<void(uint64_t, Position)>;

  FakeTarget(TargetId id, uint32_t slots, EventQueue* events);

  const TargetId& Id() const { return m_id; }
  bool IsPrimary() const { return m_primary && !m_crashed; }
  bool HasCrashed() const { return m_crashed; }
  uint64_t Term() const { return m_term; }
  Position LastPosition() const { return m_last_position; }
  absl::Duration Age() const;
  // Greatest number of statements that were at the target at the same time,
  // including refused ones.
  uint32_t MaxConcurrentStatements() const {
    return m_max_concurrent_statements;
  }

  // Each of the following methods handles a message that arrives at the target.
  void Execute(const FakeStatement& statement, ReplyHandler reply);
  TargetStatus Status() const;
  bool Fence(uint64_t term);
  bool Promote(uint64_t term);
  void WaitPosition(Position position,
                    absl::Duration timeout,
                    PositionHandler reply);
  // Copies the log of `primary` up to the end that it had `lag` ago.
  void Pull(const FakeTarget& primary, absl::Duration lag);

  void BecomePrimary(uint64_t term);
  void Crash();

 private:
  struct LogEnd {
    absl::Time at;
    Position position;
  };
  struct PositionWait {
    Position position;
    absl::Time deadline;
    PositionHandler reply;
  };

  bool Accepts(const FakeStatement& statement) const;
  void Complete(const FakeStatement& statement, const ReplyHandler& reply);
  void Append();
  Position LastPositionAt(absl::Time time) const;
  void ReplyToWaits();

  const TargetId m_id;
  const uint32_t m_slots;
  EventQueue* const m_events;
  bool m_primary = false;
  bool m_crashed = false;
  uint64_t m_term = 0;
  Position m_last_position;
  std::deque<LogEnd> m_history;
  absl::Time m_complete_until;        // A replica has all older writes.
  absl::Time m_last_primary_contact;  // When the last pull succeeded.
  uint32_t m_running_statements = 0;
  uint32_t m_max_concurrent_statements = 0;
  std::vector<PositionWait> m_waits;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_FAKE_TARGET_H_
