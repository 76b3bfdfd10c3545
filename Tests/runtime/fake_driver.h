// A fake target driver without a network, for tests of a group's home.

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

// Simulates the three targets of a group: every write on the primary is on the
// replicas at once. Callbacks run on the threads of two timer queues.
// Thread-safe.
class FakeDriver : public TargetDriver {
 public:
  // Makes `primary` the primary of `term`; '-' stands for no primary.
  void SetPrimary(char primary, uint64_t term) {
    m_primary = primary;
    m_term = term;
  }
  // Holds back the replies to statements until ReleaseReplies is called.
  void HoldReplies() {
    absl::MutexLock lock(&m_mutex);
    m_holding_replies = true;
  }
  size_t HeldReplyCount() {
    absl::MutexLock lock(&m_mutex);
    return m_held_replies.size();
  }
  void ReleaseReplies() {
    std::vector<std::function<void()>> replies;
    {
      absl::MutexLock lock(&m_mutex);
      m_holding_replies = false;
      replies.swap(m_held_replies);
    }
    for (std::function<void()>& work : replies) {
      RunLater(std::move(work));
    }
  }

  void Connect(const std::string& address,
               absl::Duration /*timeout*/,
               Opened opened,
               std::function<void()> /*closed*/) override {
    RunLater([this, address, opened] {
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
    RunLater([done, status] { done(status); });
  }
  void WaitPosition(const std::string& /*address*/,
                    const proto::WaitPositionRequest& /*request*/,
                    Callback<proto::WaitPositionReply> done) override {
    proto::WaitPositionReply reply;
    reply.set_contained(true);
    reply.set_term(m_term);
    reply.mutable_last()->set_term(m_term);
    reply.mutable_last()->set_lsn(m_lsn);
    RunLater([done, reply] { done(reply); });
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
      m_driver->SendReply([done, reply] { done(reply); });
    }
    void Close() override {}

   private:
    FakeDriver* const m_driver;
  };

  void SendReply(std::function<void()> work) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_holding_replies) {
        m_held_replies.push_back(std::move(work));
        return;
      }
    }
    RunLater(std::move(work));
  }

  void RunLater(std::function<void()> work) {
    m_timers[m_next_timer++ % 2].RunAt(SteadyNow(), std::move(work));
  }

  std::atomic<char> m_primary{'a'};
  std::atomic<uint64_t> m_term{1};
  std::atomic<uint64_t> m_lsn{1};
  absl::Mutex m_mutex;
  bool m_holding_replies ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::function<void()>> m_held_replies ABSL_GUARDED_BY(m_mutex);
  std::atomic<uint64_t> m_next_timer{0};
  TimerQueue m_timers[2];
};

}  // namespace heatherwick

#endif  // TESTS_RUNTIME_FAKE_DRIVER_H_
