// Guards against lent connections that mix two borrowers' statements or session
// state, run a statement twice, report a statement that ran as not run, or pass
// a target's limit.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Source/decision/lender_plan.h"
#include "Source/decision/repeat_budget.h"
#include "Source/gateway/borrowing_driver.h"
#include "Source/gateway/connection_lender.h"
#include "Source/gateway/target_pool.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kHop = absl::Milliseconds(1);

// A database with a few slots, which opening a connection and running a
// statement occupy.
class FakeDatabase : public TargetDriver {
 public:
  struct Ran {
    std::string id;
    int connection;
    WorkspaceName workspace = "";  // Of the connection.
  };

  FakeDatabase(VirtualLoop* loop, size_t slots, size_t max_connections)
      : m_loop(loop), m_slots(slots), m_max_connections(max_connections) {}

  std::unique_ptr<TargetLink> Open(
      const ListedTarget&,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) override {
    const int number = ++opened;
    if (m_connections.size() + lingering >= m_max_connections) {
      ++refused;
      m_loop->Add(kHop, [on_open]() {
        on_open(Error{ErrorKind::kOverloaded, "too many connections", ""});
      });
      return std::make_unique<Link>(this, number);
    }
    m_connections[number].on_close = std::move(on_close);
    m_connections[number].workspace = workspace;
    most_connections = std::max(most_connections, m_connections.size());
    Occupy(number, open_time, [this, number, on_open]() {
      if (m_connections.contains(number)) {
        on_open(Position{1, 1});
      }
    });
    return std::make_unique<Link>(this, number);
  }
  std::optional<TargetStatus> ParseStatus(const Reply&) override {
    return std::nullopt;
  }

  void LoseConnections() {
    auto lost = std::exchange(m_connections, {});
    for (auto& [number, connection] : lost) {
      connection.on_close(Error{ErrorKind::kUnavailable, "reset", ""});
    }
  }

  int opened = 0;
  int refused = 0;
  size_t Connections() const { return m_connections.size(); }
  size_t most_connections = 0;
  std::vector<Ran> ran;  // Statements of borrowers.
  int resets = 0;
  bool fail_setup = false;
  size_t lingering = 0;      // Connections of machines that have lost power.
  bool hold = false;         // Statements get no reply.
  bool lose_resets = false;  // RESET gets no reply; the connection stays open.
  absl::Duration open_time = absl::Milliseconds(12);
  absl::Duration statement_time = absl::Milliseconds(12);

 private:
  struct Connection {
    std::function<void(Error)> on_close;
    WorkspaceName workspace;
    TransactionState state = TransactionState::kIdle;
    std::map<std::string, std::string> values;
  };

  class Link : public TargetLink {
   public:
    Link(FakeDatabase* database, int number)
        : m_database(database), m_number(number) {}
    ~Link() override { Close(); }
    void Send(TargetCommand command, ReplyHandler on_reply) override {
      m_database->OnCommand(m_number, command, std::move(on_reply));
    }
    void Close() override { m_database->m_connections.erase(m_number); }

   private:
    FakeDatabase* const m_database;
    const int m_number;
  };

  void Occupy(int number, absl::Duration time, std::function<void()> done) {
    m_work.push_back({number, time, std::move(done)});
    StartWork();
  }
  void StartWork() {
    while (m_busy < m_slots && !m_work.empty()) {
      Work work = std::move(m_work.front());
      m_work.pop_front();
      ++m_busy;
      m_loop->Add(work.time, [this, done = std::move(work.done)]() {
        --m_busy;
        done();
        StartWork();
      });
    }
  }

  void OnCommand(int number,
                 const TargetCommand& command,
                 ReplyHandler on_reply) {
    const auto found = m_connections.find(number);
    if (found == m_connections.end()) {
      return;
    }
    Connection& connection = found->second;
    Reply reply;
    absl::Duration time;
    switch (command.kind) {
      case StatementKind::kReset:
        ++resets;
        if (lose_resets) {
          return;
        }
        connection.values.clear();
        break;
      case StatementKind::kSet:
        if (fail_setup) {
          reply.code = ReplyCode::kMalformed;
        }
        connection.values[command.name] = command.argument;
        break;
      case StatementKind::kBegin:
        connection.state = TransactionState::kOpen;
        break;
      case StatementKind::kCommit:
      case StatementKind::kRollback:
        connection.state = TransactionState::kIdle;
        [[fallthrough]];
      default:
        ran.push_back({command.id, number, connection.workspace});
        time = statement_time;
        for (const auto& [name, value] : connection.values) {
          reply.rows.push_back(absl::StrCat(name, "=", value));
        }
        break;
    }
    if (hold) {
      return;
    }
    reply.state = connection.state;
    auto answer = [this, number, reply, on_reply = std::move(on_reply)]() {
      if (m_connections.contains(number)) {
        on_reply(reply);
      }
    };
    if (time > absl::ZeroDuration()) {
      Occupy(number, time, answer);
    } else {
      m_loop->Add(kHop, answer);
    }
  }

  struct Work {
    int number;
    absl::Duration time;
    std::function<void()> done;
  };

  VirtualLoop* const m_loop;
  const size_t m_slots;
  const size_t m_max_connections;
  size_t m_busy = 0;
  std::deque<Work> m_work;
  std::map<int, Connection> m_connections;
};

// Instances with a pool each, of which some lend.
class Fleet : public LendingTransport {
 public:
  struct Instance : PoolObserver {
    Instance(Fleet* fleet, const InstanceId& name, size_t number)
        : id(name),
          loop(&fleet->loop),
          driver(&fleet->loop, &fleet->database, fleet, number),
          pool(Target(), &fleet->loop, &driver, this),
          lender(&fleet->loop, number, [this](const auto&, const auto&) {
            return lends ? &pool : nullptr;
          }) {}
    void OnPoolChanged(TargetPool* changed) override {
      lender.OnPoolChanged(changed);
      ServeWaiting();
    }
    // Runs the statements that wait, as the gateway does.
    void ServeWaiting() {
      while (!waiting.empty()) {
        TargetConnection* const connection = pool.Acquire("", {});
        if (connection == nullptr) {
          pool.EnsureOpening("", 1);
          return;
        }
        const auto done = std::move(waiting.front());
        waiting.pop_front();
        connection->on_lost = [](const Error&) {};
        TargetCommand command;
        command.id = "s";
        command.terms = {0, loop->Now() + absl::Milliseconds(400),
                         loop->Now() + absl::Milliseconds(1400),
                         loop->Now() + absl::Seconds(2)};
        pool.Send(connection, command, [this, connection, done](const Reply&) {
          done();
          pool.Release(connection);
        });
      }
    }

