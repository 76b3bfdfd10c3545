// State of one target in the group scheduler: its slots, its connections and
// whether it is suitable for new work.
//
// Invariants:
// - There are never more busy connections than slots, except after the number
//   of slots was reduced: the running statements then continue to their end.
//   Each running statement makes one connection busy.
// - There are never more connections, including those being opened, than this
//   instance's share, except after the share was reduced: the surplus
//   connections are then closed when they become idle.

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
  absl::Time started;    // Of the running statement.
  bool is_long = false;  // The running statement may be long.
  TransactionId transaction = 0;
  absl::Time idle_since;
  bool close_when_idle = false;

  bool IsFree() const {
    return open && running == 0 && transaction == 0 && !close_when_idle;
  }
};

class TargetState {
 public:
  TargetState(TargetConfig config, bool same_data_centre);

  const TargetId& Id() const { return m_config.id; }
  const TargetConfig& Config() const { return m_config; }
  bool SameDataCentre() const { return m_same_data_centre; }
  void SetConfig(TargetConfig config, bool same_data_centre);
  // The group's configuration no longer contains the target.
  void Remove(absl::Time now);
  bool IsRemoved() const { return m_removed; }

  void OnHealth(const TargetHealth& health, absl::Time now);
  // Advances the known log end of the given kind. Ignores positions of other
  // terms than that of the last health report.
  void OnPosition(PositionKind kind, Position last);
  // End of the log that the target is known to have received in this term.
  Position Received() const { return m_received; }
  const TargetHealth& Health() const { return m_health; }
  absl::Time HealthReportedAt() const { return m_health_reported_at; }
  absl::Duration AgeAt(absl::Time now) const;
  // Whether the target began to leave so long ago that its open transactions
  // may not run further statements.
  bool LeavingGraceExpired(absl::Time now) const;
  bool AcceptsTransactionSteps(absl::Time now) const;
  bool AcceptsNewWork(absl::Time now) const;

  // Counts a refused statement. A refusal by the primary, or several in a row
  // by a replica, starts a backoff, which doubles with each further refusal.
  void OnRefused(bool primary, absl::Time now);
  void OnRan();
  // Called after an event such as a promotion, which may have removed the cause
  // of the refusals.
  void ResetBackoff();

  // Rises from 0 to 1 after the target was last unsuitable for reads that
  // allow `max_age`.
  double Recovery(absl::Duration max_age, absl::Time now) const;
  void MarkUnsuitable(absl::Duration max_age, absl::Time now);

  uint32_t Running() const { return m_running; }
  bool HasFreeSlot() const { return m_running < m_config.slots; }
  uint32_t LongRunningCount(const DurationModel& durations,
                            absl::Time now) const;
  bool HasFreeConnection() const { return FreeConnection() != nullptr; }
  // Returns the most recently used free connection, so that surplus connections
  // reach their idle timeout; null if there is none.
  const Connection* FreeConnection() const;
  uint32_t PinnedTransactionCount() const;
  ConnectionDemand Demand(uint32_t waiting) const;

  void Start(ConnectionId connection,
             const ScheduledRequest& request,
             bool is_long,
             absl::Time now);
  // Ends the running statement. Returns false if `request` does not run on
  // `connection`.
  bool Finish(ConnectionId connection, RequestId request, absl::Time now);
  Connection* Find(ConnectionId connection);
  // Returns the erased connection, or one with id 0 if `connection` is unknown.
  Connection Erase(ConnectionId connection);
  void AddOpening(ConnectionId connection, absl::Time now);
  std::vector<Connection>& Connections() { return m_connections; }
  const std::vector<Connection>& Connections() const { return m_connections; }

  // Starts a backoff before the next attempt to open a connection. The backoff
  // doubles with each failure.
  void OnOpenFailed(absl::Time now);
  void OnOpened();
  bool MayOpen(absl::Time now) const;

 private:
  struct Unsuitability {
    absl::Duration max_age;
    absl::Time last_seen;  // Last time at which the target was unsuitable.
  };

  TargetConfig m_config;
  bool m_same_data_centre = false;
  bool m_removed = false;
  TargetHealth m_health;
  Position m_received;
  absl::Time m_health_reported_at = absl::InfinitePast();
  absl::Time m_leaving_since = absl::InfiniteFuture();
  uint32_t m_running = 0;
  std::vector<Connection> m_connections;
  std::vector<Unsuitability> m_unsuitable;  // One entry for each allowed age.
  uint32_t m_refusals = 0;                  // Consecutive.
  absl::Time m_backoff_until = absl::InfinitePast();
  absl::Duration m_open_backoff;
  absl::Time m_open_backoff_until = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_TARGET_STATE_H_
