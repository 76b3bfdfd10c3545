// A target driver without a network, for tests of a group's home.

#ifndef TESTS_RUNTIME_FAKE_DRIVER_H_
#define TESTS_RUNTIME_FAKE_DRIVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Source/runtime/target_driver.h"
#include "Source/runtime/timer_queue.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace heatherwick {

// Three targets in one object: the primary writes and the others hold all of
// it. Answers come from the threads of two timer queues. Thread-safe.
class FakeDriver : public TargetDriver {
 public:
  // Makes `primary` lead in `term`; '-' is none.
  void Lead(char primary, uint64_t term) {
    m_primary = primary;
    m_term = term;
  }
  // Keeps the replies of statements until Release.
  void Hold() {
    absl::MutexLock lock(&m_mutex);
    m_hold = true;
  }
  size_t Held() {
    absl::MutexLock lock(&m_mutex);
    return m_held.size();
  }
  void Release() {
    std::vector<std::function<void()>> held;
    {
      absl::MutexLock lock(&m_mutex);
      m_hold = false;
      held.swap(m_held);
    }
    for (std::function<void()>& work : held) {
      Later(std::move(work));
    }
  }

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
    const bool primary = address == std::string(1, m_primary);
    status.set_term(m_term);
    status.set_primary(primary);
    status.mutable_last()->set_term(m_term);
    status.mutable_last()->set_lsn(m_lsn);
    status.set_age_ms(primary ? 0 : 2);
    Later([done, status] { done(status); });
  }
  void WaitPosition(const std::string& /*address*/,
                    const proto::WaitPositionRequest& /*request*/,
                    Callback<proto::WaitPositionReply> done) override {
    proto::WaitPositionReply reply;
    reply.set_contained(true);
    reply.set_term(m_term);
    reply.mutable_last()->set_term(m_term);
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
      reply.mutable_position()->set_term(m_driver->m_term);
      reply.mutable_position()->set_lsn(write ? ++m_driver->m_lsn
                                              : m_driver->m_lsn.load());
      m_driver->Answer([done, reply] { done(reply); });
    }
    void Close() override {}

   private:
    FakeDriver* const m_driver;
  };

  void Answer(std::function<void()> work) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_hold) {
        m_held.push_back(std::move(work));
        return;
      }
    }
    Later(std::move(work));
  }

  void Later(std::function<void()> work) {
    m_timers[m_next++ % 2].RunAt(SteadyNow(), std::move(work));
  }

  std::atomic<char> m_primary{'a'};
  std::atomic<uint64_t> m_term{1};
  std::atomic<uint64_t> m_lsn{1};
  absl::Mutex m_mutex;
  bool m_hold ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::function<void()>> m_held ABSL_GUARDED_BY(m_mutex);
  std::atomic<uint64_t> m_next{0};
  TimerQueue m_timers[2];
};

}  // namespace heatherwick

#endif  // TESTS_RUNTIME_FAKE_DRIVER_H_
