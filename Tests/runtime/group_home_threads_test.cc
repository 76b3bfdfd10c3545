// Runs a group's home from several threads against a driver without a
// network. Built with the thread sanitizer, it guards against state that is
// used without its lock; in every build, against replies that are lost,
// doubled or given to another request.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Source/kernel/shard_map.h"
#include "Source/runtime/group_home.h"
#include "Source/runtime/timer_queue.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Three targets in one object: "a" leads term 1 and the others hold all that
// it writes. Answers come from the threads of a timer queue.
class FakeDriver : public TargetDriver {
 public:
  void Connect(const std::string& address,
               absl::Duration /*timeout*/,
               Opened opened,
               std::function<void()> /*closed*/) override {
    Later([this, address, opened] {
      opened(std::shared_ptr<TargetConnection>(new FakeConnection(this)));
    });
  }
  void ReadStatus(const std::string& address,
                  absl::Duration /*timeout*/,
                  Callback<proto::StatusReply> done) override {
    proto::StatusReply status;
    status.set_term(1);
    status.set_primary(address == "a");
    status.mutable_last()->set_term(1);
    status.mutable_last()->set_lsn(m_lsn);
    status.set_age_ms(address == "a" ? 0 : 2);
    Later([done, status] { done(status); });
  }
  void WaitPosition(const std::string& /*address*/,
                    const proto::WaitPositionRequest& /*request*/,
                    Callback<proto::WaitPositionReply> done) override {
    proto::WaitPositionReply reply;
    reply.set_contained(true);
    reply.set_term(1);
    reply.mutable_last()->set_term(1);
    reply.mutable_last()->set_lsn(m_lsn);
    Later([done, reply] { done(reply); });
  }
  void Fence(const std::string& /*address*/,
             const proto::FenceRequest& /*request*/,
             absl::Duration /*timeout*/,
             Callback<proto::FenceReply> /*done*/) override {}
  void Promote(const std::string& /*address*/,
               const proto::PromoteRequest& /*request*/,
               absl::Duration /*timeout*/,
               Callback<proto::PromoteReply> /*done*/) override {}

 private:
  class FakeConnection : public TargetConnection {
   public:
    explicit FakeConnection(FakeDriver* driver) : m_driver(driver) {}
    void Execute(proto::StatementRequest request, Callback done) override {
      proto::StatementReply reply;
      reply.set_result(request.statement());
      const bool write = request.operation() == proto::WRITE;
      reply.mutable_position()->set_term(1);
      reply.mutable_position()->set_lsn(write ? ++m_driver->m_lsn
                                              : m_driver->m_lsn.load());
      m_driver->Later([done, reply] { done(reply); });
    }
    void Close() override {}

   private:
    FakeDriver* const m_driver;
  };

  void Later(std::function<void()> work) {
    m_timers[m_next++ % 2].RunAt(absl::Now(), std::move(work));
  }

  std::atomic<uint64_t> m_lsn{1};
  std::atomic<uint64_t> m_next{0};
  TimerQueue m_timers[2];
};

class GroupHomeThreadsFixture {
 protected:
  GroupHomeThreadsFixture() {
    auto sheet = std::make_shared<Sheet>();
    sheet->groups["g"] = {"g", "r", {"a", "b", "c"}};
    for (const char* id : {"a", "b", "c"}) {
      sheet->targets[id] = {id, "g", "dc", id, 2, 16};
    }
    sheet->read_kinds["browse"] = {"browse", absl::Seconds(30)};
    sheet->callers["shop"] = {"shop", 1};
    m_context.self = {"i", "127.0.0.1:1", "dc", "r", "1", false};
    m_context.driver = &m_driver;
    m_context.decision_log = &m_log;
    m_context.metrics = &m_metrics;
    auto created = GroupHome::Create(&m_context, "g");
    REQUIRE(Ok(created));
    m_home = ValueOf(created);
    m_home->OnSheet({1, sheet});
    m_ticks = std::thread([this] {
      while (!m_stop) {
        m_home->Tick();
        absl::SleepFor(absl::Milliseconds(2));
      }
    });
  }

  ~GroupHomeThreadsFixture() {
    m_stop = true;
    m_ticks.join();
  }

  // Sends `count` requests and counts those that got their own answer.
  void Send(int thread, int count) {
    for (int i = 0; i < count; ++i) {
      proto::ExecuteRequest request;
      request.set_caller("shop");
      request.set_group("g");
      request.set_operation(i % 2 == 0 ? proto::WRITE : proto::READ);
      request.set_read_kind(i % 4 == 1 ? "browse" : "");
      request.set_statement(absl::StrCat(thread, "-", i));
      const std::string expected = request.statement();
      absl::Mutex mutex;
      bool replied = false;
      m_home->Execute(request, absl::Now() + absl::Seconds(20),
                      [&](const proto::ExecuteReply& reply) {
                        absl::MutexLock lock(&mutex);
                        m_right += reply.outcome() == proto::DONE &&
                                   reply.result() == expected;
                        replied = true;
                      });
      absl::MutexLock lock(&mutex);
      mutex.AwaitWithDeadline(absl::Condition(&replied),
                              absl::Now() + absl::Seconds(30));
    }
  }

  FakeDriver m_driver;
  DecisionLog m_log{DecisionLogLevel::kOff, 1};
  Metrics m_metrics;
  HomeContext m_context;
  std::shared_ptr<GroupHome> m_home;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_right{0};
  std::thread m_ticks;
};

TEST_CASE_FIXTURE(GroupHomeThreadsFixture,
                  "GroupHome_FourThreads_EveryRequestGetsItsOwnReply") {
  constexpr int kThreads = 4;
  constexpr int kRequests = 200;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([this, thread] { Send(thread, kRequests); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(m_right == kThreads * kRequests);
  CHECK(m_home->Active() == 0);
}

// Guards against a lookup that uses a value while another thread removes it.
TEST_CASE("ShardMap_ConcurrentRemoval_KeepsValuesInUse") {
  ShardMap<int, std::string> map;
  std::vector<std::thread> threads;
  std::atomic<size_t> length{0};
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&map, &length] {
      for (int i = 0; i < 2000; ++i) {
        const auto value = map.FindOrCreate(
            i % 7, [] { return std::make_shared<std::string>("value"); });
        map.Remove(i % 7);
        length += value->size();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(length == 4U * 2000 * 5);
}

}  // namespace
}  // namespace heatherwick
