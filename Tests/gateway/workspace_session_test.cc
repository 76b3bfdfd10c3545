// Guards against statements that run on another workspace's connection, or with
// a key that was withdrawn, also in the middle of a transaction.

#include <string>

#include "Tests/gateway/session_fixture.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class WorkspaceSessionFixture : public SessionFixture {
 protected:
  WorkspaceSessionFixture() {
    m_gateway.SetRevocationLimit(absl::Seconds(5));
    Configure({{"k1", "w"}, {"k2", "v"}});
    m_gateway.OnConfigurationRead(m_loop.Now());
  }

  // Replaces the keys of the configuration.
  void Configure(const std::map<std::string, WorkspaceName>& keys) {
    Configuration configuration;
    configuration.version = ++m_version;
    configuration.groups["g"] = {.max_connections = 12};
    AddRoute(&configuration, "orders", Consistency::kCurrent);
    AddRoute(&configuration, "open", Consistency::kCurrent);
    configuration.routes["open"].is_public = true;
    configuration.has_workspaces = true;
    for (const auto& [key, name] : keys) {
      configuration.workspaces[name].name = name;
      configuration.workspaces[name].keys.insert(key);
    }
    m_gateway.OnConfiguration(configuration);
    m_loop.RunFor(absl::Milliseconds(20));
  }

  void BeginAndWrite() {
    RunStatement(StatementKind::kBegin, "BEGIN");
    RunStatement(StatementKind::kWrite, "WRITE k v");
    ReplyToOldest(ReplyCode::kComplete, TransactionState::kOpen);
  }

  WorkspaceName WorkspaceOfOldest() const {
    return m_driver.workspaces.at(m_driver.sent.at(0).connection);
  }

  uint64_t m_version = 10;
};

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_TwoKeys_EachRunsOnItsOwnConnection") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(WorkspaceOfOldest() == "w");
  ReplyToOldest(ReplyCode::kComplete);
  Open("orders", "k2");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(WorkspaceOfOldest() == "v");
}

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_PublicRoute_NeedsNoKey") {
  Open("open", "");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(WorkspaceOfOldest().empty());
}

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_KeyWithdrawnWhileIdle_SessionIsClosed") {
  Open("orders", "k1");
  Configure({{"k2", "v"}});
  CHECK(m_caller.closed);
}

// The withdrawal must stop a statement inside an open transaction, and nothing
// of the transaction may be committed.
TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_KeyWithdrawnInTransaction_IsRolledBack") {
  Open("orders", "k1");
  BeginAndWrite();
  const size_t closed = m_driver.closed.size();
  Configure({{"k2", "v"}});
  CHECK(m_driver.closed.size() > closed);  // The target rolls back.
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(m_driver.sent.empty());
  CHECK(LastReply().code == ReplyCode::kUnauthorized);
  CHECK(LastReply().state == TransactionState::kIdle);
  CHECK(m_caller.closed);
}

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_StatementInFlightAtWithdrawal_IsAnswered") {
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  Configure({{"k2", "v"}});
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(LastReply().code == ReplyCode::kUnauthorized);
  CHECK(m_driver.sent.empty());
}

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_KeyMovedInTransaction_IsAborted") {
  Open("orders", "k1");
  BeginAndWrite();
  Configure({{"k1", "v"}});
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(m_driver.sent.empty());
  CHECK(LastReply().code == ReplyCode::kAborted);
  CHECK_FALSE(m_caller.closed);
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(WorkspaceOfOldest() == "v");
}

TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_KeyWithdrawnAndAddedAgain_IsServed") {
  Configure({{"k2", "v"}});
  Configure({{"k1", "w"}, {"k2", "v"}});
  Open("orders", "k1");
  RunStatement(StatementKind::kWrite, "WRITE k v");
  CHECK(WorkspaceOfOldest() == "w");
}

// An instance that cannot learn of withdrawals must stop within the limit, and
// must send callers elsewhere.
TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_ConfigurationStale_NothingRuns") {
  Open("orders", "k1");
  BeginAndWrite();
  m_loop.Freeze(absl::Seconds(5));
  RunStatement(StatementKind::kCommit, "COMMIT");
  CHECK(m_driver.sent.empty());
  CHECK(LastReply().code == ReplyCode::kAborted);
  CHECK(m_caller.closed);
  CHECK_FALSE(m_gateway.Ready());
}

// The configuration arrives before the time of its reading is known. A key that
// is still in force was taken for one that has moved.
TEST_CASE_FIXTURE(WorkspaceSessionFixture,
                  "WorkspaceSession_ConfigurationAfterAnOutage_KeepsKeyInUse") {
  m_gateway.SetRevocationLimit(absl::Milliseconds(500));
  Open("orders", "k1");
  BeginAndWrite();
  m_loop.RunFor(absl::Seconds(1));
  Configure({{"k1", "w"}, {"k2", "v"}});
  m_gateway.OnConfigurationRead(m_loop.Now());
  RunStatement(StatementKind::kCommit, "COMMIT");
  REQUIRE(m_driver.sent.size() == 1);
  ReplyToOldest(ReplyCode::kComplete);
  CHECK(LastReply().code == ReplyCode::kComplete);
}

}  // namespace
}  // namespace heatherwick
