// Guards against deadlines and timers that depend on the system clock. The
// linker replaces absl::Now() with a function whose result this test can shift;
// see CMakeLists.txt.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Source/proto/platform.grpc.pb.h"
#include "Source/runtime/timer_queue.h"
#include "Source/runtime/unary_call.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"
#include "grpcpp/create_channel.h"
#include "grpcpp/security/credentials.h"

namespace {
std::atomic<int64_t> g_step_seconds = 0;
}  // namespace

// The linker option --wrap gives these names to the real absl::Now() and to its
// replacement.
// NOLINTBEGIN(bugprone-reserved-identifier)
absl::Time RealNow() __asm__("__real__ZN4absl7debian33NowEv");
absl::Time SteppedNow() __asm__("__wrap__ZN4absl7debian33NowEv");
// NOLINTEND(bugprone-reserved-identifier)

absl::Time SteppedNow() {
  return RealNow() + absl::Seconds(g_step_seconds.load());
}

namespace heatherwick {
namespace {

constexpr absl::Duration kWait = absl::Milliseconds(400);
constexpr absl::Duration kMinWait = absl::Milliseconds(390);
constexpr absl::Duration kMaxWait = absl::Milliseconds(1500);

// A listening socket that accepts no connection, so that calls get no reply.
class SilentListener {
 public:
  SilentListener() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(listen(m_socket, 1) == 0);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
    m_address = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
  }
  ~SilentListener() { close(m_socket); }

  const std::string& Address() const { return m_address; }

 private:
  const int m_socket;
  std::string m_address;
};

class ClockStepFixture {
 protected:
  ~ClockStepFixture() { g_step_seconds = 0; }

  // Steps the system clock by `seconds` while a wait of kWait, which began at
  // or after `start`, is in progress. Checks that the wait ends on time.
  static void StepDuringWait(absl::Time start,
                             int64_t seconds,
                             absl::Notification* done) {
    absl::SleepFor(absl::Milliseconds(100));
    g_step_seconds = seconds;
    done->WaitForNotificationWithTimeout(absl::Seconds(10));
    const absl::Duration waited = SteadyNow() - start;
    CHECK(waited >= kMinWait);
    CHECK(waited <= kMaxWait);
  }

  void CheckTimer(int64_t seconds) {
    absl::Notification done;
    TimerQueue timers;
    const absl::Time start = SteadyNow();
    timers.RunAt(SteadyNow() + kWait, [&done]() { done.Notify(); });
    StepDuringWait(start, seconds, &done);
  }

  void CheckCall(int64_t seconds) {
    SilentListener listener;
    const std::shared_ptr<grpc::Channel> channel = grpc::CreateChannel(
        listener.Address(), grpc::InsecureChannelCredentials());
    // gRPC 1.51 crashes if the end of a call destroys the call's own channel.
    // Therefore the channels are never destroyed.
    static auto* const channels =
        new std::vector<std::shared_ptr<grpc::Channel>>();
    channels->push_back(channel);
    absl::Notification done;
    const absl::Time start = SteadyNow();
    using Async = proto::Platform::Stub::async_interface;
    using Method = void (Async::*)(
        grpc::ClientContext*, const proto::ReadRowRequest*,
        proto::ReadRowReply*, std::function<void(grpc::Status)>);
    StartUnaryCall<proto::Platform, proto::ReadRowRequest, proto::ReadRowReply>(
        channel, static_cast<Method>(&Async::ReadRow), {}, SteadyNow() + kWait,
        [&done](const Result<proto::ReadRowReply>&) { done.Notify(); });
    StepDuringWait(start, seconds, &done);
  }
};

TEST_CASE_FIXTURE(ClockStepFixture,
                  "TimerQueue_SystemClockStepsAhead_FiresOnTime") {
  CheckTimer(6);
}

TEST_CASE_FIXTURE(ClockStepFixture,
                  "TimerQueue_SystemClockStepsBack_FiresOnTime") {
  CheckTimer(-6);
}

TEST_CASE_FIXTURE(ClockStepFixture,
                  "UnaryCall_SystemClockStepsAhead_EndsOnTime") {
  CheckCall(6);
}

TEST_CASE_FIXTURE(ClockStepFixture,
                  "UnaryCall_SystemClockStepsBack_EndsOnTime") {
  CheckCall(-6);
}

TEST_CASE_FIXTURE(ClockStepFixture, "SteadyNow_SystemClockSteps_DoesNotMove") {
  const absl::Time before = SteadyNow();
  g_step_seconds = -6;
  CHECK(SteadyNow() - before < absl::Seconds(1));
  CHECK(SteadyNow() >= before);
}

}  // namespace
}  // namespace heatherwick
