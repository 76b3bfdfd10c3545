// The gRPC services of the stand-in database and its replication loop.

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
  std::map<std::string, std::string>
      peers;  // Addresses of the other targets by id.
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

  // Replicates from the group's primary until Stop is called. Runs in a thread
  // of its own.
  void Replicate();
  void Stop() { m_stopping = true; }

 private:
  using PeerStubs = std::map<std::string, std::unique_ptr<proto::Target::Stub>>;

  // Whether the injected faults cut the connection between the sender of the
  // call and this target.
  bool IsCut(const grpc::ServerContext& context);
  // Blocks while the sender of the call is cut off, so that the sender sees no
  // reply, as in a network partition. Returns false if the call should end
  // without a reply.
  bool WaitUntilReachable(grpc::ServerContext* context);
  // Runs `call`. The faults apply before it, as if the request were lost, and
  // after it, as if the reply were lost.
  grpc::Status RunWithFaults(grpc::ServerContext* context,
                             const std::function<void()>& call);
  // Waits for a change of the log or the term, at most until `deadline` and at
  // most kMaxPullWait.
  void WaitForChange(grpc::ServerContext* context, absl::Time deadline)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool AcquireConnection();
  grpc::Status ServeStatements(grpc::ServerContext* context, Stream* stream);
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
  // Returns the id of the peer that is primary in the highest term, which is at
  // least this target's term, or an empty string.
  std::string FindPrimary();
  // Returns false if the peer did not reply or is no longer primary.
  bool PullFrom(const std::string& primary);

  const TargetOptions m_options;
  const std::string m_incarnation;
  SlotQueue m_slots;
  PeerStubs m_peers;
  std::atomic<bool> m_stopping{false};
  std::atomic<uint64_t> m_connections_opened{0};

  absl::Mutex m_mutex;
  absl::CondVar m_changed;  // Signalled when the log or the term changes.
  TargetState m_state ABSL_GUARDED_BY(m_mutex);
  proto::TargetFaults m_faults ABSL_GUARDED_BY(m_mutex);
  uint64_t m_open_connections ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_SERVICE_H_
