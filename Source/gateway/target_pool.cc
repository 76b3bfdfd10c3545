// Opens, lends and closes the connections to one target.

#include "Source/gateway/target_pool.h"

#include <algorithm>
#include <utility>

#include "glog/logging.h"

namespace heatherwick {
namespace {

// A target that refuses connections is tried again after this, doubled with
// each failure up to the limit.
constexpr absl::Duration kRetryBase = absl::Milliseconds(50);
constexpr absl::Duration kRetryLimit = absl::Milliseconds(400);
// After a refusal for too many connections only the guaranteed ones are
// opened for this long.
constexpr absl::Duration kRefusalPause = absl::Seconds(1);
// A target keeps the connections of a machine that vanished for 3 s; a
// refused opening costs it time, so that openings wait between refusals.
constexpr absl::Duration kRefusalRetry = absl::Milliseconds(150);
// An opening takes about 12 ms and waits for a slot under load.
constexpr absl::Duration kOpenTimeout = absl::Milliseconds(800);
// Connections beyond the guaranteed ones are given back after this.
constexpr absl::Duration kSurplusIdle = absl::Milliseconds(500);
// The same where no connection is guaranteed: the next statement of a session
// often follows within this time.
constexpr absl::Duration kOnDemandIdle = absl::Milliseconds(150);
// Weight of the newest latency in the moving average.
constexpr double kLatencyWeight = 0.15;

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
      on_lost(Error{ErrorKind::kUnavailable, "the target is gone", ""});
    }
  }
}

void TargetPool::SetLimits(size_t guaranteed, size_t ceiling) {
  m_guaranteed = guaranteed;
  m_ceiling = std::max(guaranteed, ceiling);
}

TargetConnection* TargetPool::Acquire(const SessionValues& values) {
  TargetConnection* chosen = nullptr;
  for (const auto& connection : m_connections) {
    if (!connection->open || connection->busy) {
      continue;
    }
    if (connection->values == values) {
      chosen = connection.get();
      break;
    }
    if (chosen == nullptr || connection->values.empty()) {
      chosen = connection.get();
    }
  }
  if (chosen != nullptr) {
    chosen->busy = true;
  }
  return chosen;
}

void TargetPool::EnsureOpening(size_t wanted) {
  const absl::Time now = m_loop->Now();
  if (now < m_retry_at) {
    return;
  }
  size_t opening = 0;
  for (const auto& connection : m_connections) {
    opening += connection->open ? 0 : 1;
  }
  const size_t limit = now < m_refused_at + kRefusalPause
                           ? std::max<size_t>(1, m_guaranteed)
                           : m_ceiling;
  while (opening < wanted && m_connections.size() < limit) {
    Open();
    ++opening;
  }
}

void TargetPool::Open() {
  m_connections.push_back(std::make_unique<TargetConnection>());
  TargetConnection* const connection = m_connections.back().get();
  connection->pool = this;
  connection->since = m_loop->Now();
  connection->link = m_driver->Open(
      m_target,
      [this, connection, alive = m_alive](const Result<Position>& opened) {
        if (*alive) {
          OnOpened(connection, opened);
        }
      },
      [this, connection, alive = m_alive](const Error& error) {
        if (*alive) {
          OnLost(connection, error);
        }
      });
}

void TargetPool::OnOpened(TargetConnection* connection,
                          const Result<Position>& opened) {
  const absl::Time now = m_loop->Now();
  if (Ok(opened)) {
    m_last_contact = now;
    m_failures = 0;
    connection->open = true;
    connection->since = now;
  } else {
    const Error& error = ErrorOf(opened);
    if (error.kind == ErrorKind::kOverloaded) {
      m_last_contact = now;
      m_refused_at = now;
      m_retry_at = now + kRefusalRetry;
    } else {
      ++m_failures;
      m_retry_at = now + std::min(kRetryLimit,
                                  kRetryBase * (1 << std::min(m_failures, 4)));
      LOG_IF(INFO, m_failures == 1)
          << "event=target_connection_failed target=" << m_target.id
          << " cause=\"" << error.message << "\"";
    }
    const auto on_lost = std::move(connection->on_lost);
    Remove(connection);
    if (on_lost) {
      on_lost(error);
    }
  }
  m_observer->OnCapacity(this);
}

