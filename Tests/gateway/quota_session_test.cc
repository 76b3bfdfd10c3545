// Guards against operations that are counted twice or not at all, that run
// after their caller was told that they did not, and against callers that get
// no answer while they wait for their workspace's quota.

#include <deque>
#include <string>
#include <vector>

#include "Tests/gateway/session_fixture.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// One coordinator, whose answers the test gives.
class ScriptedCoordinator : public QuotaTransport, public QuotaFleetView {
 public:
  struct Call {
    QuotaQuery query;
    std::function<void(Result<QuotaResponse>)> done;
  };

  void AskQuota(const std::string&,
                const QuotaQuery& query,
                absl::Duration,
                std::function<void(Result<QuotaResponse>)> done) override {
    asked += static_cast<int>(query.count);
    calls.push_back({query, std::move(done)});
  }
  bool MembersRead() const override { return true; }
  uint64_t MembersRevision() const override { return 1; }
  std::vector<FleetMember> Members() const override {
    return {{"peer", "a", 1}};
  }
  std::string PeerAddress(const InstanceId& id) const override { return id; }
  bool HasRowOfEarlierRun() const override { return false; }
  bool LeaseValid() const override { return true; }

  std::deque<Call> calls;  // Not answered yet.
  int asked = 0;           // Operations in all calls.
};

class QuotaSessionFixture : public SessionFixture {
 protected:
  QuotaSessionFixture() {
    m_gateway.SetQuotaGate(&m_quota);
    m_quota.Start();
    Configure(true);
  }
  // The session's ticket needs the gate.
  ~QuotaSessionFixture() { m_session.reset(); }

  void Configure(bool with_quota, const std::string& key = "k1") {
    Configuration configuration;
    configuration.version = ++m_version;
    configuration.groups["g"] = {.max_connections = 12};
    AddRoute(&configuration, "orders", Consistency::kCurrent);
    configuration.has_workspaces = true;
    Workspace& workspace = configuration.workspaces["w"];
    workspace.name = "w";
    workspace.keys = {key};
    if (with_quota) {
      workspace.quota = WorkspaceQuota{100, 10};
    }
    m_gateway.OnConfiguration(configuration);
    m_gateway.OnConfigurationRead(m_loop.Now());
    m_loop.RunFor(absl::Milliseconds(20));
  }

  void AnswerQuota(uint32_t granted) {
    REQUIRE_FALSE(m_coordinator.calls.empty());
    const ScriptedCoordinator::Call call = m_coordinator.calls.front();
    m_coordinator.calls.pop_front();
    QuotaResponse response;
    response.granted = granted;
    response.retry_after = absl::Milliseconds(400);
    call.done(response);
    m_loop.RunFor(absl::Milliseconds(20));
  }

  ScriptedCoordinator m_coordinator;
  QuotaGate m_quota{"self",
                    "a",
                    absl::Milliseconds(2100),
                    {absl::Seconds(5), 0.1, 20},
                    &m_loop,
                    &m_coordinator,
                    &m_coordinator,
                    &m_metrics};
  uint64_t m_version = 10;
};

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_Statement_RunsOnlyOnceItIsAdmitted") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(m_driver.sent.empty());
  AnswerQuota(1);
  REQUIRE(m_driver.sent.size() == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_Transaction_CountsAsOneOperation") {
  Open("orders", "k1");
  for (int transaction = 1; transaction <= 2; ++transaction) {
    RunStatement(StatementKind::kBegin, "BEGIN");
    RunStatement(StatementKind::kWrite, "WRITE k v");
    AnswerQuota(1);
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
    RunStatement(StatementKind::kRead, "READ k");
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
    RunStatement(StatementKind::kCommit, "COMMIT");
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kIdle);
    CHECK(LastReply().code == ReplyCode::kComplete);
    CHECK(m_coordinator.asked == transaction);
  }
}

