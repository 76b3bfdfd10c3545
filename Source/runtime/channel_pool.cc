// Creates channels with a short reconnection backoff.

#include "Source/runtime/channel_pool.h"

#include "grpcpp/create_channel.h"
#include "grpcpp/security/credentials.h"
#include "grpcpp/support/channel_arguments.h"

namespace heatherwick {

namespace {

// gRPC's default backoff grows to two minutes, which is longer than a failover
// may take.
constexpr int kMinBackoffMs = 50;
constexpr int kMaxBackoffMs = 1000;

}  // namespace

std::shared_ptr<grpc::Channel> ChannelPool::Get(const std::string& address) {
  const auto make = [&address] {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
    // An HTTP proxy from the environment must not redirect calls between
    // instances.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    auto entry = std::make_shared<Entry>();
    entry->channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
    return entry;
  };
  return m_channels.FindOrCreate(address, make)->channel;
}

void ChannelPool::Remove(const std::string& address) {
  m_channels.Remove(address);
}

}  // namespace heatherwick