    const InstanceId id;
    VirtualLoop* const loop;
    BorrowingDriver driver;
    TargetPool pool;
    ConnectionLender lender;
    bool lends = false;
    std::deque<std::function<void()>> waiting;
  };

  Fleet(size_t size, size_t slots, size_t limit)
      : database(&loop, slots, limit) {
    std::vector<FleetMember> members;
    for (size_t number = 0; number < size; ++number) {
      members.push_back({absl::StrCat("i", number), "dc", 1});
    }
    for (const FleetMember& member : members) {
      instances[member.id] =
          std::make_unique<Instance>(this, member.id, instances.size() + 1);
    }
    for (auto& [id, instance] : instances) {
      const LenderPlan plan = PlanLenders("g", members, limit, id);
      instance->lends = plan.self_lends;
      if (plan.self_lends) {
        instance->pool.SetLimits(plan.connections, plan.connections);
        lenders.push_back(id);
        continue;
      }
      instance->pool.SetLimits(0, plan.lenders.empty() ? 2 : 32);
      std::vector<BorrowingDriver::Lender> offers;
      for (const InstanceId& lender : plan.lenders) {
        offers.push_back({lender, lender});
      }
      instance->driver.SetLenders("g", std::move(offers));
    }
  }

  static ListedTarget Target() {
    ListedTarget target;
    target.id = "db";
    target.group = "g";
    return target;
  }

  void Run(const std::string& address,
           const RunQuery& query,
           absl::Duration timeout,
           std::function<void(Result<RunResponse>)> done) override {
    ++runs;
    last_asked = address;
    if (silent.contains(address)) {
      loop.Add(timeout, [done]() {
        done(Error{ErrorKind::kUnavailable, "no answer in time", ""});
      });
      return;
    }
    if (unconnected.contains(address)) {
      loop.Add(kHop, [done]() {
        done(Error{ErrorKind::kNotSent, "no connection", ""});
      });
      return;
    }
    auto finished = std::make_shared<bool>(false);
    done = [finished, done = std::move(done)](Result<RunResponse> answer) {
      if (!std::exchange(*finished, true)) {
        done(std::move(answer));
      }
    };
    loop.Add(timeout, [done]() {
      done(Error{ErrorKind::kUnavailable, "no answer in time", ""});
    });
    loop.Add(kHop, [this, address, query, timeout, done]() {
      instances.at(address)->lender.OnRun(
          query, [this, timeout, done](const RunResponse& response) {
            if (lose_answers) {
              loop.Add(timeout, [done]() {
                done(Error{ErrorKind::kUnavailable, "no answer in time", ""});
              });
            } else {
              loop.Add(kHop, [done, response]() { done(response); });
            }
          });
    });
  }
  void Return(const std::string& address, uint64_t loan) override {
    loop.Add(kHop, [this, address, loan]() {
      instances.at(address)->lender.OnReturn(loan);
    });
  }
  void Cancel(const std::string& address, uint64_t request) override {
    loop.Add(kHop, [this, address, request]() {
      instances.at(address)->lender.OnCancel(request);
    });
  }
  void QueryPosition(
      const std::string& address,
      const GroupName&,
      absl::Duration timeout,
      std::function<void(Result<LenderPosition>)> done) override {
    const bool answers = !silent.contains(address);
    loop.Add(answers ? kHop : timeout, [answers, done]() {
      done(answers ? Result<LenderPosition>(LenderPosition())
                   : Error{ErrorKind::kUnavailable, "no answer", ""});
    });
  }

  VirtualLoop loop;
  FakeDatabase database;
  std::map<InstanceId, std::unique_ptr<Instance>> instances;
  std::vector<InstanceId> lenders;
  std::set<std::string> silent;  // Addresses that do not answer.
  std::set<std::string> unconnected;
  bool lose_answers = false;
  int runs = 0;
  std::string last_asked;  // Address of the latest call.
};

// Ten borrowers; one lender with four connections, and a second one.
class LendingFixture {
 protected:
  LendingFixture() : m_fleet(20, 4, 16) {
    REQUIRE(m_fleet.lenders.size() == 2);
    for (auto& [id, instance] : m_fleet.instances) {
      if (!instance->lends) {
        m_borrowers.push_back(instance.get());
      }
    }
  }

  struct Caller {
    std::unique_ptr<TargetLink> link;
    std::vector<Reply> replies;
    int closed = 0;
  };

  Caller& Open(size_t borrower, const WorkspaceName& workspace = "") {
    m_callers.push_back(std::make_unique<Caller>());
    Caller* const caller = m_callers.back().get();
    caller->link = m_borrowers[borrower]->driver.Open(
        Fleet::Target(), workspace, [](const Result<Position>&) {},
        [caller](const Error&) { ++caller->closed; });
    m_fleet.loop.RunFor(absl::Milliseconds(1));
    return *caller;
  }
  static void Send(Caller* caller,
                   StatementKind kind,
                   const std::string& id,
                   const std::string& name = "",
                   const std::string& argument = "") {
    TargetCommand command;
    command.kind = kind;
    command.id = id;
    command.name = name;
    command.argument = argument;
    caller->link->Send(command, [caller](const Reply& reply) {
      caller->replies.push_back(reply);
    });
  }
  void Run(absl::Duration time = absl::Milliseconds(200)) {
    m_fleet.loop.RunFor(time);
  }
  // Opens a transaction on each of a lender's connections.
  void HoldAllConnections(const InstanceId& lender) {
    for (uint64_t request = 1; request <= 8; ++request) {
      TargetCommand begin;
      begin.kind = StatementKind::kBegin;
      m_fleet.instances.at(lender)->lender.OnRun(
          {"g", "db", "", 0, {begin}, request, {}},
          [this](const RunResponse& response) {
            if (response.loan != 0) {
              m_held.push_back(response.loan);
            }
          });
    }
    Run(absl::Milliseconds(300));
  }
  // Asks the first lender directly to run a read.
  void Ask(const std::string& id, std::optional<RunQuery::Terms> terms) {
    TargetCommand read;
    read.id = id;
    m_fleet.instances.at(m_fleet.lenders[0])
        ->lender.OnRun({"g", "db", "", 0, {read}, 100 + m_asked++, terms},
                       [this, id](RunResponse response) {
                         m_answers[id] = std::move(response);
                       });
  }
  // Occupies all connections of the first lender but one for long, and that one
  // until `time` has passed.
  void HoldConnectionsUntil(absl::Duration time) {
    HoldAllConnections(m_fleet.lenders[0]);
    m_fleet.loop.Add(time, [this]() {
      m_fleet.instances.at(m_fleet.lenders[0])->lender.OnReturn(m_held.back());
    });
  }
  int Count(const std::string& id) const {
    int count = 0;
    for (const auto& ran : m_fleet.database.ran) {
      count += ran.id == id ? 1 : 0;
    }
    return count;
  }
  size_t Loans() const {
    size_t loans = 0;
    for (const auto& [id, instance] : m_fleet.instances) {
      loans += instance->lender.Loans();
    }
    return loans;
  }

