// Guards against lent connections that mix two borrowers' statements or session
// state, run a statement twice, report a statement that ran as not run, or pass
// a target's limit.

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Source/decision/lender_plan.h"
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
  };

  FakeDatabase(VirtualLoop* loop, size_t slots, size_t max_connections)
      : m_loop(loop), m_slots(slots), m_max_connections(max_connections) {}

  std::unique_ptr<TargetLink> Open(
      const ListedTarget&,
      const WorkspaceName&,
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
        ran.push_back({command.id, number});
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
        pool.Send(connection, command, [this, connection, done](const Reply&) {
          done();
          pool.Release(connection);
        });
      }
    }

    const InstanceId id;
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

  Caller& Open(size_t borrower) {
    m_callers.push_back(std::make_unique<Caller>());
    Caller* const caller = m_callers.back().get();
    caller->link = m_borrowers[borrower]->driver.Open(
        Fleet::Target(), "", [](const Result<Position>&) {},
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
  RunQuery query{"g", "db", "", 77, {{}}, 1};
  RunOutcome outcome = RunOutcome::kDone;
  m_fleet.instances.at(m_fleet.lenders[0])
      ->lender.OnRun(query, [&outcome](const RunResponse& response) {
        outcome = response.outcome;
      });
  CHECK(outcome == RunOutcome::kRefused);
  query = {"g", "db", "", 0, {}, 2};
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

}  // namespace
}  // namespace heatherwick
