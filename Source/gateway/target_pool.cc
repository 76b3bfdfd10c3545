// Opens, hands out and closes the connections to one target.

#include "Source/gateway/target_pool.h"

#include <algorithm>
#include <utility>

#include "glog/logging.h"

namespace heatherwick {
namespace {

// A target that does not accept connections is tried again after a delay that
// doubles with each failure, from twice kRetryDelayBase up to kMaxRetryDelay.
constexpr absl::Duration kRetryDelayBase = absl::Milliseconds(50);
constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(400);
// After a target refused a connection because of its limit, the pool opens no
// more than the guaranteed connections, but at least one, for this time.
constexpr absl::Duration kReducedLimitDuration = absl::Seconds(1);
// A target keeps the connections of a crashed machine for 3 s. Each refused
// attempt costs the target time, so attempts are delayed after a refusal.
constexpr absl::Duration kOverLimitRetryDelay = absl::Milliseconds(150);
// A connection that is not open after this time is given up. Opening takes
// about 12 ms, and longer under load, because it waits for a slot of the
// target.
constexpr absl::Duration kOpenTimeout = absl::Milliseconds(800);
// Statements and transactions that borrow at the same time while the target
// accepts no connection.
constexpr size_t kMaxBorrowed = 8;
// A replica usually receives a position within its replication lag. One that
// lags by seconds would use up the attempts of each read.
constexpr absl::Duration kLaggingDelay = absl::Milliseconds(30);
constexpr absl::Duration kMaxLaggingDelay = absl::Milliseconds(240);
// Idle connections beyond the guaranteed ones are closed after this.
constexpr absl::Duration kSurplusIdleTimeout = absl::Milliseconds(500);
// Idle connections are closed after this if none is guaranteed. The next
// statement of a session often follows within this time.
constexpr absl::Duration kOnDemandIdleTimeout = absl::Milliseconds(150);
// Time limit of a ROLLBACK or RESET. Nobody else may be waiting for its reply,
// so a lost one would keep the connection busy for ever. A target that answers
// nothing for 3 s has also given up the connection (its TCP timeout).
constexpr absl::Duration kCleanupTimeout = absl::Seconds(3);
// Weight of the newest sample in the moving average of the latency.
constexpr double kLatencyWeight = 0.15;
// An instance of the larger deployment sends a read to each target every two
// seconds. After five times that, the latency seen says little.
constexpr absl::Duration kLatencyLifetime = absl::Seconds(10);

}  // namespace

TargetPool::TargetPool(ListedTarget target,
                       EventLoop* loop,
                       TargetDriver* driver,
                       PoolObserver* observer)
    : m_target(std::move(target)),
      m_loop(loop),
      m_driver(driver),
      m_observer(observer),
      m_latency(absl::Milliseconds(10)) {}

TargetPool::~TargetPool() {
  *m_alive = false;
  while (!m_connections.empty()) {
    const auto on_lost = std::move(m_connections.back()->on_lost);
    Remove(m_connections.back().get());
    if (on_lost) {
      on_lost(Error{ErrorKind::kUnavailable, "the target was removed", ""});
    }
  }
}

void TargetPool::SetLimits(size_t guaranteed, size_t maximum) {
  m_guaranteed = guaranteed;
  m_maximum = std::max(guaranteed, maximum);
}

TargetConnection* TargetPool::Acquire(const WorkspaceName& workspace,
                                      const SessionValues& values) {
  TargetConnection* chosen = nullptr;
  for (const auto& connection : m_connections) {
    if (!connection->open || connection->busy ||
        connection->workspace != workspace) {
      continue;
    }
    if (connection->link->Borrowed()) {
      // A connection of this instance itself needs no hop.
      chosen = chosen == nullptr ? connection.get() : chosen;
      continue;
    }
    if (MustYield(connection.get())) {
      continue;
    }
    if (connection->values == values && !connection->needs_reset) {
      chosen = connection.get();
      break;
    }
    if (chosen == nullptr || chosen->link->Borrowed() ||
        connection->values.empty()) {
      chosen = connection.get();
    }
  }
  if (chosen != nullptr) {
    chosen->busy = true;
    m_share.OnAcquired(workspace);
  }
  return chosen;
}

TargetConnection* TargetPool::AcquireToLend(const WorkspaceName& workspace) {
  TargetConnection* chosen = nullptr;
  for (const auto& connection : m_connections) {
    if (connection->open && !connection->busy &&
        connection->workspace == workspace && !connection->link->Borrowed() &&
        !MustYield(connection.get()) &&
        (chosen == nullptr || connection->values.empty())) {
      chosen = connection.get();
    }
  }
  if (chosen != nullptr) {
    chosen->busy = true;
    m_share.OnAcquired(workspace);
  }
  return chosen;
}

bool TargetPool::AtLimit() const {
  return m_loop->Now() < m_over_limit_at + kReducedLimitDuration;
}

size_t TargetPool::OwnOpenCount() const {
  return std::count_if(
      m_connections.begin(), m_connections.end(), [](const auto& connection) {
        return connection->open && !connection->link->Borrowed();
      });
}

void TargetPool::EnsureOpening(const WorkspaceName& workspace,
                               size_t wanted_count) {
  const absl::Time now = m_loop->Now();
  if (AtLimit() && OwnOpenCount() == 0) {
    BorrowOne(workspace);
  }
  if (now < m_retry_at) {
    if (!workspace.empty()) {
      NotifyAfter(m_retry_at - now);
    }
    return;
  }
  size_t opening = 0;
  for (const auto& connection : m_connections) {
    opening += !connection->open && connection->workspace == workspace ? 1 : 0;
  }
  const size_t limit =
      AtLimit() ? std::max<size_t>(1, m_guaranteed) : m_maximum;
  while (opening < wanted_count && OpenShared(workspace, limit)) {
    ++opening;
  }
}

std::vector<SharedConnection> TargetPool::OwnConnections() const {
  std::vector<SharedConnection> own;
  for (const auto& connection : m_connections) {
    if (!connection->link->Borrowed() || m_guaranteed == 0) {
      own.push_back({connection->workspace, connection->open, connection->busy,
                     connection->opened_at, connection->state_changed_at});
    }
  }
  return own;
}

TargetConnection* TargetPool::OwnConnection(size_t index) const {
  for (const auto& connection : m_connections) {
    if ((!connection->link->Borrowed() || m_guaranteed == 0) && index-- == 0) {
      return connection.get();
    }
  }
  return nullptr;
}

bool TargetPool::MustYield(const TargetConnection* connection) const {
  if (connection->link->Borrowed() ||
      !m_share.OthersWait(connection->workspace, m_loop->Now())) {
    return false;
  }
  const std::vector<SharedConnection> own = OwnConnections();
  for (size_t index = 0; index < own.size(); ++index) {
    if (OwnConnection(index) == connection) {
      return m_share.MustYield(index, own, m_maximum, m_loop->Now());
    }
  }
  return false;
}

bool TargetPool::OpenShared(const WorkspaceName& workspace, size_t limit) {
  const ConnectionShare::Choice choice =
      m_share.Choose(workspace, OwnConnections(), limit, m_loop->Now());
  switch (choice.action) {
    case ConnectionShare::Action::kOpen:
      break;
    case ConnectionShare::Action::kReplace:
      m_observer->CountConnection("replaced");
      Remove(OwnConnection(choice.replaced));
      if (OwnConnections().size() >= limit) {
        // A status query had opened one more.
        return OpenShared(workspace, limit);
      }
      break;
    case ConnectionShare::Action::kWait:
      if (choice.retry_after != absl::InfiniteDuration()) {
        NotifyAfter(choice.retry_after);
      }
      return false;
  }
  Open(workspace, false);
  return true;
}

void TargetPool::NotifyAfter(absl::Duration delay) {
  const absl::Time at = m_loop->Now() + delay;
  if (m_notify_at <= at) {
    return;
  }
  m_notify_at = at;
  m_share_timer = m_loop->RunAfter(delay, [this]() {
    // The observer may replace this timer, so it runs later.
    m_loop->Post([this, alive = m_alive]() {
      if (*alive) {
        m_notify_at = absl::InfiniteFuture();
        m_observer->OnPoolChanged(this);
      }
    });
  });
}

void TargetPool::MakeRoomForQuery() {
  const std::vector<SharedConnection> own = OwnConnections();
  const bool shared = std::any_of(
      own.begin(), own.end(),
      [](const auto& connection) { return !connection.workspace.empty(); });
  if (!shared || m_guaranteed == 0 || own.size() < m_maximum) {
    return;
  }
  std::optional<size_t> idle_longest;
  for (size_t index = 0; index < own.size(); ++index) {
    if (own[index].open && !own[index].busy &&
        (!idle_longest ||
         own[index].idle_since < own[*idle_longest].idle_since)) {
      idle_longest = index;
    }
  }
  if (idle_longest) {
    m_observer->CountConnection("replaced");
    Remove(OwnConnection(*idle_longest));
  }
}

void TargetPool::BorrowOne(const WorkspaceName& workspace) {
  size_t borrowed = 0;
  for (const auto& connection : m_connections) {
    borrowed += connection->link->Borrowed() ? 1 : 0;
  }
  if (borrowed >= kMaxBorrowed) {
    return;
  }
  auto connection = std::make_unique<TargetConnection>();
  TargetConnection* const borrower = connection.get();
  connection->pool = this;
  connection->workspace = workspace;
  connection->open = true;
  connection->state_changed_at = m_loop->Now();
  connection->opened_at = connection->state_changed_at;
  connection->link =
      m_driver->Borrow(m_target, workspace,
                       [this, borrower, alive = m_alive](const Error& error) {
                         if (*alive) {
                           OnConnectionLost(borrower, error);
                         }
                       });
  if (!connection->link) {
    return;
  }
  m_connections.push_back(std::move(connection));
  m_loop->Post([this, alive = m_alive]() {
    if (*alive) {
      m_observer->OnPoolChanged(this);
    }
  });
}

TargetConnection* TargetPool::Open(const WorkspaceName& workspace,
                                   bool direct) {
  m_connections.push_back(std::make_unique<TargetConnection>());
  TargetConnection* const connection = m_connections.back().get();
  connection->pool = this;
  connection->workspace = workspace;
  connection->state_changed_at = m_loop->Now();
  auto on_open = [this, connection,
                  alive = m_alive](const Result<Position>& opened) {
    if (*alive) {
      OnOpened(connection, opened);
    }
  };
  auto on_close = [this, connection, alive = m_alive](const Error& error) {
    if (*alive) {
      OnConnectionLost(connection, error);
    }
  };
  connection->link =
      direct ? m_driver->OpenDirect(m_target, workspace, on_open, on_close)
             : m_driver->Open(m_target, workspace, on_open, on_close);
  return connection;
}

void TargetPool::OnOpened(TargetConnection* connection,
                          const Result<Position>& opened) {
  const absl::Time now = m_loop->Now();
  if (Ok(opened)) {
    m_last_contact = now;
    m_consecutive_open_failures = 0;
    connection->open = true;
    connection->state_changed_at = now;
    connection->opened_at = now;
    if (!connection->link->Borrowed()) {
      m_observer->CountConnection("opened");
    }
  } else {
    const Error& error = ErrorOf(opened);
    if (error.kind == ErrorKind::kOverloaded) {
      m_observer->CountConnection("refused");
      m_last_contact = now;
      m_over_limit_at = now;
      m_retry_at = now + kOverLimitRetryDelay;
    } else {
      ++m_consecutive_open_failures;
      m_retry_at =
          now + std::min(kMaxRetryDelay,
                         kRetryDelayBase *
                             (1 << std::min(m_consecutive_open_failures, 4)));
      LOG_IF(INFO, m_consecutive_open_failures == 1)
          << "event=target_connection_failed target=" << m_target.id
          << " cause=\"" << error.message << "\"";
    }
    const auto on_lost = std::move(connection->on_lost);
    Remove(connection);
    if (on_lost) {
      on_lost(error);
    }
  }
  m_observer->OnPoolChanged(this);
}

void TargetPool::OnConnectionLost(TargetConnection* connection,
                                  const Error& error) {
  const auto on_lost = std::move(connection->on_lost);
  Remove(connection);
  if (on_lost) {
    on_lost(error);
  }
  m_observer->OnPoolChanged(this);
}

void TargetPool::OnCleanupTimeout(TargetConnection* connection) {
  m_observer->CountConnection("cleanup_timeout");
  LOG_EVERY_N(WARNING, 100) << "event=cleanup_timeout target=" << m_target.id
                            << " outcome=connection_closed";
  OnConnectionLost(
      connection,
      Error{ErrorKind::kDeadlineExceeded,
            "the target did not answer ROLLBACK or RESET", "check the target"});
}

void TargetPool::Remove(TargetConnection* connection) {
  const auto found = std::find_if(m_connections.begin(), m_connections.end(),
                                  [connection](const auto& candidate) {
                                    return candidate.get() == connection;
                                  });
  if (found == m_connections.end()) {
    return;
  }
  // The link may be running one of its callbacks, so it is destroyed later.
  std::shared_ptr<TargetConnection> removed(std::move(*found));
  removed->cleanup_timer.reset();
  if (removed->link) {
    removed->link->Close();
  }
  m_connections.erase(found);
  m_loop->Post([removed]() mutable { removed.reset(); });
}

void TargetPool::Release(TargetConnection* connection) {
  if (connection->link->Borrowed()) {
    // The lender has it back, and opening another costs nothing.
    CloseAndNotify(connection);
    return;
  }
  if (!connection->workspace.empty() && m_guaranteed > 0 &&
      OwnConnections().size() > m_maximum) {
    // Under load it might never be idle for long enough to be closed.
    CloseAndNotify(connection);
    return;
  }
  connection->busy = false;
  connection->on_lost = nullptr;
  connection->state_changed_at = m_loop->Now();
  m_observer->OnPoolChanged(this);
}

void TargetPool::CloseAndNotify(TargetConnection* connection) {
  connection->on_lost = nullptr;
  Remove(connection);
  m_loop->Post([this, alive = m_alive]() {
    if (*alive) {
      m_observer->OnPoolChanged(this);
    }
  });
}

void TargetPool::Send(TargetConnection* connection,
                      TargetCommand command,
                      ReplyHandler on_reply) {
  const absl::Time send_time = m_loop->Now();
  const bool measures_latency = command.kind == StatementKind::kRead ||
                                command.kind == StatementKind::kWrite ||
                                command.kind == StatementKind::kExecute;
  if (!connection->unanswered_since) {
    connection->unanswered_since = send_time;
  }
  const bool cleans_up = command.kind == StatementKind::kRollback ||
                         command.kind == StatementKind::kReset;
  if (cleans_up) {
    connection->cleanup_timer = m_loop->RunAfter(
        kCleanupTimeout,
        [this, connection]() { OnCleanupTimeout(connection); });
  }
  connection->link->Send(
      std::move(command),
      [this, connection, send_time, measures_latency, cleans_up,
       on_reply = std::move(on_reply)](Reply reply) {
        const absl::Time now = m_loop->Now();
        if (cleans_up) {
          connection->cleanup_timer.reset();
        }
        m_last_contact = now;
        m_consecutive_open_failures = 0;
        connection->unanswered_since.reset();
        if (measures_latency) {
          m_latency = (1 - kLatencyWeight) * m_latency +
                      kLatencyWeight * (now - send_time);
          m_latest_latency = now - send_time;
          m_latest_latency_at = now;
        }
        on_reply(std::move(reply));
      });
}

void TargetPool::QueryStatus(
    absl::Duration timeout,
    std::function<void(std::optional<TargetStatus>)> done) {
  struct Query {
    std::function<void(std::optional<TargetStatus>)> done;
    std::unique_ptr<Timer> timer;
    TargetConnection* connection = nullptr;
    void Finish(std::optional<TargetStatus> status) {
      timer.reset();
      if (done) {
        std::exchange(done, nullptr)(status);
      }
    }
  };
  auto query = std::make_shared<Query>();
  query->done = std::move(done);
  query->connection = Acquire("", {});
  // A dead connection must not make a live target look silent: if the free
  // connection was last used more than 1 s ago, the query uses a new one.
  if (query->connection != nullptr &&
      (query->connection->link->Borrowed() ||
       m_loop->Now() - query->connection->state_changed_at >
           absl::Seconds(1))) {
    query->connection->busy = false;
    query->connection = nullptr;
  }
  if (query->connection == nullptr) {
    if (m_loop->Now() < m_retry_at) {
      m_loop->Post([query]() { query->Finish(std::nullopt); });
      return;
    }
    MakeRoomForQuery();
    query->connection = Open("", true);
    query->connection->busy = true;
  }
  TargetConnection* const connection = query->connection;
  connection->on_lost = [query](const Error&) {
    query->connection = nullptr;
    query->Finish(std::nullopt);
  };
  query->timer = m_loop->RunAfter(timeout, [this, query, alive = m_alive]() {
    if (*alive && query->connection != nullptr) {
      CloseAndNotify(query->connection);
    }
    std::shared_ptr(query)->Finish(std::nullopt);
  });
  TargetCommand command;
  command.kind = StatementKind::kStatus;
  Send(connection, command, [this, query, connection](const Reply& reply) {
    const std::optional<TargetStatus> status = m_driver->ParseStatus(reply);
    Release(connection);
    std::shared_ptr(query)->Finish(status);
  });
}

void TargetPool::CloseIdle() {
  const absl::Time now = m_loop->Now();
  size_t count = m_connections.size();
  std::vector<TargetConnection*> surplus;
  std::vector<TargetConnection*> unopened;
  for (const auto& connection : m_connections) {
    if (!connection->open &&
        now - connection->state_changed_at > kOpenTimeout) {
      unopened.push_back(connection.get());
    } else if (connection->open && !connection->busy && count > m_guaranteed &&
               now - connection->state_changed_at >
                   (m_guaranteed > 0 ? kSurplusIdleTimeout
                                     : kOnDemandIdleTimeout)) {
      surplus.push_back(connection.get());
      --count;
    }
  }
  for (TargetConnection* connection : surplus) {
    Remove(connection);
  }
  for (TargetConnection* connection : unopened) {
    OnOpened(connection, Error{ErrorKind::kUnavailable,
                               "the connection was not accepted in time",
                               "check the target and the network"});
  }
}

size_t TargetPool::Busy() const {
  return std::count_if(m_connections.begin(), m_connections.end(),
                       [](const auto& candidate) { return candidate->busy; });
}

size_t TargetPool::RunningCount() const {
  return std::count_if(
      m_connections.begin(), m_connections.end(), [](const auto& candidate) {
        return candidate->open && candidate->unanswered_since &&
               !candidate->link->Borrowed();
      });
}

size_t TargetPool::OpenCount() const {
  return std::count_if(m_connections.begin(), m_connections.end(),
                       [](const auto& candidate) { return candidate->open; });
}

std::optional<absl::Duration> TargetPool::KnownLatency() const {
  const absl::Time now = m_loop->Now();
  if (now - m_latest_latency_at > kLatencyLifetime) {
    return std::nullopt;
  }
  absl::Duration latency = std::max(m_latency, m_latest_latency);
  for (const auto& connection : m_connections) {
    if (connection->unanswered_since) {
      latency = std::max(latency, now - *connection->unanswered_since);
    }
  }
  return latency;
}

absl::Time TargetPool::OldestUnansweredTime() const {
  absl::Time oldest = absl::InfiniteFuture();
  for (const auto& connection : m_connections) {
    if (connection->link->Borrowed()) {
      continue;  // The lender may be at fault.
    }
    if (!connection->open) {
      oldest = std::min(oldest, connection->state_changed_at);
    } else if (connection->unanswered_since) {
      oldest = std::min(oldest, *connection->unanswered_since);
    }
  }
  return oldest;
}

void TargetPool::MarkLagging(Position missing_position) {
  const absl::Time now = m_loop->Now();
  const bool again = now < m_lagging_until + m_lagging_delay;
  m_lagging_delay =
      again ? std::min(kMaxLaggingDelay, 2 * m_lagging_delay) : kLaggingDelay;
  m_missing_position = missing_position;
  m_lagging_until = now + m_lagging_delay;
}

bool TargetPool::MayHavePosition(Position required, absl::Time now) const {
  return now >= m_lagging_until || required < m_missing_position;
}

}  // namespace heatherwick
