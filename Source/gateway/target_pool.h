// This instance's connection pool for one target: limits the number of
// connections, tracks the session state that each carries, and derives the
// target's latency and health from the replies.

#ifndef SOURCE_GATEWAY_TARGET_POOL_H_
#define SOURCE_GATEWAY_TARGET_POOL_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/decision/connection_share.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/target_link.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

using SessionValues = std::map<std::string, std::string>;

class TargetPool;

struct TargetConnection {
  TargetPool* pool = nullptr;
  std::unique_ptr<TargetLink> link;
  WorkspaceName workspace;  // Empty if the connection belongs to none.
  bool open = false;
  bool busy = false;     // In use by a request, transaction or status query.
  SessionValues values;  // Set on the connection.
  std::set<std::string> prepared;  // Names prepared on the connection.
  // The connection carries state of another instance's sessions.
  bool needs_reset = false;
  // When opening started, when the connection opened or when it was last
  // released, whichever is latest.
  absl::Time state_changed_at;
  // Called if the connection is lost while it is busy.
  std::function<void(const Error&)> on_lost;
  absl::Time opened_at;
  // When the oldest unanswered command was sent.
  std::optional<absl::Time> unanswered_since;
  // Runs while a ROLLBACK or RESET is unanswered.
  std::unique_ptr<Timer> cleanup_timer;
};

// Implemented by the pool's owner.
class PoolObserver {
 public:
  virtual ~PoolObserver() = default;

  // A connection became free, or one was opened, failed to open or was closed,
  // so that waiting statements should be dispatched again.
  virtual void OnPoolChanged(TargetPool* pool) = 0;
  // Counts an event of a connection: opened, replaced or refused.
  virtual void CountConnection(absl::string_view) {}
};

class TargetPool {
 public:
  TargetPool(ListedTarget target,
             EventLoop* loop,
             TargetDriver* driver,
             PoolObserver* observer);
  ~TargetPool();

  const ListedTarget& Target() const { return m_target; }
  void Update(ListedTarget target) { m_target = std::move(target); }
  // `guaranteed` is this instance's equal share of the connections; up to
  // `maximum` may be opened while the target accepts them.
  void SetLimits(size_t guaranteed, size_t maximum);

  // Marks a free open connection of `workspace` busy and returns it, preferring
  // one whose session values equal `values`. Returns null if none is free, or
  // if the free ones must be left to another workspace.
  TargetConnection* Acquire(const WorkspaceName& workspace,
                            const SessionValues& values);
  // As Acquire(), but never returns a borrowed connection.
  TargetConnection* AcquireToLend(const WorkspaceName& workspace);
  // Connections of this instance itself that are open.
  size_t OwnOpenCount() const;
  // True if the target has refused a connection lately because of its limit.
  bool AtLimit() const;
  // Opens connections until `wanted_count` of `workspace` are being opened, as
  // far as the limits allow. Idle connections of other workspaces may be closed
  // for this.
  void EnsureOpening(const WorkspaceName& workspace, size_t wanted_count);
  void Release(TargetConnection* connection);
  // Closes the connection and notifies the observer later. The target rolls
  // back any transaction open on it.
  void CloseAndNotify(TargetConnection* connection);

  // Sends on a busy connection and updates the target's statistics. A
  // connection on which a ROLLBACK or RESET stays unanswered is closed as lost.
  void Send(TargetConnection* connection,
            TargetCommand command,
            ReplyHandler on_reply);
  // Queries the target on a free connection or on a new one. The connection is
  // not borrowed, so that a lender's failure does not look like the target's.
  void QueryStatus(absl::Duration timeout,
                   std::function<void(std::optional<TargetStatus>)> done);

  // Closes surplus idle connections and those that took too long to open.
  void CloseIdle();

  size_t Busy() const;
  size_t OpenCount() const;
  // Connections of this instance itself on which a command runs. Those of an
  // open transaction that pauses do not count, because it uses no slot.
  size_t RunningCount() const;
  absl::Time LastContact() const { return m_last_contact; }
  // When the oldest pending opening or unanswered command started; the infinite
  // future if there is none.
  absl::Time OldestUnansweredTime() const;
  // True if opening a connection failed since the target last accepted one or
  // replied. A refusal for too many connections does not count.
  bool OpeningFails() const { return m_consecutive_open_failures > 0; }
  absl::Duration Latency() const { return m_latency; }
  // What a statement sent now is known to take: the average, the latest reply
  // or the age of a command that has no reply yet, whichever is longest.
  // Nothing if no statement was answered lately.
  std::optional<absl::Duration> KnownLatency() const;
  // The target has refused a read because its log lacks `missing_position`. It
  // gets no read that requires it for a time that doubles with each refusal.
  void MarkLagging(Position missing_position);
  // False while the target is known to lack the position `required`.
  bool MayHavePosition(Position required, absl::Time now) const;

 private:
  void OnOpened(TargetConnection* connection, const Result<Position>& opened);
  void OnConnectionLost(TargetConnection* connection, const Error& error);
  void OnCleanupTimeout(TargetConnection* connection);
  TargetConnection* Open(const WorkspaceName& workspace, bool direct);
  // Borrows a connection while the target accepts none. The connection is open
  // at once.
  void BorrowOne(const WorkspaceName& workspace);
  void Remove(TargetConnection* connection);
  // This instance's own connections in the form that ConnectionShare needs, in
  // the order of m_connections.
  std::vector<SharedConnection> OwnConnections() const;
  // True if the free connection must be left to another workspace.
  bool MustYield(const TargetConnection* connection) const;
  // Opens a connection if ConnectionShare allows it.
  bool OpenShared(const WorkspaceName& workspace, size_t limit);
  // Closes an idle connection for a status query, if connections belong to
  // workspaces and the pool has its number of them.
  void MakeRoomForQuery();
  // Has waiting statements dispatched again after `delay`.
  void NotifyAfter(absl::Duration delay);
  TargetConnection* OwnConnection(size_t index) const;

  ListedTarget m_target;
  EventLoop* const m_loop;
  TargetDriver* const m_driver;
  PoolObserver* const m_observer;
  std::list<std::unique_ptr<TargetConnection>> m_connections;
  ConnectionShare m_share;
  std::unique_ptr<Timer> m_share_timer;
  absl::Time m_notify_at = absl::InfiniteFuture();
  size_t m_guaranteed = 1;
  size_t m_maximum = 1;
  absl::Time m_last_contact = absl::InfinitePast();
  absl::Time m_retry_at = absl::InfinitePast();
  absl::Time m_over_limit_at = absl::InfinitePast();
  int m_consecutive_open_failures = 0;
  absl::Duration m_latency;
  // Of the latest reply to a statement, and when it came.
  absl::Duration m_latest_latency;
  absl::Time m_latest_latency_at = absl::InfinitePast();
  Position m_missing_position;
  absl::Time m_lagging_until = absl::InfinitePast();
  absl::Duration m_lagging_delay;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_POOL_H_
