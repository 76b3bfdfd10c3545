// Runs the membership protocol of this instance: its timers, its probes over
// gRPC and its reads of the platform's list of instances.

#ifndef SOURCE_RUNTIME_MEMBER_MANAGER_H_
#define SOURCE_RUNTIME_MEMBER_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Source/base/decision_record.h"
#include "Source/decision/list_schedule.h"
#include "Source/decision/membership.h"
#include "Source/proto/peer.grpc.pb.h"
#include "Source/runtime/channel_pool.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/store_client.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

struct MemberManagerOptions {
  // An empty incarnation is replaced by a new one.
  MemberInfo own;
  // Both must outlive the manager.
  StoreClient* store = nullptr;
  ChannelPool* channels = nullptr;
  // Addresses of peers to contact if the list cannot be read at start. The own
  // address is ignored.
  std::vector<std::string> seeds;
  // Receives one record for each change of a member; may be empty. This and the
  // other callbacks are called from several threads, with no lock held.
  std::function<void(const DecisionRecord&)> record;
  std::function<uint64_t()> own_sheet_version;
  // Called when a peer has reported the version of its sheet, even if that is
  // not newer than the own one: an equal version tells the sheet manager that
  // it need not read the sheet's head from the store.
  std::function<
      void(const InstanceId& id, const std::string& address, uint64_t version)>
      on_peer_sheet;
  // Called when the own incarnation has been raised because an earlier process
  // of this instance had a higher one.
  std::function<void(const std::string& incarnation)> on_incarnation;
  MembershipOptions membership;
  ListScheduleOptions list;
  absl::Duration tick = absl::Milliseconds(50);
  absl::Duration list_timeout = absl::Seconds(2);
};

class MemberManager : public MemberSource {
 public:
  explicit MemberManager(MemberManagerOptions options);
  // Calls Stop.
  ~MemberManager() override;
  MemberManager(const MemberManager&) = delete;
  MemberManager& operator=(const MemberManager&) = delete;

  // Must be called at most once, after the peer service has started to answer.
  void Start();
  // Returns when all threads and outgoing probes have ended. Probe and Members
  // may still be called afterwards.
  void Stop();

  std::shared_ptr<const std::vector<MemberInfo>> Members() const override;
  void ReportUnreachable(const InstanceId& id) override;
  void Leave() override;
  void Probe(const proto::ProbeRequest& request,
             proto::ProbeReply* reply) override;
  void ListMembers(proto::ListMembersReply* reply) override;

  // The current incarnation. Forwarded requests must name it.
  std::string Incarnation() const;
  // True once this instance or a peer has read the list and every listed
  // instance of the region has been probed once.
  bool HasJoined() const;
  // Whether this instance is one of those that poll the store for their region.
  bool IsStorePoller() const;

 private:
  using Actions = std::vector<MembershipAction>;
  // One outgoing probe. Deleted when the call has ended.
  struct Call;

  void RunTickLoop();
  void RunListLoop();
  void ReadList();

  // Calls `event(membership, now, actions)` under the lock, then performs
  // the actions.
  template <typename Event>
  void Handle(Event event);
  void PerformActions(const Actions& actions);
  void Send(const SendProbe& send);
  void EndProbe(Call* call, bool answered);
  void RelayProbe(const proto::ProbeRequest& request, proto::ProbeReply* reply);
  void RecordChange(const MemberChanged& change) const;
  void FillRequest(const SendProbe& send, proto::ProbeRequest* request);
  void ReportPeerSheet(const proto::MemberUpdate& peer, uint64_t version) const;
  uint64_t OwnSheetVersion() const;

  void PublishView() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool FindStorePoller() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RecordListAge(uint64_t list_age_ms)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  uint64_t ListAgeMs() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

  const MemberManagerOptions m_options;

  mutable absl::Mutex m_mutex;
  absl::BitGen m_random ABSL_GUARDED_BY(m_mutex);
  Membership m_membership ABSL_GUARDED_BY(m_mutex);
  ListSchedule m_list ABSL_GUARDED_BY(m_mutex);
  uint64_t m_published_version ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_store_poller ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  absl::flat_hash_set<Call*> m_calls ABSL_GUARDED_BY(m_mutex);

  // Separate from m_mutex, because every request locks it.
  mutable absl::Mutex m_view_mutex;
  std::shared_ptr<const std::vector<MemberInfo>> m_view
      ABSL_GUARDED_BY(m_view_mutex);

  std::thread m_tick_thread;
  std::thread m_list_thread;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_MEMBER_MANAGER_H_
