// Asynchronous unary gRPC calls with a deadline and a callback.

#ifndef SOURCE_RUNTIME_UNARY_CALL_H_
#define SOURCE_RUNTIME_UNARY_CALL_H_

#include <functional>
#include <memory>
#include <utility>

#include "Source/base/error.h"
#include "Source/runtime/grpc_deadline.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "grpcpp/channel.h"
#include "grpcpp/client_context.h"
#include "grpcpp/support/status.h"

namespace heatherwick {

// State of an asynchronous call; kept until its callback has run.
template <typename Service, typename Request, typename Reply>
struct UnaryCall {
  std::unique_ptr<typename Service::Stub> stub;
  grpc::ClientContext context;
  Request request;
  Reply reply;
};

// Cancels a call; its callback still runs, with an error. May also be called
// after the call has ended.
using CancelCall = std::function<void()>;

// Starts a call. `method` is a member of Service::Stub::async_interface. `done`
// runs on a gRPC thread. Errors have the kind kDeadlineExceeded if the deadline
// has passed, and kUnavailable otherwise.
template <typename Service, typename Request, typename Reply, typename Method>
CancelCall StartUnaryCall(std::shared_ptr<grpc::Channel> channel,
                          Method method,
                          Request request,
                          absl::Time deadline,
                          std::function<void(Result<Reply>)> done) {
  using Call = UnaryCall<Service, Request, Reply>;
  auto call = std::make_shared<Call>();
  call->stub = Service::NewStub(std::move(channel));
  call->context.set_deadline(GrpcDeadline(deadline));
  call->request = std::move(request);
  Call* const call_ptr = call.get();
  const std::weak_ptr<Call> weak = call;
  std::function<void(grpc::Status)> finished =
      [call = std::move(call),
       done = std::move(done)](const grpc::Status& status) {
        if (status.ok()) {
          done(std::move(call->reply));
          return;
        }
        const bool timed_out =
            status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        done(Error{
            timed_out ? ErrorKind::kDeadlineExceeded : ErrorKind::kUnavailable,
            absl::StrCat("call failed: ", status.error_message()),
            "try another instance or try again later"});
      };
  (call_ptr->stub->async()->*method)(&call_ptr->context, &call_ptr->request,
                                     &call_ptr->reply, std::move(finished));
  return [weak] {
    if (const auto running = weak.lock()) {
      running->context.TryCancel();
    }
  };
}

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_UNARY_CALL_H_
