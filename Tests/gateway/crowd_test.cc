// Guards against an instance that lets statements wait until their deadline
// although it cannot serve them, refuses statements that it could serve, or
// does work for callers that have left.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/gateway/quota/quota_gate.h"
#include "Tests/gateway/session_fixture.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Many callers at one instance. Targets answer each statement after 27 ms.
class CrowdFixture : public SessionFixture {
 protected:
  struct Caller {
    RecordingCaller link;
    std::unique_ptr<CallerSession> session;
    absl::Time arrived;
    absl::Time answered = absl::InfiniteFuture();
  };

  void Arrive(size_t count, const std::string& database, StatementKind kind) {
    for (size_t i = 0; i < count; ++i) {
      m_callers.push_back(std::make_unique<Caller>());
      Caller& caller = *m_callers.back();
      caller.arrived = m_loop.Now();
      caller.session = std::make_unique<CallerSession>(&m_gateway, database, "",
                                                       &caller.link);
      caller.session->OnStatement(MakeStatement(kind, "statement"));
    }
  }
  void Step() {
    while (!m_driver.sent.empty()) {
      const ScriptedDriver::SentCommand sent = m_driver.sent.front();
      m_driver.sent.pop_front();
      ++m_ran;
      m_loop.Add(m_statement_time, [this, sent]() {
        if (!m_driver.Closed(sent.connection)) {
          Reply reply;
          reply.position = Position{1, 5};
          sent.on_reply(reply);
        }
      });
    }
    m_loop.RunFor(absl::Milliseconds(1));
    for (const auto& caller : m_callers) {
      if (!caller->link.replies.empty() &&
          caller->answered == absl::InfiniteFuture()) {
        caller->answered = m_loop.Now();
      }
    }
  }
  void Run(absl::Duration time) {
    for (const absl::Time end = m_loop.Now() + time; m_loop.Now() < end;) {
      Step();
    }
  }
  size_t Answered(ReplyCode code) const {
    return std::count_if(m_callers.begin(), m_callers.end(),
                         [code](const auto& caller) {
                           return !caller->link.replies.empty() &&
                                  caller->link.replies[0].code == code;
                         });
  }
  uint64_t Count(const std::string& name) const {
    return m_metrics.Counters()[name];
  }

  absl::Duration m_statement_time = absl::Milliseconds(27);
  std::vector<std::unique_ptr<Caller>> m_callers;
  int m_ran = 0;
};

// A crowd of writes that the primary needs 2 s for, of which each may wait for
// 0.7 s.
TEST_CASE_FIXTURE(CrowdFixture,
                  "Crowd_MoreThanCanBeServed_IsRefusedBeforeItsDeadline") {
  Arrive(500, "orders", StatementKind::kWrite);
  Run(absl::Seconds(2));
  CHECK(Answered(ReplyCode::kComplete) + Answered(ReplyCode::kBusy) == 500);
  // Seven connections serve 259 statements a second; 0.7 s of these are served.
  CHECK(Answered(ReplyCode::kComplete) >= 259 * 7 / 10 * 95 / 100);
  const uint64_t early = Count("refusals/backlog");
  CHECK(early > Count("refusals/queue_deadline"));
  std::set<std::string> texts;
  for (const auto& caller : m_callers) {
    const Reply& reply = caller->link.replies[0];
    if (reply.error_text.find("the backlog is too long") != std::string::npos) {
      texts.insert(reply.error_text);
      CHECK(caller->answered - caller->arrived < absl::Milliseconds(700));
    }
  }
  CHECK(texts.size() > early / 4);
}

// The same crowd, as far as it can be served in time.
TEST_CASE_FIXTURE(CrowdFixture, "Crowd_ThatCanBeServed_IsServed") {
  Arrive(150, "orders", StatementKind::kWrite);
  Run(absl::Seconds(1));
  CHECK(Answered(ReplyCode::kComplete) == 150);
  CHECK(Count("refusals/backlog") == 0);
}

