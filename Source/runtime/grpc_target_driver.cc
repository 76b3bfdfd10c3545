// Implements the target driver with asynchronous calls of target.proto.

#include "Source/runtime/grpc_target_driver.h"
#include "Source/base/steady_clock.h"

#include <memory>
#include <utility>

#include "Source/kernel/registry.h"
#include "Source/runtime/grpc_target_connection.h"
#include "Source/runtime/unary_call.h"

namespace heatherwick {

namespace {

const Registration<TargetDriver, GrpcTargetDriver, ChannelPool*> kRegistration(
    "grpc");

// Time that the reply to a WaitPosition call may take beyond the wait itself.
constexpr absl::Duration kReplyAllowance = absl::Milliseconds(300);

using Async = proto::Target::Stub::async_interface;

// Selects the overload that takes a callback.
template <typename Request, typename Reply>
using Method = void (Async::*)(grpc::ClientContext*,
                               const Request*,
                               Reply*,
                               std::function<void(grpc::Status)>);

}  // namespace

void GrpcTargetDriver::Connect(const std::string& address,
                               absl::Duration timeout,
                               Opened opened,
                               std::function<void()> closed) {
  const auto connection =
      std::make_shared<GrpcTargetConnection>(m_channels->Get(address));
  connection->Open(timeout, std::move(opened), std::move(closed));
}

void GrpcTargetDriver::ReadStatus(const std::string& address,
                                  absl::Duration timeout,
                                  Callback<proto::StatusReply> done) {
  const Method<proto::StatusRequest, proto::StatusReply> method =
      &Async::Status;
  StartUnaryCall<proto::Target, proto::StatusRequest, proto::StatusReply>(
      m_channels->Get(address), method, proto::StatusRequest(),
      SteadyNow() + timeout, std::move(done));
}

void GrpcTargetDriver::WaitPosition(const std::string& address,
                                    const proto::WaitPositionRequest& request,
                                    Callback<proto::WaitPositionReply> done) {
  const Method<proto::WaitPositionRequest, proto::WaitPositionReply> method =
      &Async::WaitPosition;
  StartUnaryCall<proto::Target, proto::WaitPositionRequest,
                 proto::WaitPositionReply>(
      m_channels->Get(address), method, request,
      SteadyNow() + absl::Milliseconds(request.timeout_ms()) + kReplyAllowance,
      std::move(done));
}

void GrpcTargetDriver::Fence(const std::string& address,
                             const proto::FenceRequest& request,
                             absl::Duration timeout,
                             Callback<proto::FenceReply> done) {
  const Method<proto::FenceRequest, proto::FenceReply> method = &Async::Fence;
  StartUnaryCall<proto::Target, proto::FenceRequest, proto::FenceReply>(
      m_channels->Get(address), method, request, SteadyNow() + timeout,
      std::move(done));
}

void GrpcTargetDriver::Promote(const std::string& address,
                               const proto::PromoteRequest& request,
                               absl::Duration timeout,
                               Callback<proto::PromoteReply> done) {
  const Method<proto::PromoteRequest, proto::PromoteReply> method =
      &Async::Promote;
  StartUnaryCall<proto::Target, proto::PromoteRequest, proto::PromoteReply>(
      m_channels->Get(address), method, request, SteadyNow() + timeout,
      std::move(done));
}

}  // namespace heatherwick