  Fleet m_fleet;
  std::vector<Fleet::Instance*> m_borrowers;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<uint64_t> m_held;  // Loans of HoldAllConnections().
  uint64_t m_asked = 0;
  std::map<std::string, RunResponse> m_answers;  // To Ask().
};

TEST_CASE_FIXTURE(LendingFixture, "Lending_Statement_RunsOnceAndEndsTheLoan") {
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  REQUIRE(caller.replies.size() == 1);
  CHECK(caller.replies[0].code == ReplyCode::kComplete);
  CHECK(Count("w1") == 1);
  CHECK(Loans() == 0);
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_NextBorrower_SeesNoValuesOfTheLast") {
  Caller& first = Open(0);
  Send(&first, StatementKind::kSet, "", "language", "ro");
  Send(&first, StatementKind::kRead, "r1");
  Run();
  REQUIRE(first.replies.size() == 2);
  CHECK(first.replies[1].rows == std::vector<std::string>{"language=ro"});
  for (size_t borrower = 1; borrower < 10; ++borrower) {
    Caller& next = Open(borrower);
    Send(&next, StatementKind::kRead, "r2");
    Run();
    REQUIRE(next.replies.size() == 1);
    CHECK(next.replies[0].rows.empty());
  }
}

TEST_CASE_FIXTURE(LendingFixture, "Lending_SetupFails_StatementDoesNotRun") {
  m_fleet.database.fail_setup = true;
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kSet, "", "language", "ro");
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  REQUIRE(caller.replies.size() == 1);
  CHECK(caller.replies[0].code != ReplyCode::kComplete);
  CHECK(Count("w1") == 0);
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_Transaction_KeepsItsConnectionToItself") {
  std::vector<Caller*> callers;
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Caller& caller = Open(borrower);
    callers.push_back(&caller);
    Send(&caller, StatementKind::kBegin, "");
    Send(&caller, StatementKind::kWrite, absl::StrCat("t", borrower));
  }
  Run(absl::Milliseconds(100));
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Send(callers[borrower], StatementKind::kCommit,
         absl::StrCat("t", borrower));
  }
  Run(absl::Seconds(2));
  std::map<int, std::string> open;  // Transaction of each connection.
  for (const auto& ran : m_fleet.database.ran) {
    const auto found = open.find(ran.connection);
    if (found == open.end()) {
      open[ran.connection] = ran.id;
    } else {
      CHECK(found->second == ran.id);
      open.erase(found);
    }
  }
  CHECK(Loans() == 0);
}

// Guards against a statement that is run again, or reported as not run, after
// its answer was lost.
TEST_CASE_FIXTURE(LendingFixture, "Lending_AnswerLost_StatementIsNotRepeated") {
  m_fleet.lose_answers = true;
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kWrite, "w1");
  Run(absl::Seconds(10));
  CHECK(caller.replies.empty());
  CHECK(caller.closed == 1);
  CHECK(Count("w1") == 1);
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_TargetConnectionLost_OutcomeIsUnknown") {
  m_fleet.database.hold = true;
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  m_fleet.database.LoseConnections();
  Run();
  CHECK(caller.replies.empty());
  CHECK(caller.closed == 1);
  CHECK(Count("w1") == 1);
}

TEST_CASE_FIXTURE(LendingFixture, "Lending_LenderStops_AnotherLenderServes") {
  m_fleet.instances.at(m_fleet.lenders[0])->lender.BeginDrain();
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Caller& caller = Open(borrower);
    Send(&caller, StatementKind::kWrite, absl::StrCat("w", borrower));
    Run();
    REQUIRE(caller.replies.size() == 1);
    CHECK(caller.replies[0].code == ReplyCode::kComplete);
    CHECK(Count(absl::StrCat("w", borrower)) == 1);
  }
}

// A planned stop must not cut off a transaction that has begun.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_LenderStops_OpenTransactionsEndNormally") {
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kBegin, "");
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  for (const InstanceId& id : m_fleet.lenders) {
    m_fleet.instances.at(id)->lender.BeginDrain();
  }
  Send(&caller, StatementKind::kCommit, "c1");
  Run();
  REQUIRE(caller.replies.size() == 3);
  CHECK(caller.replies[2].code == ReplyCode::kComplete);
  CHECK(Loans() == 0);
}

TEST_CASE_FIXTURE(LendingFixture, "Lending_AllLendersStop_StatementIsRefused") {
  for (const InstanceId& id : m_fleet.lenders) {
    m_fleet.instances.at(id)->lender.BeginDrain();
  }
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  REQUIRE(caller.replies.size() == 1);
  CHECK(MeansNotRun(caller.replies[0].code));
  CHECK(Count("w1") == 0);
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_BorrowerLeavesTransaction_ConnectionIsClosed") {
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kBegin, "");
  Send(&caller, StatementKind::kWrite, "w1");
  Run();
  CHECK(Loans() == 1);
  caller.link->Close();
  Run();
  CHECK(Loans() == 0);
}

// Guards against connections that stay lent to a borrower that has ended.
TEST_CASE_FIXTURE(LendingFixture, "Lending_BorrowerSilent_IdleLoanEnds") {
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kBegin, "");
  Send(&caller, StatementKind::kWrite, "w1");
  Run(absl::Seconds(5));
  for (const InstanceId& id : m_fleet.lenders) {
    m_fleet.instances.at(id)->lender.EndIdleLoans(absl::Seconds(4));
  }
  CHECK(Loans() == 0);
  Send(&caller, StatementKind::kCommit, "c1");
  Run();
  CHECK(Count("c1") == 0);
  CHECK(MeansNotRun(caller.replies.back().code));
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_ClosedBeforeTheAnswer_LoanIsReturned") {
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kBegin, "");
  Send(&caller, StatementKind::kWrite, "w1");
  Run(absl::Milliseconds(5));
  caller.link->Close();
  Run();
  CHECK(Loans() == 0);
  CHECK(caller.replies.empty());
}

