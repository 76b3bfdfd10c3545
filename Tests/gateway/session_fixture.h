// A gateway with one group of fake targets, whose replies the test scripts, and
// one caller's session.

#ifndef TESTS_GATEWAY_SESSION_FIXTURE_H_
#define TESTS_GATEWAY_SESSION_FIXTURE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/caller_session.h"
#include "Source/gateway/gateway.h"
#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {

// Records reads, writes, commits and executed statements, which the test
// answers. Answers all other commands itself.
class ScriptedDriver : public TargetDriver {
 public:
  struct SentCommand {
    TargetId target;
    TargetCommand command;
    ReplyHandler on_reply;
    int connection = 0;
  };

  explicit ScriptedDriver(VirtualLoop* loop) : m_loop(loop) {}

  class Link : public TargetLink {
   public:
    Link(ScriptedDriver* driver, TargetId target, int number)
        : m_driver(driver), m_target(std::move(target)), m_number(number) {}
    void Send(TargetCommand command, ReplyHandler on_reply) override {
      m_driver->OnCommand(
          {m_target, std::move(command), std::move(on_reply), m_number});
    }
    void Close() override { m_driver->closed.push_back(m_number); }

   private:
    ScriptedDriver* const m_driver;
    const TargetId m_target;
    const int m_number;
  };

  std::unique_ptr<TargetLink> Open(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) override {
    if (borrowing != nullptr) {
      return borrowing->Open(target, workspace, std::move(on_open),
                             std::move(on_close));
    }
    const int number = ++m_opened;
    opened_to.insert(target.id);
    workspaces[number] = workspace;
    m_on_close[number] = std::move(on_close);
    m_loop->Add(absl::Milliseconds(1), [this, number, on_open]() {
      if (!Closed(number)) {
        on_open(Position{1, 1});
      }
    });
    return std::make_unique<Link>(this, target.id, number);
  }

  std::optional<TargetStatus> ParseStatus(const Reply& reply) override {
    TargetStatus status;
    status.primary = reply.rows == std::vector<std::string>{"primary"};
    status.term = 1;
    status.received = primary_position;
    return status;
  }

  bool Closed(int number) const {
    return std::find(closed.begin(), closed.end(), number) != closed.end();
  }
  void LoseConnection(int number) {
    m_on_close[number](Error{ErrorKind::kUnavailable, "reset", ""});
  }

  Position primary_position{1, 5};
  std::deque<SentCommand> sent;  // Commands that the test must answer.
  std::vector<TargetCommand> setup;
  std::vector<int> closed;
  std::set<TargetId> opened_to;
  std::map<int, WorkspaceName> workspaces;  // By connection.
  bool hold_setup = false;
  // If set, opens the connections instead; must not use this object itself.
  TargetDriver* borrowing = nullptr;
  // ROLLBACK and RESET get no reply, on connections that stay open.
  bool lose_cleanup = false;

 private:
  void OnCommand(SentCommand command) {
    Reply reply;
    reply.position = primary_position;
    switch (command.command.kind) {
      case StatementKind::kRead:
      case StatementKind::kWrite:
      case StatementKind::kCommit:
      case StatementKind::kExecute:
        sent.push_back(std::move(command));
        return;
      case StatementKind::kBegin:
      case StatementKind::kBeginReadOnly:
        reply.state = TransactionState::kOpen;
        break;
      case StatementKind::kStatus:
        reply.rows = {command.target == "db0" ? "primary" : "replica"};
        break;
      default:
        break;
    }
    if (command.command.kind != StatementKind::kStatus) {
      setup.push_back(command.command);
    }
    if (lose_cleanup && (command.command.kind == StatementKind::kRollback ||
                         command.command.kind == StatementKind::kReset)) {
      return;
    }
    m_loop->Add(absl::Milliseconds(1),
                [this, reply, number = command.connection,
                 on_reply = std::move(command.on_reply)]() {
                  if (!Closed(number)) {
                    on_reply(reply);
                  }
                });
  }

  VirtualLoop* const m_loop;
  int m_opened = 0;
  std::map<int, std::function<void(Error)>> m_on_close;
};

class RecordingCaller : public CallerLink {
 public:
  void SendReply(const Reply& reply) override { replies.push_back(reply); }
  void Close() override { closed = true; }

  std::vector<Reply> replies;
  bool closed = false;
};

