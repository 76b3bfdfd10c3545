// An in-process target for load experiments: slots, a log position, terms,
// and replication by pulls that can be made to lag.

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
  Position position;  // End of the log for a write or a current read.
};

class FakeTarget {
 public:
  using ReplyHandler = std::function<void(FakeReply)>;
  // Term and end of the log; never called when the target has crashed.
  using PositionHandler = std::function<void(uint64_t, Position)>;

  FakeTarget(TargetId id, uint32_t slots, EventQueue* events);

  const TargetId& Id() const { return m_id; }
  bool IsPrimary() const { return m_primary && !m_crashed; }
  bool HasCrashed() const { return m_crashed; }
  uint64_t Term() const { return m_term; }
  Position Last() const { return m_last; }
  absl::Duration Age() const;
  // Most statements that were in the target at the same time.
  uint32_t MostStatements() const { return m_most_statements; }

  // All events below are the arrival of a message at the target.
  void Execute(const FakeStatement& statement, ReplyHandler reply);
  TargetStatus Status() const;
  bool Fence(uint64_t term);
  bool Promote(uint64_t term);
  void WaitPosition(Position position,
                    absl::Duration timeout,
                    PositionHandler reply);
  // Takes over what `primary` had in its log `lag` ago.
  void Pull(const FakeTarget& primary, absl::Duration lag);

  void BecomeFirstPrimary(uint64_t term);
  void Crash();

 private:
  struct LogEnd {
    absl::Time at;
    Position position;
  };
  struct PositionWait {
    Position position;
    absl::Time until;
    PositionHandler reply;
  };

  bool Accepts(const FakeStatement& statement) const;
  void Complete(const FakeStatement& statement, const ReplyHandler& reply);
  void Append();
  Position LastAt(absl::Time time) const;
  void AnswerWaits();

  const TargetId m_id;
  const uint32_t m_slots;
  EventQueue* const m_events;
  bool m_primary = false;
  bool m_crashed = false;
  uint64_t m_term = 0;
  Position m_last;
  std::deque<LogEnd> m_history;
  absl::Time m_complete_at;  // A replica has everything older than this.
  absl::Time m_heard_at;     // The primary answered the last pull.
  uint32_t m_statements = 0;
  uint32_t m_most_statements = 0;
  std::vector<PositionWait> m_waits;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_FAKE_TARGET_H_