// A loan of an earlier run of the lender must not be taken for another one.
TEST_CASE_FIXTURE(LendingFixture, "Lending_UnknownLoan_IsRefused") {
  RunQuery query{"g", "db", "", 77, {{}}, 1, {}};
  RunOutcome outcome = RunOutcome::kDone;
  m_fleet.instances.at(m_fleet.lenders[0])
      ->lender.OnRun(query, [&outcome](const RunResponse& response) {
        outcome = response.outcome;
      });
  CHECK(outcome == RunOutcome::kRefused);
  query = {"g", "db", "", 0, {}, 2, {}};
  m_fleet.instances.at(m_fleet.lenders[0])
      ->lender.OnRun(query, [&outcome](const RunResponse& response) {
        outcome = response.outcome;
      });
  CHECK(outcome == RunOutcome::kRefused);
}

// Guards against work for callers that have left, which takes the slots of an
// overloaded target.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_ClosedWhileWaiting_StatementDoesNotRun") {
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Caller& holder = Open(borrower);
    Send(&holder, StatementKind::kBegin, "");
    Send(&holder, StatementKind::kRead, absl::StrCat("h", borrower));
  }
  Run(absl::Milliseconds(200));
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kRead, "r1");
  Run(absl::Milliseconds(20));
  caller.link->Close();
  Run(absl::Milliseconds(20));
  for (const auto& holder : m_callers) {
    holder->link->Close();
  }
  Run(absl::Seconds(1));
  CHECK(Count("r1") == 0);
}

// Guards against a crowd whose statements are each offered to one lender after
// the other, although no lender can have a free connection.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_AllConnectionsInUse_OffersDoNotMultiply") {
  for (const InstanceId& id : m_fleet.lenders) {
    HoldAllConnections(id);
  }
  for (size_t i = 0; i < 30; ++i) {
    Caller& caller = Open(i % 10);
    Send(&caller, StatementKind::kRead, "r");
  }
  Run(absl::Seconds(2));
  CHECK(m_fleet.runs == 30);
  for (const auto& caller : m_callers) {
    REQUIRE(caller->replies.size() == 1);
    CHECK(caller->replies[0].code == ReplyCode::kBusy);
  }
}

// One lender whose connections are all in use must not hold up the statements
// that another lender can serve.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_OneLenderHasNoFreeConnection_AnotherOneServes") {
  Caller& first = Open(0);
  Send(&first, StatementKind::kRead, "r");
  Run(absl::Seconds(5));
  const std::string preferred = m_fleet.last_asked;
  HoldAllConnections(preferred);
  Caller& late = Open(0);
  Send(&late, StatementKind::kRead, "r");
  Run(absl::Milliseconds(240));
  CHECK(m_fleet.last_asked == preferred);
  CHECK(late.replies.empty());
  Run(absl::Milliseconds(60));
  REQUIRE(late.replies.size() == 1);
  CHECK(late.replies[0].code == ReplyCode::kComplete);
  // The next statement does not wait at the full lender.
  Caller& next = Open(0);
  Send(&next, StatementKind::kRead, "r");
  Run(absl::Milliseconds(50));
  REQUIRE(next.replies.size() == 1);
  CHECK(next.replies[0].code == ReplyCode::kComplete);
}

// Guards against a backlog that is served by arrival alone.
TEST_CASE_FIXTURE(LendingFixture, "Lending_Backlog_UrgentStatementsGoFirst") {
  HoldConnectionsUntil(absl::Milliseconds(100));
  const absl::Duration second = absl::Seconds(1);
  Ask("late", RunQuery::Terms{0, -second, second});
  Ask("usual1", RunQuery::Terms{1, second, second});
  Ask("usual2", RunQuery::Terms{1, second, second});
  Ask("urgent", RunQuery::Terms{0, second, second});
  Run(absl::Seconds(1));
  std::vector<std::string> order;
  for (const auto& ran : m_fleet.database.ran) {
    order.push_back(ran.id);
  }
  CHECK(order ==
        std::vector<std::string>{"urgent", "usual1", "usual2", "late"});
}

// Guards against work for callers that have been refused meanwhile.
TEST_CASE_FIXTURE(LendingFixture, "Lending_CallerWaitsNoLonger_IsDropped") {
  HoldConnectionsUntil(absl::Milliseconds(100));
  Ask("short", RunQuery::Terms{0, absl::Seconds(1), absl::Milliseconds(60)});
  Ask("over", RunQuery::Terms{0, absl::Seconds(1), absl::ZeroDuration()});
  Ask("earlier version", {});
  CHECK(m_answers["over"].outcome == RunOutcome::kNoConnection);
  Run(absl::Milliseconds(70));
  REQUIRE(m_answers.contains("short"));
  CHECK(m_answers["short"].outcome == RunOutcome::kNoConnection);
  Run(absl::Seconds(1));
  CHECK(Count("short") == 0);
  CHECK(Count("over") == 0);
  CHECK(Count("earlier version") == 1);
}

// Replays a crowd at one lender with eight connections. Requests that were
// refused after 250 ms, although they would have been served soon, were sent
// again and queued behind others.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_BacklogIsServed_RequestsKeepTheirPlaces") {
  m_fleet.database.statement_time = absl::Milliseconds(34);
  for (int i = 0; i < 60; ++i) {
    Ask(absl::StrCat("r", i),
        RunQuery::Terms{0, absl::Seconds(1), absl::Seconds(2)});
  }
  Run(absl::Seconds(2));
  for (int i = 0; i < 60; ++i) {
    CAPTURE(i);
    CHECK(m_answers[absl::StrCat("r", i)].outcome == RunOutcome::kDone);
  }
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_BacklogCannotBeServed_IsRefusedWithTimeToReturn") {
  m_fleet.database.statement_time = absl::Milliseconds(34);
  for (int i = 0; i < 60; ++i) {
    Ask(absl::StrCat("r", i),
        RunQuery::Terms{0, absl::Seconds(1), absl::Seconds(1)});
  }
  Run(absl::Milliseconds(300));
  REQUIRE_FALSE(m_answers.contains("r59"));
  Ask("short", RunQuery::Terms{0, absl::Seconds(1), absl::Milliseconds(5)});
  Ask("long", RunQuery::Terms{0, absl::Seconds(1), absl::Milliseconds(500)});
  REQUIRE(m_answers.contains("short"));
  CHECK(m_answers["short"].outcome == RunOutcome::kNoConnection);
  REQUIRE(m_answers["short"].retry_after);
  CHECK(*m_answers["short"].retry_after >= absl::Milliseconds(100));
  Run(absl::Seconds(1));
  CHECK(m_answers["long"].outcome == RunOutcome::kDone);
}