class FakePromotionApi : public PromotionApi {
 public:
  void Promote(const std::string&,
               const std::string&,
               const std::string&,
               uint64_t,
               absl::Duration,
               std::function<void(Status)>) override {}
};

class SessionFixture {
 protected:
  SessionFixture() {
    m_gateway.SetLeadership(&m_leadership);
    m_gateway.Start();
    m_leadership.Start();
    Configuration configuration;
    configuration.version = 3;
    configuration.groups["g"] = {.max_connections = 12};
    AddRoute(&configuration, "orders", Consistency::kCurrent);
    AddRoute(&configuration, "views", Consistency::kBoundedStaleness);
    AddRoute(&configuration, "stock", Consistency::kReadYourWrites);
    m_gateway.OnConfiguration(configuration);
    ListTargets();
    m_loop.RunFor(absl::Seconds(2));
    REQUIRE(m_leadership.UsablePrimary("g") == "db0");
  }

  static void AddRoute(Configuration* configuration,
                       const std::string& database,
                       Consistency consistency) {
    Route route;
    route.database = database;
    route.group = "g";
    route.consistency = consistency;
    route.max_staleness = absl::Milliseconds(1500);
    route.statement_timeout = absl::Seconds(1);
    route.latency_objective = absl::Milliseconds(200);
    configuration->routes[database] = route;
  }

  void ListTargets() {
    std::vector<ListedTarget> targets;
    for (const char* id : {"db0", "db1", "db2"}) {
      ListedTarget target;
      target.id = id;
      target.group = "g";
      target.address = id;
      target.data_centre = "a";
      target.claims_primary = target.id == "db0";
      targets.push_back(target);
    }
    m_gateway.OnTargets(targets);
  }

  CallerSession& Open(const std::string& database,
                      const std::string& key = "") {
    m_session =
        std::make_unique<CallerSession>(&m_gateway, database, key, &m_caller);
    return *m_session;
  }

  Statement MakeStatement(StatementKind kind,
                          const std::string& text,
                          const std::string& name = "",
                          const std::string& argument = "") {
    return {absl::StrCat("r", ++m_requests), kind, text, name, argument};
  }
  void RunStatement(StatementKind kind,
                    const std::string& text,
                    const std::string& name = "",
                    const std::string& argument = "") {
    m_session->OnStatement(MakeStatement(kind, text, name, argument));
    m_loop.RunFor(absl::Milliseconds(20));
  }

  // Replies to the oldest statement that a target has not answered.
  void ReplyToOldest(ReplyCode code,
                     TransactionState state = TransactionState::kIdle,
                     Position position = {1, 5}) {
    REQUIRE_FALSE(m_driver.sent.empty());
    Reply reply;
    reply.code = code;
    reply.state = state;
    reply.position = position;
    reply.signature = "sig";
    const ScriptedDriver::SentCommand sent = m_driver.sent.front();
    m_driver.sent.pop_front();
    REQUIRE_FALSE(m_driver.Closed(sent.connection));
    sent.on_reply(reply);
    m_loop.RunFor(absl::Milliseconds(60));
  }

  // Lets each target answer reads in 20 ms, and lets the budget of repetitions
  // fill for one.
  void ReadAtEachTarget() {
    std::set<TargetId> read_at;
    for (int i = 0; i < 12 && read_at.size() < 3; ++i) {
      RunStatement(StatementKind::kRead, "READ k");
      REQUIRE(m_driver.sent.size() == 1);
      read_at.insert(m_driver.sent[0].target);
      ReplyToOldest(ReplyCode::kComplete);
    }
    REQUIRE(read_at.size() == 3);
    m_loop.RunFor(absl::Milliseconds(4500));
  }

  const Reply& LastReply() const { return m_caller.replies.back(); }

  VirtualLoop m_loop;
  FakeTable m_table;
  FakeRowStore m_store{&m_loop, &m_table};
  FakePromotionApi m_promotion_api;
  Metrics m_metrics;
  DecisionLog m_decisions{DecisionLogLevel::kOff, 0};
  ScriptedDriver m_driver{&m_loop};
  Gateway m_gateway{"a", &m_loop, &m_driver, &m_metrics, &m_decisions};
  LeadershipManager m_leadership{{"self", 1, "self", "a", 1},
                                 &m_loop,
                                 &m_store,
                                 &m_promotion_api,
                                 &m_gateway,
                                 nullptr};
  RecordingCaller m_caller;
  std::unique_ptr<CallerSession> m_session;
  int m_requests = 0;
};

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_SESSION_FIXTURE_H_
