// Drives the scheduler with random events and checks its invariants after each
// event: the slots, the connection share, at most one statement on a
// connection, transaction steps on the connection of their transaction, and
// exactly one end of every request.

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include "Source/decision/group_scheduler.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr uint32_t kSlots = 2;
constexpr uint32_t kShare = 4;
constexpr int kEvents = 20000;

class RandomEventsFixture {
 protected:
  struct Running {
    ScheduledRequest request;
    TargetId target;
    ConnectionId connection = 0;
  };

  void CreateScheduler(const SchedulerOptions& options, uint64_t seed) {
    m_random.seed(seed);
    auto created = GroupScheduler::Create(options);
    REQUIRE(Ok(created));
    m_scheduler = std::move(ValueOf(created));
    GroupConfig config;
    config.own_data_centre = "1";
    for (const TargetId& target : m_targets) {
      config.targets.push_back({target, "1", kSlots, kShare});
    }
    config.shares = {{"a", 1}, {"b", 3}};
    m_scheduler->OnConfig(config, m_now, &m_actions);
    ApplyActions();
  }

  uint64_t RandomBelow(uint64_t limit) { return m_random() % limit; }
  const TargetId& RandomTarget() {
    return m_targets[RandomBelow(m_targets.size())];
  }

  void RunRandomEvent() {
    m_now += absl::Microseconds(static_cast<int64_t>(RandomBelow(3000)));
    const uint64_t kind = RandomBelow(100);
    if (kind < 45) {
      SendRequest();
    } else if (kind < 80) {
      FinishStatement();
    } else if (kind < 88) {
      FinishOpeningConnection();
    } else if (kind < 90) {
      CloseRandomConnection();
    } else if (kind < 95) {
      ReportHealth();
    } else if (kind < 96) {
      ChangePrimary();
    } else if (kind < 97) {
      m_scheduler->AbandonTransaction(m_last_transaction - RandomBelow(2),
                                      m_now, &m_actions);
    } else {
      m_scheduler->OnTick(m_now, &m_actions);
    }
    ApplyActions();
  }

  void SendRequest() {
    ScheduledRequest request;
    request.id = ++m_last_request;
    request.caller = RandomBelow(2) == 0 ? "a" : "b";
    request.request_class = static_cast<RequestClass>(RandomBelow(3));
    request.max_age =
        absl::Milliseconds(static_cast<int64_t>(RandomBelow(2000)));
    request.min_position = {m_term, RandomBelow(100)};
    request.shape = RandomBelow(5);
    request.deadline =
        m_now + absl::Milliseconds(static_cast<int64_t>(RandomBelow(200)));
    const uint64_t transaction = RandomBelow(4);
    if (transaction == 0) {
      request.transaction = ++m_last_transaction;
      request.begins_transaction = true;
    } else if (transaction == 1 && m_last_transaction > 0) {
      request.transaction =
          m_last_transaction -
          RandomBelow(std::min(m_last_transaction, uint64_t{6}));
      request.ends_transaction = RandomBelow(3) == 0;
    }
    m_waiting[request.id] = request;
    m_scheduler->OnRequest(request, m_now, &m_actions);
  }

  void FinishStatement() {
    if (m_running.empty()) {
      return;
    }
    const auto entry =
        std::next(m_running.begin(),
                  static_cast<ptrdiff_t>(RandomBelow(m_running.size())));
    const Running running = entry->second;
    m_running.erase(entry);
    FinishedStatement finished;
    finished.request = running.request.id;
    finished.target = running.target;
    finished.connection = running.connection;
    const uint64_t end = RandomBelow(10);
    finished.end = end == 0  ? StatementEnd::kLost
                   : end < 3 ? StatementEnd::kRefused
                             : StatementEnd::kRan;
    finished.connection_usable =
        finished.end != StatementEnd::kLost && RandomBelow(50) != 0;
    finished.transaction_open = running.request.transaction != 0 &&
                                !running.request.ends_transaction &&
                                RandomBelow(10) != 0;
    finished.ran_for =
        absl::Milliseconds(static_cast<int64_t>(RandomBelow(20)));
    if (finished.end == StatementEnd::kRefused) {
      m_waiting[running.request.id] = running.request;
      if (running.request.begins_transaction) {
        m_transactions.erase(running.request.transaction);
      }
    }
    if (!finished.connection_usable) {
      m_connections[finished.target].erase(finished.connection);
    }
    m_scheduler->OnFinished(finished, m_now, &m_actions);
  }

  void FinishOpeningConnection() {
    for (const TargetId& target : m_targets) {
      for (auto& [connection, open] : m_connections[target]) {
        if (!open) {
          open = true;
          m_scheduler->OnConnectionOpened(target, connection, m_now,
                                          &m_actions);
          return;
        }
      }
    }
  }