// Guards against work for a caller that has left: only the command that already
// runs may end.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_ClosedWhileChainRuns_LaterCommandsDoNotRun") {
  Caller& warm = Open(0);
  Send(&warm, StatementKind::kRead, "r");
  Run();
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kRead, "first");
  Send(&caller, StatementKind::kRead, "second");
  Run(absl::Milliseconds(5));
  caller.link->Close();
  Run(absl::Seconds(1));
  CHECK(Count("first") == 1);
  CHECK(Count("second") == 0);
  CHECK(Loans() == 0);
}

TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_NoConnectionToLender_AnotherLenderServes") {
  m_fleet.unconnected.insert(m_fleet.lenders[0]);
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Caller& caller = Open(borrower);
    Send(&caller, StatementKind::kWrite, absl::StrCat("w", borrower));
    Run();
    REQUIRE(caller.replies.size() == 1);
    CHECK(caller.replies[0].code == ReplyCode::kComplete);
    CHECK(Count(absl::StrCat("w", borrower)) == 1);
  }
}

// A lender's connection whose RESET stays unanswered must not stay lent for
// ever: else lost answers use up the lender's connections one by one.
TEST_CASE_FIXTURE(LendingFixture, "Lending_ResetAnswersLost_PoolIsWholeAgain") {
  const auto run_at_all = [this](const std::string& id) {
    for (size_t borrower = 0; borrower < m_borrowers.size(); ++borrower) {
      Caller& caller = Open(borrower);
      Send(&caller, StatementKind::kSet, "", "language", "ro");
      Send(&caller, StatementKind::kRead, absl::StrCat(id, borrower));
    }
    Run(absl::Milliseconds(400));
  };
  run_at_all("a");
  m_fleet.database.lose_resets = true;
  // Until all connections wait for an answer.
  run_at_all("b");
  run_at_all("c");
  const int ran = static_cast<int>(m_fleet.database.ran.size());
  run_at_all("d");
  CHECK(m_fleet.database.ran.size() == static_cast<size_t>(ran));
  CHECK(Loans() > 0);
  m_fleet.database.lose_resets = false;
  Run(absl::Seconds(4));
  CHECK(Loans() == 0);
  for (size_t borrower = 0; borrower < m_borrowers.size(); ++borrower) {
    Caller& caller = Open(borrower);
    Send(&caller, StatementKind::kWrite, absl::StrCat("w", borrower));
    Run();
    REQUIRE(caller.replies.size() == 1);
    CHECK(caller.replies[0].code == ReplyCode::kComplete);
    CHECK(Count(absl::StrCat("w", borrower)) == 1);
  }
}

// Guards against borrowers that leave all lenders because one target is silent.
TEST_CASE_FIXTURE(LendingFixture, "Lending_TargetSilent_LendersAreKept") {
  m_fleet.database.hold = true;
  for (size_t borrower = 0; borrower < 10; ++borrower) {
    Caller& caller = Open(borrower);
    Send(&caller, StatementKind::kRead, "r");
  }
  Run(absl::Milliseconds(300));
  for (const auto& caller : m_callers) {
    caller->link->Close();
  }
  Run(absl::Milliseconds(1));
  m_fleet.database.hold = false;
  m_fleet.database.LoseConnections();
  Run(absl::Milliseconds(300));
  m_fleet.runs = 0;
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kRead, "r1");
  Run();
  REQUIRE(caller.replies.size() == 1);
  CHECK(m_fleet.runs == 1);
}

class RecordingObserver : public LoanObserver {
 public:
  void OnTargetLoad(const ListedTarget& target,
                    const InstanceId& lender,
                    const TargetLoad& load) override {
    CHECK(target.id == "db");
    lenders.insert(lender);
    loads.push_back(load);
  }
  void OnTargetOutcome(const ListedTarget&, ReadOutcome outcome) override {
    outcomes.push_back(outcome);
  }

  std::set<InstanceId> lenders;
  std::vector<TargetLoad> loads;
  std::vector<ReadOutcome> outcomes;
};

// Guards against choosers that must ask for a target's load, and against loads
// that include paused transactions, which use no slot.
TEST_CASE_FIXTURE(LendingFixture, "Lending_EachAnswer_CarriesTheTargetsLoad") {
  RecordingObserver observer;
  for (Fleet::Instance* borrower : m_borrowers) {
    borrower->driver.SetObserver(&observer);
  }
  Caller& paused = Open(0);
  Send(&paused, StatementKind::kBegin, "");
  Run();
  REQUIRE(observer.loads.size() == 1);
  CHECK(observer.loads.back().running == 0);
  CHECK(observer.loads.back().waiting == 0);
  CHECK(observer.outcomes.empty());

  for (size_t borrower = 0; borrower < m_borrowers.size(); ++borrower) {
    Send(&Open(borrower), StatementKind::kRead, "r");
  }
  Run(absl::Seconds(1));
  REQUIRE(observer.loads.size() == 1 + m_borrowers.size());
  CHECK(observer.lenders.size() == 2);
  uint32_t most_running = 0;
  uint32_t most_waiting = 0;
  for (const TargetLoad& load : observer.loads) {
    most_running = std::max(most_running, load.running);
    most_waiting = std::max(most_waiting, load.waiting);
    CHECK(load.latency > absl::ZeroDuration());
  }
  // Each lender has four connections.
  CHECK(most_running >= 2);
  CHECK(most_running <= 4);
  CHECK(most_waiting >= 1);
  CHECK(observer.outcomes ==
        std::vector<ReadOutcome>(m_borrowers.size(), ReadOutcome::kDone));
}

