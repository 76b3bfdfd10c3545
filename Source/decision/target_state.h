// One target as the group scheduler sees it: slots, connections and fitness.
//
// Invariants:
// - Busy connections, one for each running statement, never outnumber the
//   slots.
// - Connections, opening ones included, never outnumber the share, except
//   after the share was reduced; then the surplus closes as it falls idle.

#ifndef SOURCE_DECISION_TARGET_STATE_H_
#define SOURCE_DECISION_TARGET_STATE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/connection_policy.h"
#include "Source/decision/duration_model.h"
#include "Source/decision/group_scheduler.h"
#include "absl/time/time.h"

namespace heatherwick {

struct Connection {
  ConnectionId id = 0;
  bool open = false;  // False while it is being opened.
  RequestId running = 0;
  absl::Time started;         // Of the running statement.
  bool running_long = false;  // It was expected to be long.
  TransactionId transaction = 0;
  absl::Time idle_since;
  bool close_when_idle = false;

  bool IsFree() const {
    return open && running == 0 && transaction == 0 && !close_when_idle;
  }
};

class TargetState {
 public:
  TargetState(TargetRules rules, bool same_data_centre);

  const TargetId& Id() const { return m_rules.id; }
  const TargetRules& Rules() const { return m_rules; }
  bool SameDataCentre() const { return m_same_data_centre; }
  void SetRules(TargetRules rules, bool same_data_centre);
  // The rules no longer contain the target.
  void Remove(absl::Time now);
  bool IsRemoved() const { return m_removed; }

  void OnHealth(const TargetHealth& health, absl::Time now);
  // Raises the known ends of the target's log within its term.
  void OnPosition(PositionKind kind, Position last);
  // End of its received log, as far as it has shown it in this term.
  Position Received() const { return m_received; }
  const TargetHealth& Health() const { return m_health; }
  absl::Time HealthAt() const { return m_health_at; }
  absl::Duration AgeAt(absl::Time now) const;
  // Open transactions may still take steps shortly after the target began to
  // leave.
  bool HasLeft(absl::Time now) const;
  bool AcceptsSteps(absl::Time now) const;
  bool AcceptsNewWork(absl::Time now) const;

  // A target that refuses statements gets a pause that doubles each time.
  void OnRefused(bool primary, absl::Time now);
  void OnRan();
  // New knowledge, such as a promotion, ends the pause.
  void EndPause();

  // 0 to 1, growing after the target was last unfit for reads of `max_age`.
  double Recovery(absl::Duration max_age, absl::Time now) const;
  void MarkUnfit(absl::Duration max_age, absl::Time now);

  uint32_t Running() const { return m_running; }
  bool HasFreeSlot() const { return m_running < m_rules.slots; }
  uint32_t RunningLong(const DurationModel& durations, absl::Time now) const;
  bool HasFreeConnection() const { return FreeConnection() != nullptr; }
  // The free connection that was used last, so that surplus ones age.
  const Connection* FreeConnection() const;
  uint32_t PinnedTransactions() const;
  ConnectionDemand Demand(uint32_t waiting) const;

  void Start(ConnectionId connection,
             const ScheduledRequest& request,
             bool is_long,
             absl::Time now);
  // Ends the running statement; false when `request` does not run there.
  bool Finish(ConnectionId connection, RequestId request, absl::Time now);
  Connection* Find(ConnectionId connection);
  // Returns the erased connection; its id is 0 when it is unknown.
  Connection Erase(ConnectionId connection);
  void AddOpening(ConnectionId connection, absl::Time now);
  std::vector<Connection>& Connections() { return m_connections; }
  const std::vector<Connection>& Connections() const { return m_connections; }

  // Opening failed: waits before the next attempt, doubling each time.
  void OnOpenFailed(absl::Time now);
  void OnOpened();
  bool MayOpen(absl::Time now) const;

 private:
  struct Unfit {
    absl::Duration max_age;
    absl::Time at;
  };

  TargetRules m_rules;
  bool m_same_data_centre = false;
  bool m_removed = false;
  TargetHealth m_health;
  Position m_received;
  absl::Time m_health_at = absl::InfinitePast();
  absl::Time m_leaving_since = absl::InfiniteFuture();
  uint32_t m_running = 0;
  std::vector<Connection> m_connections;
  std::vector<Unfit> m_unfit;  // One for each allowed age in use.
  uint32_t m_refusals = 0;     // In a row.
  absl::Time m_paused_until = absl::InfinitePast();
  absl::Duration m_open_back_off;
  absl::Time m_open_after = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_TARGET_STATE_H_
