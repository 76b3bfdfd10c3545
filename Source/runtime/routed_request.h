// Routes one request from the entry instance (the one that received it) to the
// group's home (the instance that owns the group's queue).
//
// Tries the candidates of the group in order. A request is sent to a second
// instance only if it cannot have run at the first one or if running it again
// is safe. Otherwise the outcome of its key is resolved instead.

#ifndef SOURCE_RUNTIME_ROUTED_REQUEST_H_
#define SOURCE_RUNTIME_ROUTED_REQUEST_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/decision_log.h"
#include "Source/base/metrics.h"
#include "Source/proto/peer.pb.h"
#include "Source/proto/proxy.pb.h"
#include "Source/runtime/channel_pool.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/home_directory.h"
#include "Source/runtime/peer_call_tracker.h"
#include "Source/runtime/timer_queue.h"
#include "absl/time/time.h"

namespace heatherwick {

// State that all routed requests of an instance share. It must outlive them.
struct RoutingContext {
  MemberInfo self;
  // Returns the current incarnation, which may change after the start.
  std::function<std::string()> incarnation;
  HomeDirectory* homes = nullptr;
  MemberSource* members = nullptr;
  SheetSource* sheets = nullptr;
  ChannelPool* channels = nullptr;
  TimerQueue* timers = nullptr;
  PeerCallTracker peer_calls;
  DecisionLog* decision_log = nullptr;
  Metrics* metrics = nullptr;
  std::atomic<uint64_t> in_flight{0};
  // Arrival time of the latest request in microseconds, by the steady clock.
  std::atomic<int64_t> last_arrival_us{0};
};

class RoutedRequest : public std::enable_shared_from_this<RoutedRequest> {
 public:
  using Done = std::function<void(proto::ExecuteReply)>;

  // `done` is called once, by `deadline` or shortly after.
  static void Execute(RoutingContext* context,
                      proto::ExecuteRequest request,
                      absl::Time deadline,
                      Done done);
  static void Resolve(RoutingContext* context,
                      proto::ResolveRequest request,
                      absl::Time deadline,
                      Done done);

  ~RoutedRequest();

 private:
  RoutedRequest(RoutingContext* context, absl::Time deadline, Done done);

  // Returns the instance that runs the request's transaction, or an empty id if
  // the request is not part of one.
  InstanceId TransactionHome() const;
  std::string TransactionIncarnation() const;
  const GroupName& Group() const;
  const std::string& Token() const;

  void Start();
  // Returns whether this instance's sheet is at least as new as the one that
  // the session has seen. If not, requests that version and schedules a retry.
  bool SheetIsNewEnough();
  void TryCandidates();
  void TryNextCandidate();
  void RunLocally(bool forced);
  void Send(const MemberInfo& candidate, bool forced);
  void OnReply(const MemberInfo& candidate, Result<proto::ForwardReply> result);
  // Handles a call that failed after the request may have reached the instance.
  void OnCallFailed(const Error& error);
  void RetryLater(absl::string_view reason);
  void Finish(proto::ExecuteReply reply);
  void FinishError(proto::Outcome outcome, const Error& error);
  void Log(absl::string_view decision,
           absl::string_view reason,
           const InstanceId& candidate) const;

  RoutingContext* const m_context;
  const absl::Time m_deadline;
  Done m_done;
  proto::ExecuteRequest m_execute;
  proto::ResolveRequest m_resolve;
  bool m_resolving = false;
  bool m_may_have_run = false;

  std::vector<MemberInfo> m_candidates;
  size_t m_next_candidate = 0;
  // Set after the first round: candidates must serve the request even if they
  // cannot reach the primary or a majority.
  bool m_forced = false;
  absl::Duration m_retry_delay;
  std::string m_last_refusal;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_ROUTED_REQUEST_H_
