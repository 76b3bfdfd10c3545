// The connections of this instance to one target: their number, the session
// state that each carries, and what their answers tell about the target.

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

#include "Source/gateway/configuration.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/target_link.h"
#include "absl/time/time.h"

namespace heatherwick {

using SessionValues = std::map<std::string, std::string>;

class TargetPool;

struct TargetConnection {
  TargetPool* pool = nullptr;
  std::unique_ptr<TargetLink> link;
  bool open = false;
  bool busy = false;     // Used by one request, transaction or status query.
  SessionValues values;  // As set on the connection.
  std::set<std::string> prepared;  // Names, as prepared on the connection.
  absl::Time since;                // Opening started, or last release.
  // Called when the connection is lost while busy.
  std::function<void(const Error&)> on_lost;
  std::optional<absl::Time> sent;  // Oldest unanswered statement.
};

// The pool's owner.
class PoolObserver {
 public:
  virtual ~PoolObserver() = default;

  // A connection became free, or a failed opening changed what is possible.
  virtual void OnCapacity(TargetPool* pool) = 0;
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
  // `guaranteed` connections are this instance's even share; up to `ceiling`
  // may be opened while the target accepts them.
  void SetLimits(size_t guaranteed, size_t ceiling);

  // A free open connection, marked busy; the one whose session values equal
  // `values` where there is one. Null when none is free.
  TargetConnection* Acquire(const SessionValues& values);
  // Opens a connection when fewer than `wanted` are being opened and the
  // limits allow it.
  void EnsureOpening(size_t wanted);
  void Release(TargetConnection* connection);
  // Closes the connection; the target rolls back what was open on it.
  void Drop(TargetConnection* connection);

  // Sends on a busy connection and keeps the target's statistics.
  void Send(TargetConnection* connection,
            TargetCommand command,
            ReplyHandler on_reply);
  // Asks on a free connection or on a new one.
  void QueryStatus(absl::Duration timeout,
                   std::function<void(std::optional<TargetStatus>)> done);

  void CloseIdle();

  size_t Busy() const;
  size_t OpenCount() const;
  absl::Time LastContact() const { return m_last_contact; }
  // Time since which something waits for an answer; the infinite future when
  // nothing does.
  absl::Time WaitingSince() const;
  // True while openings fail.
  bool Failing() const { return m_failures > 0; }
  absl::Duration Latency() const { return m_latency; }
  void NoteLagging(Position lacking, absl::Time until);
  // False while the target is known to lack `required`.
  bool MayHold(Position required, absl::Time now) const;

 private:
  void OnOpened(TargetConnection* connection, const Result<Position>& opened);
  void OnLost(TargetConnection* connection, const Error& error);
  void Open();
  void Remove(TargetConnection* connection);

  ListedTarget m_target;
  EventLoop* const m_loop;
  TargetDriver* const m_driver;
  PoolObserver* const m_observer;
  std::list<std::unique_ptr<TargetConnection>> m_connections;
  size_t m_guaranteed = 1;
  size_t m_ceiling = 1;
  absl::Time m_last_contact = absl::InfinitePast();
  absl::Time m_retry_at = absl::InfinitePast();
  absl::Time m_refused_at = absl::InfinitePast();
  int m_failures = 0;
  absl::Duration m_latency;
  Position m_lacking;
  absl::Time m_lacking_until = absl::InfinitePast();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_POOL_H_
