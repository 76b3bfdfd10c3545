// Runs callers' statements through the gateway, with fake targets whose replies
// are scripted by the test.

#include "Source/gateway/caller_session.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Source/gateway/gateway.h"
#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

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
      const WorkspaceName&,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) override {
    const int number = ++m_opened;
    opened_to.insert(target.id);
    m_on_close[number] = std::move(on_close);
    m_loop->Add(absl::Milliseconds(1), [this, number, on_open]() {
      if (!Closed(number)) {
        on_open(Position{1, 1});
      }
    });
    return std::make_unique<Link>(this, target.id, number);
  }

  std::optional<TargetStatus> ParseStatus(const Reply&) override {
    TargetStatus status;
    status.primary = true;
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
  bool hold_setup = false;

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
      default:
        break;
    }
    if (command.command.kind != StatementKind::kStatus) {
      setup.push_back(command.command);
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

  CallerSession& Open(const std::string& database) {
    m_session =
        std::make_unique<CallerSession>(&m_gateway, database, "", &m_caller);
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

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_WriteAnswered_RelaysSignature") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  REQUIRE(m_driver.sent.size() == 1);
  CHECK(m_driver.sent[0].target == "db0");
  CHECK(m_driver.sent[0].command.id == "r1");
  CHECK(m_driver.sent[0].command.text == "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().signature == "sig");
}

// A write that may have run must never be sent again.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ConnectionLostInWrite_ReportsInDoubt") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_driver.LoseConnection(m_driver.sent[0].connection);
  m_loop.RunFor(absl::Seconds(2));
  CHECK(LastReply().code == ReplyCode::kInDoubt);
  CHECK(m_driver.sent.size() == 1);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_WriteRefusedAsBusy_IsSentAgain") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kBusy);
  REQUIRE(m_driver.sent.size() == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ConnectionLostInRead_ReadsAtAnotherTarget") {
  Open("views");
  RunStatement(StatementKind::kRead, "READ k");
  const TargetId first = m_driver.sent[0].target;
  m_driver.LoseConnection(m_driver.sent[0].connection);
  m_driver.sent.clear();
  m_loop.RunFor(absl::Milliseconds(100));
  REQUIRE(m_driver.sent.size() == 1);
  CHECK(m_driver.sent[0].target != first);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

// Guards against a late reply on an abandoned connection being taken as the
// reply to a later statement.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SlowRead_ClosesConnectionBeforeRetry") {
  Open("views");
  RunStatement(StatementKind::kRead, "READ k");
  const int connection = m_driver.sent[0].connection;
  m_loop.RunFor(absl::Milliseconds(400));
  CHECK(m_driver.Closed(connection));
  CHECK(m_driver.sent.size() >= 2);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_BoundedStalenessRead_RequiresKnownPosition") {
  Open("views");
  RunStatement(StatementKind::kRead, "READ k");
  REQUIRE(m_driver.sent.size() == 1);
  if (m_driver.sent[0].target != "db0") {
    CHECK(m_driver.sent[0].command.required_position == Position{1, 5});
  }
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ReadAfterOwnWrite_RequiresWritePosition") {
  Open("stock");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kIdle, {1, 42});
  RunStatement(StatementKind::kRead, "READ k");
  REQUIRE(m_driver.sent.size() == 1);
  CHECK(m_driver.sent[0].target != "db0");
  CHECK(m_driver.sent[0].command.required_position == Position{1, 42});
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ReplicaLags_ReadsAtAnotherTarget") {
  Open("stock");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kIdle, {1, 42});
  RunStatement(StatementKind::kRead, "READ k");
  const TargetId first = m_driver.sent[0].target;
  ReplyToOldest(ReplyCode::kLagging);
  REQUIRE(m_driver.sent.size() == 1);
  CHECK(m_driver.sent[0].target != first);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ReadOfCurrentData_GoesToPrimary") {
  Open("orders");
  for (int count = 0; count < 4; ++count) {
    RunStatement(StatementKind::kRead, "READ k");
    REQUIRE(m_driver.sent.size() == 1);
    CHECK(m_driver.sent[0].target == "db0");
    ReplyToOldest(ReplyCode::kComplete);
  }
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_Transaction_StaysOnOneConnection") {
  Open("orders");
  RunStatement(StatementKind::kBegin, "BEGIN");
  CHECK(LastReply().state == TransactionState::kOpen);
  RunStatement(StatementKind::kWrite, "WRITE k v");
  const int connection = m_driver.sent[0].connection;
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  RunStatement(StatementKind::kRead, "READ k");
  CHECK(m_driver.sent[0].connection == connection);
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(m_driver.sent[0].connection == connection);
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kIdle);
  CHECK(LastReply().state == TransactionState::kIdle);
  CHECK(m_session->Idle());
}

