// Runs callers' statements through the gateway, with fake targets whose replies
// are scripted by the test.

#include "Source/gateway/caller_session.h"

#include <memory>
#include <string>
#include <vector>

#include "Source/gateway/era_scoped_row_store.h"
#include "Source/gateway/gateway.h"
#include "Tests/gateway/session_fixture.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

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
  ReadAtEachTarget();
  RunStatement(StatementKind::kRead, "READ k");
  REQUIRE(m_driver.sent.size() == 1);
  const int connection = m_driver.sent[0].connection;
  m_loop.RunFor(absl::Milliseconds(400));
  CHECK(m_driver.Closed(connection));
  CHECK(m_driver.sent.size() >= 2);
}

// Guards against reads that are run again when every target may be as slow.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SlowRead_NoFasterTargetKnown_WaitsForReply") {
  Open("views");
  RunStatement(StatementKind::kRead, "READ k");
  m_loop.RunFor(absl::Milliseconds(800));
  CHECK(m_driver.sent.size() == 1);
  CHECK(m_metrics.Counters()["slow_reads/no_faster_target"] == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SlowReads_BudgetUsedUp_WaitForReply") {
  Open("views");
  ReadAtEachTarget();
  RunStatement(StatementKind::kRead, "READ k");
  m_loop.RunFor(absl::Milliseconds(300));
  REQUIRE(m_driver.sent.size() == 2);
  m_driver.sent.pop_front();
  ReplyToOldest(ReplyCode::kComplete);
  REQUIRE(m_metrics.Counters()["slow_reads/allowed"] == 1);
  RunStatement(StatementKind::kRead, "READ k");
  m_loop.RunFor(absl::Milliseconds(300));
  CHECK(m_driver.sent.size() == 1);
  CHECK(m_metrics.Counters()["slow_reads/budget_used_up"] == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

// Guards against a crowd's refused statements that return every 15 ms.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_TargetsStayBusy_AttemptsBecomeRarer") {
  Open("views");
  RunStatement(StatementKind::kRead, "READ k");
  int attempts = 0;
  for (int ms = 0; ms < 600 && m_caller.replies.empty(); ++ms) {
    while (!m_driver.sent.empty()) {
      ++attempts;
      Reply reply;
      reply.code = ReplyCode::kBusy;
      const ScriptedDriver::SentCommand sent = m_driver.sent.front();
      m_driver.sent.pop_front();
      sent.on_reply(reply);
    }
    m_loop.RunFor(absl::Milliseconds(1));
  }
  CHECK(attempts >= 4);
  CHECK(attempts <= 7);
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

// A connection whose ROLLBACK stays unanswered must not stay busy for ever:
// else lost answers use up the pool one by one.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_RollbackAnswersLost_PoolIsWholeAgain") {
  m_driver.lose_cleanup = true;
  // More often than there are connections to the primary.
  int served = 0;
  for (int round = 0; round < 12; ++round) {
    RecordingCaller caller;
    CallerSession session(&m_gateway, "orders", "", &caller);
    session.OnStatement(MakeStatement(StatementKind::kBegin, "BEGIN"));
    session.OnStatement(MakeStatement(StatementKind::kWrite, "WRITE k v"));
    m_loop.RunFor(absl::Milliseconds(20));
    if (m_driver.sent.empty()) {
      break;  // None of the pool is left.
    }
    ++served;
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
    session.OnStatement(MakeStatement(StatementKind::kRollback, "ROLLBACK"));
  }
  REQUIRE(served < 12);
  REQUIRE(served > 1);
  m_driver.lose_cleanup = false;
  m_loop.RunFor(absl::Seconds(4));
  m_driver.sent.clear();
  // As many statements as before run at the same time.
  std::vector<std::unique_ptr<RecordingCaller>> callers;
  std::vector<std::unique_ptr<CallerSession>> sessions;
  for (int index = 0; index < served; ++index) {
    callers.push_back(std::make_unique<RecordingCaller>());
    sessions.push_back(std::make_unique<CallerSession>(&m_gateway, "orders", "",
                                                       callers.back().get()));
    sessions.back()->OnStatement(
        MakeStatement(StatementKind::kWrite, "WRITE k v"));
  }
  m_loop.RunFor(absl::Milliseconds(200));
  CHECK(m_driver.sent.size() == static_cast<size_t>(served));
}

// An answer to a statement that comes while another one is in progress was
// taken for that one's, and left the connection in use by two (review/2).
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_StatementWhileOneRuns_ClosesUnanswered") {
  Open("orders");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  RunStatement(StatementKind::kBegin, "BEGIN");
  CHECK(m_caller.replies.empty());
  CHECK(m_caller.closed);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(m_caller.replies.size() == 1);
  CHECK_FALSE(m_session->InTransaction());
}

// Session state is kept for the life of a session, so that it must be bounded.
TEST_CASE_FIXTURE(SessionFixture,
                  "CallerSession_SetsManyLongValues_IsRefusedBeyondLimit") {
  Open("orders");
  const std::string value(1000000, 'x');
  RunStatement(StatementKind::kSet, "SET a", "a", value);
  CHECK(LastReply().code == ReplyCode::kComplete);
  RunStatement(StatementKind::kSet, "SET a", "a", value);
  RunStatement(StatementKind::kSet, "SET a", "a", value);
  CHECK(LastReply().code == ReplyCode::kComplete);
  RunStatement(StatementKind::kSet, "SET b", "b", value);
  CHECK(LastReply().code == ReplyCode::kComplete);
  RunStatement(StatementKind::kPrepareRead, "PREPARE p", "p", value);
  CHECK(LastReply().code == ReplyCode::kTooLarge);
  CHECK(m_session->StateBytes() < 3 * value.size());
}

class NewEraFixture : public SessionFixture {
 protected:
  // The target answers a write while the instance registers in a new era.
  void AnswerWriteInNewEra() {
    Open("orders");
    RunStatement(StatementKind::kWrite, "WRITE k v");
    const FakeTable copy = m_table;
    m_table.ReturnTo(copy);
    m_leadership.OnEra(1);
    REQUIRE_FALSE(m_leadership.LeaseValid());
  }
};

// Each commit in flight was in doubt when the store returned from a copy.
TEST_CASE_FIXTURE(NewEraFixture,
                  "CallerSession_EraBeginsInCommit_IsAcknowledgedLater") {
  AnswerWriteInNewEra();
  ReplyToOldest(ReplyCode::kComplete);
  m_loop.RunFor(absl::Seconds(1));
  REQUIRE(m_caller.replies.size() == 1);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(NewEraFixture,
                  "CallerSession_OtherPrimaryLeadsInNewEra_ReportsInDoubt") {
  AnswerWriteInNewEra();
  GroupLeader leader;
  leader.epoch = 9;
  leader.phase = LeaderPhase::kOpen;
  leader.primary = "db1";
  leader.term = 2;
  leader.holder = "x";
  RowTransaction transaction;
  transaction.writes = {
      {EraScopedRowStore::StoredKey(1, LeadershipView::LeaderKey("g")),
       LeadershipView::EncodeLeader(leader), 0, false}};
  (void)m_table.Apply(transaction);
  ReplyToOldest(ReplyCode::kComplete);
  m_loop.RunFor(absl::Seconds(2));
  REQUIRE(m_caller.replies.size() == 1);
  CHECK(LastReply().code == ReplyCode::kInDoubt);
}

}  // namespace
}  // namespace heatherwick