// Guards against targets that keep their work because no outcome is reported,
// and against outcomes that tell of something else than the target.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_ReadsEnd_OutcomesOfReadsAreReported") {
  RecordingObserver observer;
  m_borrowers[0]->driver.SetObserver(&observer);
  m_fleet.database.hold = true;
  Caller& lost = Open(0);
  Send(&lost, StatementKind::kRead, "r1");
  Run();
  m_fleet.database.LoseConnections();
  Run();
  CHECK(lost.closed == 1);
  CHECK(observer.outcomes == std::vector{ReadOutcome::kFailed});

  observer.outcomes.clear();
  Send(&Open(0), StatementKind::kRead, "r2");
  Run(absl::Milliseconds(300));
  m_callers.back()->link->Close();
  CHECK(observer.outcomes == std::vector{ReadOutcome::kSlow});

  // Withdrawn at once, and a write.
  observer.outcomes.clear();
  Send(&Open(0), StatementKind::kRead, "r3");
  Run(absl::Milliseconds(20));
  m_callers.back()->link->Close();
  Send(&Open(0), StatementKind::kWrite, "w1");
  Run();
  m_fleet.database.LoseConnections();
  Run(absl::Seconds(5));
  CHECK(observer.outcomes.empty());

  // A lender that is silent does not count against the target.
  m_fleet.silent.insert(m_fleet.lenders.begin(), m_fleet.lenders.end());
  Send(&Open(0), StatementKind::kRead, "r4");
  Run(absl::Seconds(5));
  CHECK(observer.outcomes.empty());
}

// Guards against borrowers that leave a lender because their own callers left.
TEST_CASE_FIXTURE(LendingFixture,
                  "Lending_ClosedWhileWaiting_LenderIsNotAvoided") {
  Caller& first = Open(0);
  Send(&first, StatementKind::kRead, "r");
  Run();
  const std::string preferred = m_fleet.last_asked;
  HoldAllConnections(preferred);
  Caller& caller = Open(0);
  Send(&caller, StatementKind::kRead, "r");
  Run(absl::Milliseconds(20));
  caller.link->Close();
  Run(absl::Milliseconds(20));
  for (const uint64_t loan : m_held) {
    m_fleet.instances.at(preferred)->lender.OnReturn(loan);
  }
  m_fleet.last_asked.clear();
  Caller& next = Open(0);
  Send(&next, StatementKind::kRead, "r");
  Run(absl::Milliseconds(100));
  REQUIRE(next.replies.size() == 1);
  CHECK(next.replies[0].code == ReplyCode::kComplete);
  CHECK(m_fleet.last_asked == preferred);
}

// A read may wait for 4.2 s and be answered after 6 s. Guards against calls
// that end before, which look like failures of the lender.
TEST_CASE_FIXTURE(LendingFixture, "Lending_LongDeadline_CallWaitsForAnswer") {
  m_fleet.database.statement_time = absl::Milliseconds(5500);
  Caller& caller = Open(0);
  TargetCommand read;
  read.id = "r";
  read.terms.wait_until = m_fleet.loop.Now() + absl::Milliseconds(4200);
  read.terms.deadline = m_fleet.loop.Now() + absl::Seconds(6);
  caller.link->Send(
      read, [&caller](const Reply& reply) { caller.replies.push_back(reply); });
  Run(absl::Seconds(6));
  CHECK(caller.closed == 0);
  CHECK(caller.replies.size() == 1);
}

class LoadedFleetFixture {
 protected:
  static constexpr size_t kInstances = 80;
  static constexpr size_t kLimit = 46;
  // Four slots and 12 ms for a statement.
  static constexpr int kCapacityPerSecond = 4 * 1000 / 12;

  // Offers statements at random instances for `time`, and returns how many were
  // completed.
  int Offer(Fleet* fleet, int per_second, absl::Duration time) {
    const int before = m_completed;
    std::vector<Fleet::Instance*> instances;
    for (auto& [id, instance] : fleet->instances) {
      instances.push_back(instance.get());
    }
    const absl::Time end = fleet->loop.Now() + time;
    while (fleet->loop.Now() < end) {
      m_random = m_random * 6364136223846793005U + 1442695040888963407U;
      Fleet::Instance* const instance =
          instances[(m_random >> 33) % instances.size()];
      instance->waiting.push_back([this]() { ++m_completed; });
      instance->ServeWaiting();
      fleet->loop.RunFor(absl::Seconds(1) / per_second);
      if (++m_ticks % 20 == 0) {
        for (Fleet::Instance* each : instances) {
          each->pool.CloseIdle();
          each->ServeWaiting();
        }
      }
    }
    return m_completed - before;
  }

  int m_completed = 0;
  int m_ticks = 0;
  uint64_t m_random = 7;
};

// Replays the load of a fleet whose instances are more than a target's
// connections. When each statement opened its own connection, openings used up
// the slots, and the sum of connections passed the limit.
TEST_CASE_FIXTURE(LoadedFleetFixture,
                  "Lending_MoreInstancesThanConnections_LimitHolds") {
  Fleet fleet(kInstances, 4, kLimit);
  const int offered = kCapacityPerSecond * 8 / 10;
  Offer(&fleet, offered, absl::Seconds(1));
  const int completed = Offer(&fleet, offered, absl::Seconds(5));
  CHECK(completed >= 5 * offered * 95 / 100);
  CHECK(fleet.database.refused == 0);
  CHECK(fleet.database.most_connections <= kLimit / 2);
  CHECK(fleet.database.opened <= static_cast<int>(kLimit));
}

// Replays a fleet that starts again after a power loss, while the target still
// counts most of its old connections. Instances that got none of the few free
// ones waited for three seconds.
TEST_CASE_FIXTURE(LoadedFleetFixture,
                  "Lending_TargetAcceptsFewConnections_NeighboursLend") {
  Fleet fleet(9, 2, 16);
  REQUIRE(fleet.lenders.empty());
  for (auto& [id, instance] : fleet.instances) {
    instance->pool.SetLimits(1, 2);
    instance->lends = true;
    std::vector<BorrowingDriver::Lender> neighbours;
    for (const auto& [other, ignored] : fleet.instances) {
      if (other != id) {
        neighbours.push_back({other, other});
      }
    }
    instance->driver.SetNeighbours("g", std::move(neighbours));
  }
  fleet.database.lingering = 12;
  Offer(&fleet, 60, absl::Seconds(1));
  const int completed = Offer(&fleet, 60, absl::Seconds(2));
  CHECK(completed >= 2 * 60 * 95 / 100);
  CHECK(fleet.database.most_connections <= 4);
}

