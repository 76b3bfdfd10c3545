// gRPC channels by address, shared by every client of the process.

#ifndef SOURCE_RUNTIME_CHANNEL_POOL_H_
#define SOURCE_RUNTIME_CHANNEL_POOL_H_

#include <memory>
#include <string>

#include "Source/kernel/sharded_map.h"
#include "grpcpp/channel.h"

namespace heatherwick {

class ChannelPool {
 public:
  // Thread-safe. The channel connects on first use and reconnects with a
  // backoff of at most one second.
  std::shared_ptr<grpc::Channel> Get(const std::string& address);
  // Removes the channel of an instance that has left or died.
  void Remove(const std::string& address);

 private:
  struct Entry {
    std::shared_ptr<grpc::Channel> channel;
  };

  ShardedMap<std::string, Entry> m_channels;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_CHANNEL_POOL_H_