void TargetPool::OnLost(TargetConnection* connection, const Error& error) {
  const auto on_lost = std::move(connection->on_lost);
  Remove(connection);
  if (on_lost) {
    on_lost(error);
  }
  m_observer->OnCapacity(this);
}

void TargetPool::Remove(TargetConnection* connection) {
  const auto found = std::find_if(
      m_connections.begin(), m_connections.end(),
      [connection](const auto& held) { return held.get() == connection; });
  if (found == m_connections.end()) {
    return;
  }
  // The link may be running one of its callbacks; it is destroyed later.
  std::shared_ptr<TargetConnection> doomed(std::move(*found));
  if (doomed->link) {
    doomed->link->Close();
  }
  m_connections.erase(found);
  m_loop->Post([doomed]() mutable { doomed.reset(); });
}

void TargetPool::Release(TargetConnection* connection) {
  connection->busy = false;
  connection->on_lost = nullptr;
  connection->since = m_loop->Now();
  m_observer->OnCapacity(this);
}

void TargetPool::Drop(TargetConnection* connection) {
  connection->on_lost = nullptr;
  Remove(connection);
  m_loop->Post([this, alive = m_alive]() {
    if (*alive) {
      m_observer->OnCapacity(this);
    }
  });
}

void TargetPool::Send(TargetConnection* connection,
                      TargetCommand command,
                      ReplyHandler on_reply) {
  const absl::Time sent = m_loop->Now();
  const bool timed = command.kind == StatementKind::kRead ||
                     command.kind == StatementKind::kWrite ||
                     command.kind == StatementKind::kExecute;
  if (!connection->sent) {
    connection->sent = sent;
  }
  connection->link->Send(
      std::move(command), [this, connection, sent, timed,
                           on_reply = std::move(on_reply)](Reply reply) {
        const absl::Time now = m_loop->Now();
        m_last_contact = now;
        m_failures = 0;
        connection->sent.reset();
        if (timed) {
          m_latency =
              (1 - kLatencyWeight) * m_latency + kLatencyWeight * (now - sent);
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
  query->connection = Acquire({});
  // A silent connection must not hide a live target: when the free one last
  // answered some time ago, the query goes to a new one.
  if (query->connection != nullptr &&
      m_loop->Now() - query->connection->since > absl::Seconds(1)) {
    query->connection->busy = false;
    query->connection = nullptr;
  }
  if (query->connection == nullptr) {
    if (m_loop->Now() < m_retry_at) {
      m_loop->Post([query]() { query->Finish(std::nullopt); });
      return;
    }
    Open();
    query->connection = m_connections.back().get();
    query->connection->busy = true;
  }
  TargetConnection* const connection = query->connection;
  connection->on_lost = [query](const Error&) {
    query->connection = nullptr;
    query->Finish(std::nullopt);
  };
  query->timer = m_loop->RunAfter(timeout, [this, query, alive = m_alive]() {
    if (*alive && query->connection != nullptr) {
      Drop(query->connection);
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
    if (!connection->open && now - connection->since > kOpenTimeout) {
      unopened.push_back(connection.get());
    } else if (connection->open && !connection->busy && count > m_guaranteed &&
               now - connection->since >
                   (m_guaranteed > 0 ? kSurplusIdle : kOnDemandIdle)) {
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
                       [](const auto& held) { return held->busy; });
}

size_t TargetPool::OpenCount() const {
  return std::count_if(m_connections.begin(), m_connections.end(),
                       [](const auto& held) { return held->open; });
}

absl::Time TargetPool::WaitingSince() const {
  absl::Time since = absl::InfiniteFuture();
  for (const auto& connection : m_connections) {
    if (!connection->open) {
      since = std::min(since, connection->since);
    } else if (connection->sent) {
      since = std::min(since, *connection->sent);
    }
  }
  return since;
}

void TargetPool::NoteLagging(Position lacking, absl::Time until) {
  m_lacking = lacking;
  m_lacking_until = until;
}

bool TargetPool::MayHold(Position required, absl::Time now) const {
  return now >= m_lacking_until || required < m_lacking;
}

}  // namespace heatherwick