// Reads need no primary: a backlog of writes must not refuse them.
TEST_CASE_FIXTURE(CrowdFixture, "Crowd_OfWrites_ReadsAreNotRefused") {
  Arrive(500, "orders", StatementKind::kWrite);
  Run(absl::Milliseconds(400));
  REQUIRE(Count("refusals/backlog") > 0);
  const size_t writes = m_callers.size();
  Arrive(10, "views", StatementKind::kRead);
  Run(absl::Milliseconds(200));
  for (size_t i = writes; i < m_callers.size(); ++i) {
    REQUIRE(m_callers[i]->link.replies.size() == 1);
    CHECK(m_callers[i]->link.replies[0].code == ReplyCode::kComplete);
  }
}

TEST_CASE_FIXTURE(CrowdFixture, "Crowd_CallersLeave_TheirStatementsDoNotRun") {
  Arrive(100, "orders", StatementKind::kWrite);
  Run(absl::Milliseconds(60));
  const int ran = m_ran;
  REQUIRE(ran < 50);
  REQUIRE(m_gateway.Waiting() > 50);
  m_callers.clear();
  CHECK(m_gateway.Waiting() == 0);
  Run(absl::Seconds(1));
  CHECK(m_ran == ran);
  Arrive(1, "orders", StatementKind::kWrite);
  Run(absl::Milliseconds(100));
  CHECK(Answered(ReplyCode::kComplete) == 1);
}

// Answers no question for a quota until the test does.
class HeldQuotaTransport : public QuotaTransport, public QuotaFleetView {
 public:
  void AskQuota(const std::string&,
                const QuotaQuery& query,
                absl::Duration,
                std::function<void(Result<QuotaResponse>)> done) override {
    asked.push_back({query, std::move(done)});
  }
  bool MembersRead() const override { return true; }
  uint64_t MembersRevision() const override { return 1; }
  std::vector<FleetMember> Members() const override {
    return {{"other", "a", 1}};
  }
  std::string PeerAddress(const InstanceId& id) const override { return id; }
  bool HasRowOfEarlierRun() const override { return false; }
  bool LeaseValid() const override { return true; }

  struct Asked {
    QuotaQuery query;
    std::function<void(Result<QuotaResponse>)> done;
  };
  std::vector<Asked> asked;
};

TEST_CASE_FIXTURE(SessionFixture,
                  "Crowd_CallerLeavesWhileQuotaIsAsked_StatementDoesNotRun") {
  HeldQuotaTransport transport;
  QuotaGate gate("self", "a", absl::Seconds(2), {}, &m_loop, &transport,
                 &transport, &m_metrics);
  m_gateway.SetQuotaGate(&gate);
  gate.Start();
  Configuration configuration;
  configuration.version = 4;
  configuration.groups["g"] = {.max_connections = 12};
  AddRoute(&configuration, "orders", Consistency::kCurrent);
  configuration.has_workspaces = true;
  configuration.workspaces["w"] = {
      .name = "w", .keys = {"k"}, .quota = WorkspaceQuota{5, 5}};
  m_gateway.OnConfiguration(configuration);
  m_gateway.OnConfigurationRead(m_loop.Now());
  m_loop.RunFor(absl::Milliseconds(100));
  for (const bool leaves : {true, false}) {
    CAPTURE(leaves);
    Open("orders", "k");
    RunStatement(StatementKind::kWrite, "WRITE k v");
    REQUIRE(transport.asked.size() == 1);
    if (leaves) {
      m_session.reset();
    }
    const HeldQuotaTransport::Asked asked = transport.asked.back();
    transport.asked.clear();
    QuotaResponse granted;
    granted.granted = 1;
    asked.done(granted);
    m_loop.RunFor(absl::Milliseconds(100));
    CHECK(m_driver.sent.size() == (leaves ? 0 : 1));
  }
  m_session.reset();
  m_gateway.SetQuotaGate(nullptr);
}

}  // namespace
}  // namespace heatherwick
