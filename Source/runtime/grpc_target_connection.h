// A connection to a target: one bidirectional stream of target.proto.

#ifndef SOURCE_RUNTIME_GRPC_TARGET_CONNECTION_H_
#define SOURCE_RUNTIME_GRPC_TARGET_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Source/proto/target.grpc.pb.h"
#include "Source/runtime/target_driver.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "grpcpp/alarm.h"
#include "grpcpp/channel.h"
#include "grpcpp/client_context.h"
#include "grpcpp/support/client_callback.h"

namespace heatherwick {

class GrpcTargetConnection
    : public TargetConnection,
      private grpc::ClientBidiReactor<proto::StatementRequest,
                                      proto::StatementReply>,
      public std::enable_shared_from_this<GrpcTargetConnection> {
 public:
  explicit GrpcTargetConnection(const std::shared_ptr<grpc::Channel>& channel);

  void Open(absl::Duration timeout,
            TargetDriver::Opened opened,
            std::function<void()> closed);

  void Execute(proto::StatementRequest request, Callback done) override;
  void Close() override;

 private:
  void OnReadDone(bool ok) override;
  void OnWriteDone(bool ok) override;
  void OnDone(const grpc::Status& status) override;

  void OnOpenReply(const Result<proto::StatementReply>& result);
  void Break();

  const std::unique_ptr<proto::Target::Stub> m_stub;
  grpc::ClientContext m_context;
  grpc::Alarm m_open_alarm;
  // Keeps this object alive until gRPC has called OnDone.
  std::shared_ptr<GrpcTargetConnection> m_self;
  proto::StatementReply m_reply;  // Used only by the outstanding read.

  absl::Mutex m_mutex;
  proto::StatementRequest m_request ABSL_GUARDED_BY(m_mutex);
  uint64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
  // Callback of the outstanding statement; null when there is none.
  Callback m_done ABSL_GUARDED_BY(m_mutex);
  // gRPC may report a reply before it reports the end of the write of the
  // statement. Such a reply is kept in m_early_reply until the write has ended:
  // the next statement would otherwise start a second write while the first one
  // is outstanding, which makes gRPC abort.
  bool m_writing ABSL_GUARDED_BY(m_mutex) = false;
  std::optional<proto::StatementReply> m_early_reply ABSL_GUARDED_BY(m_mutex);
  TargetDriver::Opened m_opened ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_closed ABSL_GUARDED_BY(m_mutex);
  bool m_broken ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GRPC_TARGET_CONNECTION_H_
