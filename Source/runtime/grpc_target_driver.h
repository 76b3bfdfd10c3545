// A target driver that uses target.proto over gRPC. Registered as "grpc".

#ifndef SOURCE_RUNTIME_GRPC_TARGET_DRIVER_H_
#define SOURCE_RUNTIME_GRPC_TARGET_DRIVER_H_

#include <functional>
#include <string>

#include "Source/runtime/channel_pool.h"
#include "Source/runtime/target_driver.h"

namespace heatherwick {

class GrpcTargetDriver : public TargetDriver {
 public:
  // `channels` must outlive the driver and every call.
  explicit GrpcTargetDriver(ChannelPool* channels) : m_channels(channels) {}

  void Connect(const std::string& address,
               absl::Duration timeout,
               Opened opened,
               std::function<void()> closed) override;
  void ReadStatus(const std::string& address,
                  absl::Duration timeout,
                  Callback<proto::StatusReply> done) override;
  void WaitPosition(const std::string& address,
                    const proto::WaitPositionRequest& request,
                    Callback<proto::WaitPositionReply> done) override;
  void Fence(const std::string& address,
             const proto::FenceRequest& request,
             absl::Duration timeout,
             Callback<proto::FenceReply> done) override;
  void Promote(const std::string& address,
               const proto::PromoteRequest& request,
               absl::Duration timeout,
               Callback<proto::PromoteReply> done) override;

 private:
  ChannelPool* const m_channels;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GRPC_TARGET_DRIVER_H_
