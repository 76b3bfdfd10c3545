// Drives the scheduler with random events and checks its invariants after
// each: slots, connection share, one statement on a connection, transaction
// steps on their own connection, and exactly one end of every request.

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

  void Start(const SchedulerOptions& options, uint64_t seed) {
    m_random.seed(seed);
    auto created = GroupScheduler::Create(options);
    REQUIRE(Ok(created));
    m_scheduler = std::move(ValueOf(created));
    GroupRules rules;
    rules.own_data_centre = "1";
    for (const TargetId& target : m_targets) {
      rules.targets.push_back({target, "1", kSlots, kShare});
    }
    rules.shares = {{"a", 1}, {"b", 3}};
    m_scheduler->OnRules(rules, m_now, &m_actions);
    Apply();
  }

  uint64_t Below(uint64_t limit) { return m_random() % limit; }
  const TargetId& AnyTarget() { return m_targets[Below(m_targets.size())]; }

  void Step() {
    m_now += absl::Microseconds(static_cast<int64_t>(Below(3000)));
    const uint64_t kind = Below(100);
    if (kind < 45) {
      SendRequest();
    } else if (kind < 80) {
      FinishStatement();
    } else if (kind < 88) {
      FinishOpening();
    } else if (kind < 90) {
      CloseAny();
    } else if (kind < 95) {
      ReportHealth();
    } else if (kind < 96) {
      ChangePrimary();
    } else if (kind < 97) {
      m_scheduler->AbandonTransaction(m_last_transaction - Below(2), m_now,
                                      &m_actions);
    } else {
      m_scheduler->OnTick(m_now, &m_actions);
    }
    Apply();
  }

  void SendRequest() {
    ScheduledRequest request;
    request.id = ++m_last_request;
    request.caller = Below(2) == 0 ? "a" : "b";
    request.request_class = static_cast<RequestClass>(Below(3));
    request.max_age = absl::Milliseconds(static_cast<int64_t>(Below(2000)));
    request.min_position = {m_term, Below(100)};
    request.shape = Below(5);
    request.deadline =
        m_now + absl::Milliseconds(static_cast<int64_t>(Below(200)));
    const uint64_t transaction = Below(4);
    if (transaction == 0) {
      request.transaction = ++m_last_transaction;
      request.begins_transaction = true;
    } else if (transaction == 1 && m_last_transaction > 0) {
      request.transaction =
          m_last_transaction - Below(std::min(m_last_transaction, uint64_t{6}));
      request.ends_transaction = Below(3) == 0;
    }
    m_waiting[request.id] = request;
    m_scheduler->OnRequest(request, m_now, &m_actions);
  }

  void FinishStatement() {
    if (m_running.empty()) {
      return;
    }
    const auto row = std::next(m_running.begin(),
                               static_cast<ptrdiff_t>(Below(m_running.size())));
    const Running running = row->second;
    m_running.erase(row);
    FinishedStatement finished;
    finished.request = running.request.id;
    finished.target = running.target;
    finished.connection = running.connection;
    const uint64_t end = Below(10);
    finished.end = end == 0  ? StatementEnd::kLost
                   : end < 3 ? StatementEnd::kRefused
                             : StatementEnd::kRan;
    finished.connection_usable =
        finished.end != StatementEnd::kLost && Below(50) != 0;
    finished.transaction_open = running.request.transaction != 0 &&
                                !running.request.ends_transaction &&
                                Below(10) != 0;
    finished.ran_for = absl::Milliseconds(static_cast<int64_t>(Below(20)));
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

  void FinishOpening() {
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

  void CloseAny() {
    const TargetId& target = AnyTarget();
    if (m_connections[target].empty()) {
      return;
    }
    const ConnectionId connection = m_connections[target].begin()->first;
    m_connections[target].erase(connection);
    std::erase_if(m_running, [&](const auto& row) {
      return row.second.target == target && row.second.connection == connection;
    });
    m_scheduler->OnConnectionClosed(target, connection, m_now, &m_actions);
  }

  void ReportHealth() {
    TargetHealth health;
    health.reachable = Below(10) != 0;
    health.leaving = Below(10) == 0;
    health.age = absl::Milliseconds(static_cast<int64_t>(Below(1000)));
    health.applied = {m_term, 50 + Below(100)};
    m_scheduler->OnTargetHealth(AnyTarget(), health, m_now, &m_actions);
  }

  void ChangePrimary() {
    if (Below(3) == 0) {
      m_scheduler->OnPrimary(std::nullopt, 0, m_now, &m_actions);
    } else {
      m_scheduler->OnPrimary(AnyTarget(), ++m_term, m_now, &m_actions);
    }
  }

  void Apply() {
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

  // A connection of an open transaction carries its statements only.
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

// Guards against a broken invariant, a lost or twice ended request and a
// crash under any order of events.
TEST_CASE_FIXTURE(RandomEventsFixture,
                  "GroupScheduler_RandomEvents_KeepsInvariants") {
  Start(SchedulerOptions{}, 3);
  for (int event = 0; event < kEvents; ++event) {
    Step();
  }
}

TEST_CASE_FIXTURE(RandomEventsFixture,
                  "GroupScheduler_RandomEventsWithBaselines_KeepsInvariants") {
  Start({"fifo", "round_robin", "equal_split", "admit_all", 100}, 2);
  for (int event = 0; event < kEvents; ++event) {
    Step();
  }
}

}  // namespace
}  // namespace heatherwick