// The target rolled the transaction back, so the caller must be told that
// nothing of it was committed.
TEST_CASE_FIXTURE(
    SessionFixture,
    "CallerSession_ConnectionLostBetweenStatements_ReportsAborted") {
  Open("orders");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  const int connection = m_driver.sent[0].connection;
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  m_driver.LoseConnection(connection);
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(m_driver.sent.empty());
  CHECK(LastReply().code == ReplyCode::kAborted);
  CHECK(LastReply().state == TransactionState::kIdle);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ConnectionLostInCommit_ReportsInDoubt") {
  Open("orders");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  RunStatement(StatementKind::kCommit, "COMMIT");
  m_driver.LoseConnection(m_driver.sent[0].connection);
  m_loop.RunFor(absl::Milliseconds(50));
  CHECK(LastReply().code == ReplyCode::kInDoubt);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SessionValues_AreSetBeforeStatement") {
  Open("orders");
  RunStatement(StatementKind::kSet, "SET zone x", "zone", "x");
  RunStatement(StatementKind::kRead, "READ k");
  REQUIRE(m_driver.setup.size() == 1);
  CHECK(m_driver.setup[0].kind == StatementKind::kSet);
  CHECK(m_driver.setup[0].argument == "x");
  ReplyToOldest(ReplyCode::kComplete);
}

// A connection that carries another session's values must be reset before use.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_ConnectionWithOtherValues_IsReset") {
  Open("orders");
  RunStatement(StatementKind::kSet, "SET zone x", "zone", "x");
  RunStatement(StatementKind::kRead, "READ k");
  ReplyToOldest(ReplyCode::kComplete);
  const size_t before = m_driver.setup.size();
  Open("orders");
  for (int count = 0; count < 8; ++count) {
    RunStatement(StatementKind::kRead, "READ k");
    REQUIRE(m_driver.sent.size() == 1);
    ReplyToOldest(ReplyCode::kComplete);
  }
  for (size_t index = before; index < m_driver.setup.size(); ++index) {
    CHECK(m_driver.setup[index].kind == StatementKind::kReset);
  }
}

// Callers may use the same name for different prepared statements.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SamePreparedNameOtherShape_RunsOwnShape") {
  Open("orders");
  RunStatement(StatementKind::kPrepareRead, "PREPARE s READ a", "s", "a");
  RunStatement(StatementKind::kExecute, "EXECUTE s k", "s", "k");
  const std::string first = m_driver.sent[0].command.name;
  ReplyToOldest(ReplyCode::kComplete);
  Open("orders");
  RunStatement(StatementKind::kPrepareRead, "PREPARE s READ b", "s", "b");
  RunStatement(StatementKind::kExecute, "EXECUTE s k", "s", "k");
  CHECK(m_driver.sent[0].command.name != first);
  CHECK(m_driver.setup.back().argument == "b");
  ReplyToOldest(ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_UnknownPreparedName_ReportsNoStatement") {
  Open("orders");
  RunStatement(StatementKind::kExecute, "EXECUTE s k", "s", "k");
  CHECK(LastReply().code == ReplyCode::kNoStatement);
  CHECK(m_driver.sent.empty());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_RouteRemoved_ReportsNoDatabaseAndCloses") {
  Open("orders");
  Configuration next;
  next.version = 4;
  next.groups["g"] = {.max_connections = 12};
  m_gateway.OnConfiguration(next);
  RunStatement(StatementKind::kRead, "READ k");
  CHECK(LastReply().code == ReplyCode::kNoDatabase);
  CHECK(m_caller.closed);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_OlderConfigurationArrivesLate_KeepsNewer") {
  Configuration older;
  older.version = 2;
  m_gateway.OnConfiguration(older);
  CHECK(m_gateway.ConfigurationVersion() == 3);
  CHECK(m_gateway.FindRoute("orders") != nullptr);
}

// A commit at a primary that may have been replaced must not be confirmed.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_LeaseLostBeforeReply_ReportsInDoubt") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_loop.Freeze(absl::Seconds(3));
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kInDoubt);
}

// The primary was replaced and promoted again before this instance, which had
// been cut off, could see it: the commit belongs to the term that ended.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_CommitOfEarlierTerm_ReportsInDoubt") {
  for (const uint64_t commit_term : {1, 3, 4}) {
    CAPTURE(commit_term);
    Open("orders");
    RunStatement(StatementKind::kWrite, "WRITE k v");
    StoredRow row = m_table.rows.at(LeadershipView::LeaderKey("g"));
    GroupLeader promoted_again = m_leadership.View().Leader("g");
    promoted_again.epoch += 4;
    promoted_again.term = 3;
    row.value = LeadershipView::EncodeLeader(promoted_again);
    RowTransaction transaction{LeadershipManager::kTable, {}, {row}, {}};
    (void)m_table.Apply(transaction);
    m_loop.RunFor(absl::Milliseconds(50));
    REQUIRE(m_leadership.UsablePrimary("g") == "db0");
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kIdle,
                  {commit_term, 9});
    CHECK(LastReply().code ==
          (commit_term >= 3 ? ReplyCode::kComplete : ReplyCode::kInDoubt));
  }
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_LeaseLost_RefusesSoonAsNotRun") {
  Open("orders");
  m_store.SetDown(true);
  m_loop.RunFor(absl::Seconds(4));
  CHECK_FALSE(m_gateway.Ready());
  m_session->OnStatement(MakeStatement(StatementKind::kWrite, "WRITE k v"));
  m_loop.RunFor(absl::Milliseconds(150));
  CHECK(LastReply().code == ReplyCode::kBusy);
  CHECK(m_driver.sent.empty());
  CHECK(m_caller.closed);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_TargetSilentInWrite_TimesOutAsInDoubt") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_loop.RunFor(absl::Seconds(1));
  CHECK(LastReply().code == ReplyCode::kInDoubt);
}

