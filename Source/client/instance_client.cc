// Connects first and calls then, because a call that was never sent may go
// to the next instance whatever it does.

#include "Source/client/instance_client.h"
#include "Source/base/steady_clock.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kLongestConnect = absl::Seconds(2);

// Returns whether the channel connects by `deadline`. A refused connection
// ends the wait at once; the channel itself would go on trying.
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

CallResult InstanceClient::TryEach(Repeat repeat, const Attempt& attempt) {
  CallResult result;
  for (const std::string& address : m_addresses) {
    const Channel channel = m_channels.Get(address);
    const absl::Time connected_by =
        SteadyNow() + std::min(m_timeout, kLongestConnect);
    if (!Connect(channel.get(), connected_by)) {
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
    if (repeat == Repeat::kForbidden) {
      return result;
    }
  }
  return result;
}

}  // namespace heatherwick
