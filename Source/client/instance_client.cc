// Connects before it sends a call. If the connection fails, the call was never
// sent and may go to the next instance, even if it must not run twice.

#include "Source/client/instance_client.h"
#include "Source/base/steady_clock.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kMaxConnectTimeout = absl::Seconds(2);

// Returns whether the channel connects by `deadline`. A refused connection
// ends the wait at once, although the channel itself would keep retrying.
bool Connect(grpc::Channel* channel, absl::Time deadline) {
  grpc_connectivity_state state = channel->GetState(/*try_to_connect=*/true);
  while (state != GRPC_CHANNEL_READY &&
         state != GRPC_CHANNEL_TRANSIENT_FAILURE) {
    if (!channel->WaitForStateChange(state, GrpcDeadline(deadline))) {
      return false;
    }
    state = channel->GetState(/*try_to_connect=*/true);
  }
  return state == GRPC_CHANNEL_READY;
}

}  // namespace

InstanceClient::InstanceClient(std::vector<std::string> addresses,
                               absl::Duration timeout)
    : m_addresses(std::move(addresses)), m_timeout(timeout) {}

CallResult InstanceClient::TryEachInstance(Retry retry,
                                           const Attempt& attempt) {
  CallResult result;
  for (const std::string& address : m_addresses) {
    const Channel channel = m_channels.Get(address);
    const absl::Time connect_deadline =
        SteadyNow() + std::min(m_timeout, kMaxConnectTimeout);
    if (!Connect(channel.get(), connect_deadline)) {
      absl::StrAppend(&result.failures, "instance ", address,
                      " cannot be reached; check that it runs\n");
      continue;
    }
    grpc::ClientContext context;
    context.set_deadline(GrpcDeadlineIn(m_timeout));
    const grpc::Status status = attempt(channel, &context);
    if (status.ok()) {
      result.outcome = CallOutcome::kAnswered;
      result.address = address;
      return result;
    }
    result.outcome = CallOutcome::kUnknown;
    absl::StrAppend(&result.failures, "instance ", address,
                    " did not answer: ", status.error_message(),
                    "; check it or raise --timeout\n");
    if (retry == Retry::kForbidden) {
      return result;
    }
  }
  return result;
}

}  // namespace heatherwick