// The callers of 130 instances return at once after a loss of power, with the
// reads of 1.5 s at 30% utilisation of the targets, which have five slots each.
// Those of two targets meet at one, as instances that know nothing of the load
// choose alike. They can all be served within 1.4 s. Requests that the lenders
// refused after 250 ms were offered to two more lenders each.
TEST_CASE_FIXTURE(LoadedFleetFixture,
                  "Lending_CrowdAfterPowerLoss_OffersDoNotMultiply") {
  constexpr int kUsualPerSecond = 5 * 1000 / 27 * 3 / 10;
  constexpr int kCrowd = 2 * kUsualPerSecond * 3 / 2;
  Fleet fleet(130, 5, 82);
  fleet.database.statement_time = absl::Milliseconds(27);
  REQUIRE(fleet.lenders.size() == 10);
  int arrived = 0;
  while (arrived < kCrowd) {
    for (auto& [id, instance] : fleet.instances) {
      if (arrived < kCrowd) {
        ++arrived;
        instance->waiting.push_back([this]() { ++m_completed; });
        instance->ServeWaiting();
      }
    }
  }
  Offer(&fleet, kUsualPerSecond, absl::Seconds(3));
  arrived += 3 * kUsualPerSecond;
  MESSAGE("offers: ", fleet.runs, " for ", arrived,
          " statements; run: ", fleet.database.ran.size());
  CHECK(fleet.runs <= arrived * (1 + RepeatBudget::kRepeatsPerCompleted));
  CHECK(fleet.database.ran.size() >= static_cast<size_t>(arrived) * 98 / 100);
}

// After a load that the target cannot carry, service must return.
TEST_CASE_FIXTURE(LoadedFleetFixture,
                  "Lending_BurstEnds_GoodputReturnsWithinSeconds") {
  Fleet fleet(kInstances, 4, kLimit);
  Offer(&fleet, kCapacityPerSecond * 3, absl::Seconds(2));
  Offer(&fleet, kCapacityPerSecond / 2, absl::Seconds(5));
  for (auto& [id, instance] : fleet.instances) {
    instance->waiting.clear();
  }
  const int offered = kCapacityPerSecond / 2;
  const int completed = Offer(&fleet, offered, absl::Seconds(2));
  CHECK(completed >= 2 * offered * 95 / 100);
  CHECK(fleet.database.refused == 0);
}

// One lender with four connections for many workspaces, without the hops to it.
// A statement's id starts with its workspace's name.
class WorkspaceLendingFixture {
 protected:
  static constexpr size_t kConnections = 4;

  struct Lender : PoolObserver {
    explicit Lender(VirtualLoop* loop, FakeDatabase* database, uint64_t run)
        : pool(Fleet::Target(), loop, database, this),
          lender(loop, run, [this](const auto&, const auto&) {
            return &pool;
          }) {
      pool.SetLimits(kConnections, kConnections);
    }
    void OnPoolChanged(TargetPool* changed) override {
      lender.OnPoolChanged(changed);
    }
    TargetPool pool;
    ConnectionLender lender;
  };

  void StartLender() {
    m_lender.reset();
    m_lender = std::make_unique<Lender>(&m_loop, &m_database, ++m_run);
  }
  // Asks for a statement. Counts how it ends.
  void Ask(const WorkspaceName& workspace,
           StatementKind kind = StatementKind::kRead,
           uint64_t loan = 0) {
    RunQuery query{"g", "db", workspace, loan, {}, ++m_requests, {}};
    TargetCommand command;
    command.kind = kind;
    command.id = workspace + ":" + std::to_string(m_requests);
    query.commands.push_back(command);
    const absl::Time asked = m_loop.Now();
    ++m_open[workspace];
    m_lender->lender.OnRun(
        query, [this, workspace, asked](const RunResponse& response) {
          --m_open[workspace];
          ++(response.outcome == RunOutcome::kDone ? m_served
                                                   : m_refused)[workspace];
          m_longest[workspace] =
              std::max(m_longest[workspace], m_loop.Now() - asked);
          m_last = response;
        });
  }
  void Run(absl::Duration time) { m_loop.RunFor(time); }
  bool EachRanOnItsWorkspacesConnection() const {
    return std::all_of(m_database.ran.begin(), m_database.ran.end(),
                       [](const FakeDatabase::Ran& ran) {
                         return ran.id.substr(0, ran.id.find(':')) ==
                                ran.workspace;
                       });
  }

  VirtualLoop m_loop;
  FakeDatabase m_database{&m_loop, 4, 16};
  std::map<WorkspaceName, int> m_open;  // Not answered yet.
  std::map<WorkspaceName, int> m_served;
  std::map<WorkspaceName, int> m_refused;
  std::map<WorkspaceName, absl::Duration> m_longest;
  RunResponse m_last;
  uint64_t m_requests = 0;
  uint64_t m_run = 0;
  std::unique_ptr<Lender> m_lender;
};

TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_RandomLoad_NoneSharesAConnection") {
  StartLender();
  std::minstd_rand random(3);
  for (int i = 0; i < 3000; ++i) {
    Ask(absl::StrCat("w", random() % 12));
    Run(absl::Milliseconds(random() % 12));
  }
  Run(absl::Seconds(1));
  CHECK(EachRanOnItsWorkspacesConnection());
  CHECK(m_database.most_connections <= kConnections);
  for (const auto& [workspace, open] : m_open) {
    CHECK(open == 0);
  }
}

// Eight workspaces with equal demand, which the target cannot carry in full.
// The places of the connections went to the first workspaces of the alphabet,
// and the others were refused.
TEST_CASE_FIXTURE(
    WorkspaceLendingFixture,
    "LendingWorkspaces_MoreBusyOnesThanConnections_AllAreServed") {
  StartLender();
  for (int ms = 0; ms < 10000; ms += 5) {
    for (int i = 0; i < 8; ++i) {
      const WorkspaceName workspace = absl::StrCat("w", i);
      while (m_open[workspace] < 4) {
        Ask(workspace);
      }
    }
    Run(absl::Milliseconds(5));
  }
  int total = 0;
  for (const auto& [workspace, served] : m_served) {
    total += served;
  }
  // Four slots and 12 ms for a statement.
  CHECK(total > 2000);
  for (int i = 0; i < 8; ++i) {
    CAPTURE(i);
    CHECK(m_served[absl::StrCat("w", i)] >= total / 8 / 2);
  }
  CHECK(m_database.most_connections <= kConnections);
}

