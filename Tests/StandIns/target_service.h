// The gRPC services of the stand-in database, and its replication thread.

#ifndef TESTS_STANDINS_TARGET_SERVICE_H_
#define TESTS_STANDINS_TARGET_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "Source/proto/target.grpc.pb.h"
#include "Tests/StandIns/slot_queue.h"
#include "Tests/StandIns/target_state.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "grpcpp/grpcpp.h"

namespace heatherwick {

struct TargetOptions {
  std::string id;
  std::map<std::string, std::string> peers;  // Address of each other target.
  uint64_t slots = 2;
  uint64_t connections = 16;
  absl::Duration connect_delay = absl::Milliseconds(10);
  absl::Duration statement_time = absl::Milliseconds(1);
  absl::Duration lag;
  bool primary_at_start = false;
};

class TargetService final : public proto::Target::Service,
                            public proto::TargetStandIn::Service {
 public:
  using Stream =
      grpc::ServerReaderWriter<proto::StatementReply, proto::StatementRequest>;

  explicit TargetService(const TargetOptions& options);

  grpc::Status Connect(grpc::ServerContext* context, Stream* stream) override;
  grpc::Status Status(grpc::ServerContext* context,
                      const proto::StatusRequest* request,
                      proto::StatusReply* reply) override;
  grpc::Status WaitPosition(grpc::ServerContext* context,
                            const proto::WaitPositionRequest* request,
                            proto::WaitPositionReply* reply) override;
  grpc::Status Fence(grpc::ServerContext* context,
                     const proto::FenceRequest* request,
                     proto::FenceReply* reply) override;
  grpc::Status Promote(grpc::ServerContext* context,
                       const proto::PromoteRequest* request,
                       proto::PromoteReply* reply) override;
  grpc::Status Pull(grpc::ServerContext* context,
                    const proto::PullRequest* request,
                    proto::PullReply* reply) override;
  grpc::Status SetFaults(grpc::ServerContext* context,
                         const proto::TargetFaults* request,
                         proto::TargetFaultsReply* reply) override;

  // Follows the group's primary until Stop is called.
  void Replicate();
  void Stop() { m_stopping = true; }

 private:
  using PeerStubs = std::map<std::string, std::unique_ptr<proto::Target::Stub>>;

  // Whether the faults let messages between the caller and this target pass.
  bool IsCut(const grpc::ServerContext& context);
  // Holds a call while its caller is cut off, as a lost network does.
  bool PassFaults(grpc::ServerContext* context);
  // Runs `call` with the faults applied before and after it.
  grpc::Status Guarded(grpc::ServerContext* context,
                       const std::function<void()>& call);
  // Waits for a change of the state, at most until `deadline`.
  void AwaitChange(grpc::ServerContext* context, absl::Time deadline)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool TakeConnection();
  grpc::Status Serve(grpc::ServerContext* context, Stream* stream);
  void Execute(grpc::ServerContext* context,
               const proto::StatementRequest& request,
               TargetSession* session,
               proto::StatementReply* reply);
  void RunInSlot(grpc::ServerContext* context,
                 const proto::StatementRequest& request,
                 const Statement& statement,
                 TargetSession* session,
                 proto::StatementReply* reply);
  void PrepareCall(absl::Duration timeout, grpc::ClientContext* context) const;
  // Id of a peer that leads in this target's term or a higher one.
  std::string FindPrimary();
  // False when the primary did not answer or no longer leads.
  bool PullFrom(const std::string& primary);

  const TargetOptions m_options;
  const std::string m_incarnation;
  SlotQueue m_slots;
  PeerStubs m_peers;
  std::atomic<bool> m_stopping{false};
  std::atomic<uint64_t> m_connection_count{0};

  absl::Mutex m_mutex;
  absl::CondVar m_changed;  // The log or the term changed.
  TargetState m_state ABSL_GUARDED_BY(m_mutex);
  proto::TargetFaults m_faults ABSL_GUARDED_BY(m_mutex);
  uint64_t m_connections ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_SERVICE_H_