  void CloseRandomConnection() {
    const TargetId& target = RandomTarget();
    if (m_connections[target].empty()) {
      return;
    }
    const ConnectionId connection = m_connections[target].begin()->first;
    m_connections[target].erase(connection);
    std::erase_if(m_running, [&](const auto& entry) {
      return entry.second.target == target &&
             entry.second.connection == connection;
    });
    m_scheduler->OnConnectionClosed(target, connection, m_now, &m_actions);
  }

  void ReportHealth() {
    TargetHealth health;
    health.reachable = RandomBelow(10) != 0;
    health.leaving = RandomBelow(10) == 0;
    health.age = absl::Milliseconds(static_cast<int64_t>(RandomBelow(1000)));
    health.applied = {m_term, 50 + RandomBelow(100)};
    m_scheduler->OnTargetHealth(RandomTarget(), health, m_now, &m_actions);
  }

  void ChangePrimary() {
    if (RandomBelow(3) == 0) {
      m_scheduler->OnPrimary(std::nullopt, 0, m_now, &m_actions);
    } else {
      m_scheduler->OnPrimary(RandomTarget(), ++m_term, m_now, &m_actions);
    }
  }

  void ApplyActions() {
    for (size_t index = 0; index < m_actions.size(); ++index) {
      const SchedulerAction action = m_actions[index];
      if (const auto* start = std::get_if<StartStatement>(&action)) {
        CheckStart(*start);
      } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
        REQUIRE(m_waiting.erase(refusal->request) == 1);
      } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
        m_connections[open->target][open->connection] = false;
        REQUIRE(m_connections[open->target].size() <= kShare);
      } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        CheckNotRunning(close->target, close->connection);
        m_connections[close->target].erase(close->connection);
      }
    }
    m_actions.clear();
    REQUIRE(m_scheduler->Statistics().running == m_running.size());
    REQUIRE(m_scheduler->Statistics().queued == m_waiting.size());
  }

  void CheckNotRunning(const TargetId& target, ConnectionId connection) {
    for (const auto& [id, running] : m_running) {
      REQUIRE(!(running.target == target && running.connection == connection));
    }
  }

  void CheckStart(const StartStatement& start) {
    const auto found = m_waiting.find(start.request);
    REQUIRE(found != m_waiting.end());
    const ScheduledRequest request = found->second;
    m_waiting.erase(found);
    REQUIRE(m_now <= request.deadline);
    const auto connection = m_connections[start.target].find(start.connection);
    REQUIRE(connection != m_connections[start.target].end());
    REQUIRE(connection->second);
    CheckNotRunning(start.target, start.connection);
    CheckTransaction(request, start.connection);
    m_running[start.request] = {request, start.target, start.connection};
    size_t at_target = 0;
    for (const auto& [id, running] : m_running) {
      at_target += running.target == start.target ? 1 : 0;
    }
    REQUIRE(at_target <= kSlots);
  }

  // Checks that the connection of an open transaction carries only statements
  // of that transaction.
  void CheckTransaction(const ScheduledRequest& request,
                        ConnectionId connection) {
    if (request.begins_transaction) {
      m_transactions[request.transaction] = connection;
    }
    for (const auto& [transaction, pinned] : m_transactions) {
      if (pinned == connection && transaction != request.transaction) {
        REQUIRE(!m_scheduler->HasTransaction(transaction));
      }
      if (transaction == request.transaction) {
        REQUIRE(pinned == connection);
      }
    }
  }

  const std::vector<TargetId> m_targets = {"x", "y", "z"};
  std::mt19937_64 m_random;
  absl::Time m_now = absl::FromUnixSeconds(1000);
  uint64_t m_term = 1;
  RequestId m_last_request = 0;
  TransactionId m_last_transaction = 0;
  std::unique_ptr<GroupScheduler> m_scheduler;
  std::vector<SchedulerAction> m_actions;
  std::map<RequestId, ScheduledRequest> m_waiting;
  std::map<RequestId, Running> m_running;
  std::map<TargetId, std::map<ConnectionId, bool>> m_connections;
  std::map<TransactionId, ConnectionId> m_transactions;
};

// Guards against orders of events that break an invariant, lose a request, end
// a request twice or crash the scheduler.
TEST_CASE_FIXTURE(RandomEventsFixture,
                  "GroupScheduler_RandomEvents_KeepsInvariants") {
  CreateScheduler(SchedulerOptions{}, 3);
  for (int event = 0; event < kEvents; ++event) {
    RunRandomEvent();
  }
}

TEST_CASE_FIXTURE(RandomEventsFixture,
                  "GroupScheduler_RandomEventsWithBaselines_KeepsInvariants") {
  CreateScheduler({"fifo", "round_robin", "equal_split", "admit_all", 100}, 2);
  for (int event = 0; event < kEvents; ++event) {
    RunRandomEvent();
  }
}

}  // namespace
}  // namespace heatherwick
