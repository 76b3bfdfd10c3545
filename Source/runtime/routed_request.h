// One request on its way from the entry instance to the group's home.
//
// Tries the candidates of the group in order. A request is only sent to a
// second instance when it cannot have run at the first, or when running it
// again is safe; otherwise its key is settled.

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
#include "Source/runtime/peer_watch.h"
#include "Source/runtime/timer_queue.h"
#include "absl/time/time.h"

namespace heatherwick {

// What all routed requests of an instance share; outlives them.
struct RoutingContext {
  MemberInfo self;
  // The incarnation in force; it may change after the start.
  std::function<std::string()> incarnation;
  HomeDirectory* homes = nullptr;
  MemberSource* members = nullptr;
  SheetSource* sheets = nullptr;
  ChannelPool* channels = nullptr;
  TimerQueue* timers = nullptr;
  PeerWatch peer_watch;
  DecisionLog* decision_log = nullptr;
  Metrics* metrics = nullptr;
  std::atomic<uint64_t> in_flight{0};
  // When the latest request arrived, in microseconds of Unix time.
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

  // Instance that holds the request's transaction; empty without one.
  InstanceId TransactionHome() const;
  std::string TransactionIncarnation() const;
  const GroupName& Group() const;
  const std::string& Token() const;

  void Start();
  // True when this instance's sheet is at least the session's.
  bool SheetIsNewEnough();
  void TryCandidates();
  void TryNext();
  void RunHere(bool forced);
  void Send(const MemberInfo& candidate, bool forced);
  void OnReply(const MemberInfo& candidate, Result<proto::ForwardReply> result);
  // The call failed after the request may have reached the instance.
  void AfterLostCall(const Error& error);
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
  size_t m_next = 0;
  // The last round: candidates serve what they can even when unfit.
  bool m_forced = false;
  absl::Duration m_pause;
  std::string m_last_refusal;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_ROUTED_REQUEST_H_