// Guards against a crash when a target is removed while a status query to it is
// in flight.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_TargetRemovedDuringStatusQuery_QueryFails") {
  bool answered = false;
  m_gateway.QueryStatus("g", "db2", absl::Milliseconds(300),
                        [&answered](std::optional<TargetStatus> status) {
                          answered = true;
                          CHECK_FALSE(status.has_value());
                        });
  m_gateway.OnTargets({});
  m_loop.RunFor(absl::Seconds(1));
  CHECK(answered);
}

// Guards against starvation when targets allow fewer connections than there are
// instances. With 82 instances and 46 connections, the instances that had a
// connection kept it open, and a third of all statements was refused.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_FewerConnectionsThanInstances_KeepsNoneOpen") {
  RowTransaction members{LeadershipManager::kTable, {}, {}, {}};
  for (int count = 0; count < 40; ++count) {
    members.writes.push_back(
        {LeadershipView::MemberKey(absl::StrCat("other", count)),
         LeadershipView::EncodeMember({1, "p", 0}), 0, false});
  }
  (void)m_table.Apply(members);
  m_loop.RunFor(absl::Seconds(2));
  const size_t closed = m_driver.closed.size();
  CHECK(closed >= 3);
  Open("orders");
  RunStatement(StatementKind::kRead, "READ k");
  m_loop.RunFor(absl::Milliseconds(100));
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
  m_loop.RunFor(absl::Seconds(1));
  CHECK(m_driver.closed.size() == closed + 1);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_DrainBegins_ClosesIdleSessionsOnly") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_gateway.BeginDrain();
  m_loop.RunFor(absl::Milliseconds(200));
  CHECK_FALSE(m_caller.closed);
  ReplyToOldest(ReplyCode::kComplete);
  m_loop.RunFor(absl::Milliseconds(200));
  CHECK(m_caller.closed);
}

// A group that lost its number of synchronous replicas could lose commits.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_ServiceInvalidInNewVersion_KeepsItsSettings") {
  Configuration configuration;
  configuration.version = 4;
  configuration.groups["g"] = {.max_connections = 12, .sync_replicas = 1};
  m_gateway.OnConfiguration(configuration);
  configuration.version = 5;
  configuration.groups.clear();
  configuration.invalid_groups = {"g"};
  m_gateway.OnConfiguration(configuration);
  CHECK(m_gateway.SyncReplicas("g") == 1);
  configuration.version = 6;
  configuration.invalid_groups.clear();
  m_gateway.OnConfiguration(configuration);
  CHECK(m_gateway.SyncReplicas("g") == 0);
}

// The address of a target whose group no configuration names is not trusted.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_TargetOfUnknownGroup_GetsNoConnection") {
  ListedTarget target;
  target.id = "stranger";
  target.group = "unknown";
  target.address = "stranger";
  m_gateway.OnTargets({target});
  m_loop.RunFor(absl::Seconds(2));
  CHECK_FALSE(m_driver.opened_to.contains("stranger"));
}

// A session that always had a statement in flight when the gateway looked for
// idle ones was not closed, and its statement was cut off when the process
// ended.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_Draining_BusySessionIsClosedWithItsReply") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_gateway.BeginDrain();
  Reply reply;
  reply.signature = "sig";
  m_driver.sent.front().on_reply(reply);
  CHECK(LastReply().code == ReplyCode::kComplete);
  CHECK(m_caller.closed);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_Draining_SessionInTransactionStaysOpen") {
  Open("orders");
  m_gateway.BeginDrain();
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  CHECK_FALSE(m_caller.closed);
  RunStatement(StatementKind::kCommit, "COMMIT");
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(m_caller.closed);
}

// A caller that has just connected is about to send its first statement.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_Draining_NewSessionMaySendAStatement") {
  m_gateway.BeginDrain();
  Open("orders");
  m_loop.RunFor(absl::Milliseconds(100));
  CHECK_FALSE(m_caller.closed);
  m_loop.RunFor(absl::Milliseconds(300));
  CHECK(m_caller.closed);
}

// A commit in flight at the end of the time for transactions was reported in
// doubt although its reply arrived in time.
TEST_CASE_FIXTURE(SessionFixture,
                  "Gateway_TransactionsEnd_CommitInFlightIsAnswered") {
  Open("orders");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  RunStatement(StatementKind::kCommit, "COMMIT");
  m_gateway.EndTransactions("the instance is stopping");
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

}  // namespace
}  // namespace heatherwick