// With more workspaces than connections, none may wait for the others to end.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_HotOneBesideSmallOnes_SmallAreServed") {
  StartLender();
  int asked = 0;
  for (int ms = 0; ms < 10000; ms += 5) {
    while (m_open["hot"] < 16) {
      Ask("hot");
    }
    if (ms % 50 == 0) {
      Ask(absl::StrCat("s", asked++ % 10));
    }
    Run(absl::Milliseconds(5));
  }
  Run(absl::Seconds(1));
  for (int i = 0; i < 10; ++i) {
    const WorkspaceName small = absl::StrCat("s", i);
    CAPTURE(small);
    CHECK(m_refused[small] == 0);
    CHECK(m_served[small] == asked / 10);
    CHECK(m_longest[small] < absl::Milliseconds(150));
  }
  CHECK(m_served["hot"] > 1000);
}

// Two workspaces that want one connection more than there are must not open one
// after the other for it.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_UnevenShare_OpensFewConnections") {
  StartLender();
  for (int ms = 0; ms < 10000; ms += 5) {
    for (const char* workspace : {"a", "b", "c"}) {
      while (m_open[workspace] < 4) {
        Ask(workspace);
      }
    }
    Run(absl::Milliseconds(5));
  }
  // At most a tenth of the time of four slots, 12 ms each.
  CHECK(m_database.opened <= 10000 * 4 / 10 / 12);
  for (const char* workspace : {"a", "b", "c"}) {
    CHECK(m_served[workspace] > 700);
  }
}

// A workspace's free connection was left to one that had given up, and its own
// request was refused.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_WaiterGivesUp_FreeConnectionIsUsed") {
  StartLender();
  m_lender->pool.SetLimits(1, 1);
  m_database.statement_time = absl::Milliseconds(120);
  Ask("a");
  Run(absl::Milliseconds(20));
  Ask("b");
  const uint64_t waiter = m_requests;
  Run(absl::Milliseconds(20));
  Ask("a");
  Run(absl::Milliseconds(85));
  Ask("b");  // Repeats the attempt shortly before the connection is free.
  m_lender->lender.OnCancel(waiter);
  m_lender->lender.OnCancel(m_requests);
  Run(absl::Milliseconds(400));
  CHECK(m_served["a"] == 2);
  CHECK(m_refused["a"] == 0);
}

TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_OneFillsItsPart_OthersFindRoom") {
  StartLender();
  m_database.hold = true;
  for (int i = 0; i < 40; ++i) {
    Ask("hot");
  }
  Run(absl::Milliseconds(20));
  // Four run or are about to, and sixteen wait.
  CHECK(m_refused["hot"] >= 20);
  CHECK(m_last.outcome == RunOutcome::kNoConnection);
  const int open = m_open["hot"];
  CHECK(open <= 20);
  Ask("small");
  Run(absl::Milliseconds(20));
  CHECK(m_open["small"] == 1);
  // Those that wait are refused in time.
  Run(absl::Milliseconds(300));
  CHECK(m_open["hot"] == 4);
  CHECK(m_open["small"] == 0);
}

// A lender that starts again has no connections; those that wait at the old one
// are lost with it, and loans of its earlier run must not be taken for others.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_LenderRestarts_OldLoansAreRefused") {
  StartLender();
  Ask("w0", StatementKind::kBegin);
  Run(absl::Milliseconds(50));
  REQUIRE(m_last.outcome == RunOutcome::kDone);
  const uint64_t loan = m_last.loan;
  REQUIRE(loan != 0);
  m_database.ran.clear();
  m_open.clear();
  StartLender();
  Ask("w1", StatementKind::kBegin);
  Run(absl::Milliseconds(50));
  REQUIRE(m_last.loan != loan);
  Ask("w0", StatementKind::kWrite, loan);
  Run(absl::Milliseconds(50));
  CHECK(m_last.outcome == RunOutcome::kRefused);
  CHECK(m_database.ran.empty());
  CHECK(m_database.most_connections <= kConnections);
  CHECK(m_database.Connections() == 1);
}

// Where all connections belong to workspaces, each status query opened one more
// than the lender's number, and workspaces took these over.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_StatusQueries_NumberOfConnectionsHolds") {
  StartLender();
  int answered = 0;
  for (int ms = 0; ms < 5000; ms += 5) {
    for (int i = 0; i < 6; ++i) {
      const WorkspaceName workspace = absl::StrCat("w", i);
      while (m_open[workspace] < 2) {
        Ask(workspace);
      }
    }
    if (ms % 100 == 0) {
      m_lender->pool.QueryStatus(absl::Milliseconds(400),
                                 [&answered](const auto&) { ++answered; });
    }
    if (ms % 50 == 0) {
      m_lender->pool.CloseIdle();
    }
    Run(absl::Milliseconds(5));
  }
  CHECK(answered >= 45);
  // One more for a query that finds all of them in use.
  CHECK(m_database.most_connections <= kConnections + 1);
  Run(absl::Seconds(1));
  m_lender->pool.CloseIdle();
  CHECK(m_database.Connections() <= kConnections);
}

// The number falls when lenders join or the operator lowers the limit. Under
// load no connection was idle for long enough to be closed.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_NumberFallsUnderLoad_SurplusIsClosed") {
  StartLender();
  m_lender->pool.SetLimits(8, 8);
  const auto run = [this](absl::Duration time) {
    for (const absl::Time end = m_loop.Now() + time; m_loop.Now() < end;) {
      for (int i = 0; i < 4; ++i) {
        const WorkspaceName workspace = absl::StrCat("w", i);
        while (m_open[workspace] < 4) {
          Ask(workspace);
        }
      }
      m_lender->pool.CloseIdle();
      Run(absl::Milliseconds(5));
    }
  };
  run(absl::Seconds(1));
  REQUIRE(m_database.Connections() == 8);
  m_lender->pool.SetLimits(kConnections, kConnections);
  run(absl::Seconds(1));
  CHECK(m_database.Connections() <= kConnections);
  CHECK(EachRanOnItsWorkspacesConnection());
}

// A statement of one workspace must not reach a loan of another.
TEST_CASE_FIXTURE(WorkspaceLendingFixture,
                  "LendingWorkspaces_LoanOfAnotherWorkspace_IsRefused") {
  StartLender();
  Ask("w0", StatementKind::kBegin);
  Run(absl::Milliseconds(50));
  const uint64_t loan = m_last.loan;
  REQUIRE(loan != 0);
  Ask("w1", StatementKind::kWrite, loan);
  Run(absl::Milliseconds(50));
  CHECK(m_last.outcome == RunOutcome::kRefused);
  CHECK(EachRanOnItsWorkspacesConnection());
}

}  // namespace
}  // namespace heatherwick
