// Guards against reads of a lent group that are placed by what this instance
// alone sees, and against statements that wait because their choice changes.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/borrowing_driver.h"
#include "Source/gateway/connection_lender.h"
#include "Source/gateway/load/lent_reads.h"
#include "Tests/gateway/session_fixture.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Answers for the only lender.
class LenderTransport : public LendingTransport {
 public:
  explicit LenderTransport(VirtualLoop* loop) : m_loop(loop) {}

  void Run(const std::string&,
           const RunQuery& query,
           absl::Duration,
           std::function<void(Result<RunResponse>)> done) override {
    if (query.commands.back().kind == StatementKind::kRead) {
      ++reads[query.target];
    }
    RunResponse response;
    for (size_t index = 0; index < query.commands.size(); ++index) {
      Reply reply;
      reply.position = Position{1, 5};
      response.replies.push_back(reply);
    }
    if (failing.contains(query.target)) {
      response.replies.back().code = ReplyCode::kFailed;
    }
    const auto load = loads.find(query.target);
    if (load != loads.end()) {
      response.load = load->second;
    }
    m_loop->Add(absl::Milliseconds(5), [done, response]() { done(response); });
  }
  void Return(const std::string&, uint64_t) override {}
  void Cancel(const std::string&, uint64_t) override {}
  void QueryPosition(
      const std::string&,
      const GroupName&,
      absl::Duration,
      std::function<void(Result<LenderPosition>)> done) override {
    m_loop->Add(absl::Milliseconds(1), [done]() {
      done(LenderPosition{1, {1, 5}, absl::Milliseconds(1)});
    });
  }

  std::map<TargetId, int> reads;
  std::map<TargetId, TargetLoad> loads;
  std::set<TargetId> failing;

 private:
  VirtualLoop* const m_loop;
};

// The group's targets have fewer connections than there are instances.
class LentGroupFixture : public SessionFixture {
 protected:
  LentGroupFixture() {
    for (const char* name : {"i1", "i2", "i3"}) {
      const std::string key = absl::StrCat("member/", name);
      m_table.rows[key] = {
          key,
          R"({"incarnation":3,"peer":"p","data_centre":"a","capacity":1000})",
          ++m_table.version, false};
    }
    m_gateway.SetLending(&m_borrowing, &m_lender);
    Configuration configuration;
    configuration.version = 4;
    configuration.groups["g"] = {.max_connections = 1};
    AddRoute(&configuration, "orders", Consistency::kCurrent);
    AddRoute(&configuration, "views", Consistency::kBoundedStaleness);
    m_gateway.OnConfiguration(configuration);
    m_loop.RunFor(absl::Seconds(1));
    REQUIRE(m_leadership.MemberCount() == 4);
    REQUIRE(m_borrowing.Borrows("g"));
    m_driver.borrowing = &m_borrowing;
    Open("views");
  }

  ~LentGroupFixture() {
    m_session.reset();
    m_gateway.OnTargets({});
    m_loop.RunFor(absl::Milliseconds(1));
    m_gateway.SetLending(nullptr, nullptr);
  }

  void Read(int count, absl::Duration pause = absl::ZeroDuration()) {
    for (int read = 0; read < count; ++read) {
      RunStatement(StatementKind::kRead, "read");
      m_loop.RunFor(pause);
    }
  }
  uint64_t Counter(const std::string& name) const {
    const auto counters = m_metrics.Counters();
    const auto found = counters.find(name);
    return found == counters.end() ? 0 : found->second;
  }

  LenderTransport m_transport{&m_loop};
  ScriptedDriver m_direct{&m_loop};
  BorrowingDriver m_borrowing{&m_loop, &m_direct, &m_transport, 1};
  ConnectionLender m_lender{&m_loop, 1,
                            [](const auto&, const auto&) { return nullptr; }};
};

TEST_CASE_FIXTURE(LentGroupFixture,
                  "LentReads_LoadsReported_LoadedTargetGetsFewerReads") {
  const absl::Duration latency = absl::Milliseconds(20);
  m_transport.loads = {{"db0", {1, 0, latency}},
                       {"db1", {1, 0, latency}},
                       {"db2", {20, 40, latency}}};
  Read(600);
  CHECK(m_caller.replies.size() == 600);
  CHECK(m_transport.reads["db2"] < 60);
  CHECK(m_transport.reads["db0"] > 60);
  CHECK(m_transport.reads["db1"] > m_transport.reads["db0"]);
  CHECK(Counter("read_choices/primary") ==
        static_cast<uint64_t>(m_transport.reads["db0"]));
  CHECK(Counter("read_choices/primary") + Counter("read_choices/replica") ==
        600);
  CHECK(Counter("target_load_ignored") == 0);
  CHECK(m_metrics.Latencies().at("target_load_age").Count() > 500);
}

TEST_CASE_FIXTURE(LentGroupFixture, "LentReads_TargetFailsReads_LosesItsWork") {
  m_transport.failing = {"db1"};
  // The pause is long enough for all attempts.
  Read(300, absl::Milliseconds(100));
  CHECK(m_caller.replies.size() == 300);
  for (const Reply& reply : m_caller.replies) {
    CHECK(reply.code == ReplyCode::kComplete);
  }
  CHECK(m_transport.reads["db1"] < 30);
  CHECK(Counter("target_work_reduced/failed") ==
        static_cast<uint64_t>(m_transport.reads["db1"]));
}

TEST_CASE_FIXTURE(LentGroupFixture,
                  "LentReads_LenderReportsNonsense_IsIgnored") {
  m_transport.loads = {{"db1", {0, 4000000000, absl::Milliseconds(20)}},
                       {"db2", {0, 0, absl::Seconds(-1)}}};
  Read(300);
  CHECK(m_caller.replies.size() == 300);
  CHECK(m_transport.reads["db1"] > 75);
  CHECK(m_transport.reads["db2"] > 75);
  CHECK(Counter("target_load_ignored") ==
        static_cast<uint64_t>(m_transport.reads["db1"] +
                              m_transport.reads["db2"]));
  CHECK(Counter("read_choices_load_unknown") == 300);
}

}  // namespace
}  // namespace heatherwick
