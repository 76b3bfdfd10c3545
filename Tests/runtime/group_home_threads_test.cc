// Uses a group's home from several threads with a fake driver. With the thread
// sanitizer, this guards against state that is accessed without its lock. In
// every build, it guards against replies that are lost, duplicated or delivered
// to another request.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Source/kernel/sharded_map.h"
#include "Tests/runtime/group_home_fixture.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class GroupHomeThreadsFixture : public GroupHomeFixtureBase {
 protected:
  GroupHomeThreadsFixture() {
    m_tick_thread = std::thread([this] {
      while (!m_stop) {
        m_home->Tick();
        absl::SleepFor(absl::Milliseconds(2));
      }
    });
  }

  ~GroupHomeThreadsFixture() {
    m_stop = true;
    m_tick_thread.join();
  }

  // Sends `count` requests and counts those that received their own reply.
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
      m_home->Execute(request, SteadyNow() + absl::Seconds(20),
                      [&](const proto::ExecuteReply& reply) {
                        absl::MutexLock lock(&mutex);
                        m_correct_replies += reply.outcome() == proto::DONE &&
                                             reply.result() == expected;
                        replied = true;
                      });
      absl::MutexLock lock(&mutex);
      mutex.AwaitWithTimeout(absl::Condition(&replied), absl::Seconds(30));
    }
  }

  std::atomic<bool> m_stop{false};
  std::atomic<int> m_correct_replies{0};
  std::thread m_tick_thread;
};

TEST_CASE_FIXTURE(GroupHomeThreadsFixture,
                  "GroupHome_FourThreads_EveryRequestGetsItsOwnReply") {
  constexpr int kThreads = 4;
  constexpr int kRequests = 200;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([this, thread] { Send(thread, kRequests); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(m_correct_replies == kThreads * kRequests);
  CHECK(m_home->CountUnfinished() == 0);
}

// Guards against a lookup that uses a value while another thread removes it.
TEST_CASE("ShardedMap_ConcurrentRemoval_KeepsValuesInUse") {
  ShardedMap<int, std::string> map;
  constexpr int kThreads = 4;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::atomic<size_t> length{0};
  for (int thread = 0; thread < kThreads; ++thread) {
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
  CHECK(length == kThreads * 2000U * 5);
}

}  // namespace
}  // namespace heatherwick
