// Interface to the targets (database servers). Drivers register themselves by
// name.
//
// Callbacks run on threads of the driver, never from within the call that they
// were passed to.

#ifndef SOURCE_RUNTIME_TARGET_DRIVER_H_
#define SOURCE_RUNTIME_TARGET_DRIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "Source/base/error.h"
#include "Source/proto/target.pb.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// One connection to a target.
class TargetConnection {
 public:
  using Callback = std::function<void(Result<proto::StatementReply>)>;

  virtual ~TargetConnection() = default;

  // At most one statement may be outstanding. The connection sets the sequence
  // number. A reply with another sequence number closes the connection, so that
  // a reply is never delivered to the wrong statement.
  virtual void Execute(proto::StatementRequest request, Callback done) = 0;
  // Closes the connection. The target rolls back an open transaction. An
  // outstanding statement ends with an error.
  virtual void Close() = 0;
};

class TargetDriver {
 public:
  static constexpr absl::string_view kPluginKind = "target driver";

  using Opened = std::function<void(Result<std::shared_ptr<TargetConnection>>)>;

  virtual ~TargetDriver() = default;

  // `opened` is called exactly once. If the connection was opened, `closed` is
  // called exactly once when the connection has been lost or closed.
  virtual void Connect(const std::string& address,
                       absl::Duration timeout,
                       Opened opened,
                       std::function<void()> closed) = 0;

  template <typename Reply>
  using Callback = std::function<void(Result<Reply>)>;

  virtual void ReadStatus(const std::string& address,
                          absl::Duration timeout,
                          Callback<proto::StatusReply> done) = 0;
  virtual void WaitPosition(const std::string& address,
                            const proto::WaitPositionRequest& request,
                            Callback<proto::WaitPositionReply> done) = 0;
  virtual void Fence(const std::string& address,
                     const proto::FenceRequest& request,
                     absl::Duration timeout,
                     Callback<proto::FenceReply> done) = 0;
  virtual void Promote(const std::string& address,
                       const proto::PromoteRequest& request,
                       absl::Duration timeout,
                       Callback<proto::PromoteReply> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TARGET_DRIVER_H_