// Nothing of the transaction has reached a target, so that nothing counts.
TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_EmptyTransactionRolledBack_IsNotCounted") {
  Open("orders", "k1");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kRollback, "ROLLBACK");
  CHECK(m_coordinator.asked == 0);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_StatementRepeatedInside_CountsOnce") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  AnswerQuota(1);
  ReplyToOldest(ReplyCode::kBusy);
  REQUIRE(m_driver.sent.size() == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
  CHECK(m_coordinator.asked == 1);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_QuotaUsedUp_SaysWhenToComeBack") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  AnswerQuota(0);
  CHECK(LastReply().code == ReplyCode::kBusy);
  CHECK(LastReply().error_text.find("retry after ") == 0);
  CHECK(LastReply().error_text.find("quota is used up") != std::string::npos);
  CHECK(m_driver.sent.empty());
  CHECK_FALSE(m_caller.closed);
}

// The caller was told that the transaction is gone. Its next statements must
// not run as single ones inside of what it takes for a transaction, and its
// next transaction counts anew.
TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_TransactionRefused_IsAborted") {
  Open("orders", "k1");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  AnswerQuota(0);
  CHECK(LastReply().code == ReplyCode::kAborted);
  CHECK(LastReply().state == TransactionState::kIdle);
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(LastReply().code == ReplyCode::kMalformed);
  CHECK(m_driver.sent.empty());
  m_loop.RunFor(absl::Milliseconds(500));
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  AnswerQuota(1);
  REQUIRE(m_driver.sent.size() == 1);
  CHECK(m_coordinator.asked == 2);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_CallerLeavesWhileItWaits_NothingRuns") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_session.reset();
  AnswerQuota(1);
  m_loop.RunFor(absl::Seconds(2));
  CHECK(m_driver.sent.empty());
  CHECK(m_caller.replies.empty());
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_DeadlinePassesWhileItWaits_NothingRuns") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_loop.RunFor(absl::Seconds(1));
  REQUIRE(m_caller.replies.size() == 1);
  CHECK(LastReply().code == ReplyCode::kBusy);
  AnswerQuota(1);
  CHECK(m_driver.sent.empty());
  CHECK(m_caller.replies.size() == 1);
  // The session serves the next statement.
  RunStatement(StatementKind::kWrite, "WRITE k v");
  AnswerQuota(1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_DrainWhileItWaits_IsAnsweredThenClosed") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_gateway.BeginDrain();
  m_loop.RunFor(absl::Milliseconds(300));
  CHECK_FALSE(m_caller.closed);
  AnswerQuota(1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
  CHECK(m_caller.closed);
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_TransactionsEndWhileItWaits_IsAborted") {
  Open("orders", "k1");
  RunStatement(StatementKind::kBegin, "BEGIN");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_gateway.EndTransactions("the instance is stopping");
  CHECK(LastReply().code == ReplyCode::kAborted);
  AnswerQuota(1);
  CHECK(m_driver.sent.empty());
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_LeaseLostWhileItWaits_IsRefusedAndClosed") {
  Open("orders", "k1");
  m_store.SetDown(true);
  m_loop.RunFor(absl::Seconds(5));
  REQUIRE_FALSE(m_leadership.LeaseValid());
  RunStatement(StatementKind::kWrite, "WRITE k v");
  m_loop.RunFor(absl::Milliseconds(200));
  REQUIRE_FALSE(m_caller.replies.empty());
  CHECK(LastReply().code == ReplyCode::kBusy);
  CHECK(m_caller.closed);
  AnswerQuota(1);
  CHECK(m_driver.sent.empty());
}

// The instance knows of the withdrawal before anything was sent to a target.
TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_KeyWithdrawnWhileItWaits_NothingRuns") {
  for (const bool in_transaction : {false, true}) {
    CAPTURE(in_transaction);
    Configure(true);
    Open("orders", "k1");
    if (in_transaction) {
      RunStatement(StatementKind::kBegin, "BEGIN");
    }
    RunStatement(StatementKind::kWrite, "WRITE k v");
    Configure(true, "k2");
    AnswerQuota(1);
    CHECK(m_driver.sent.empty());
    CHECK(LastReply().code ==
          (in_transaction ? ReplyCode::kAborted : ReplyCode::kBusy));
    RunStatement(StatementKind::kWrite, "WRITE k v");
    CHECK(LastReply().code == ReplyCode::kUnauthorized);
    CHECK(m_driver.sent.empty());
  }
}

TEST_CASE_FIXTURE(QuotaSessionFixture,
                  "QuotaSession_QuotaRemovedWhileItWaits_Runs") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  Configure(false);
  REQUIRE(m_driver.sent.size() == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

}  // namespace
}  // namespace heatherwick
