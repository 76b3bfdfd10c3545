// Admits operations of workspaces within their quotas. Connects the decisions
// (QuotaRequester, QuotaCoordinator) to the members, the clock and the calls
// between instances. All functions run on the event loop's thread.

#ifndef SOURCE_GATEWAY_QUOTA_QUOTA_GATE_H_
#define SOURCE_GATEWAY_QUOTA_QUOTA_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/metrics.h"
#include "Source/decision/quota_coordinator.h"
#include "Source/decision/quota_requester.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/quota/quota_transport.h"

namespace heatherwick {

// What the gate needs to know of the fleet; implemented by its owner.
class QuotaFleetView {
 public:
  virtual ~QuotaFleetView() = default;

  // True once the members have been read.
  virtual bool MembersRead() const = 0;
  // Changes whenever the members change.
  virtual uint64_t MembersRevision() const = 0;
  virtual std::vector<FleetMember> Members() const = 0;
  // Where a member answers calls; empty if it is unknown.
  virtual std::string PeerAddress(const InstanceId& id) const = 0;
  // True if a row that an earlier run of this instance wrote is among the
  // members.
  virtual bool HasRowOfEarlierRun() const = 0;
  // True while this instance's view of the members may be used.
  virtual bool LeaseValid() const = 0;
};

class QuotaGate {
 public:
  struct Decision {
    bool admitted = false;
    // If not admitted: when to come back, and whether the quota is used up or
    // no coordinator could be asked.
    absl::Duration retry_after;
    bool used_up = false;
  };
  using OnDecision = std::function<void(Decision)>;

  // An operation that waits for a decision. Destroying it withdraws the
  // operation; the handler is not called then.
  class Ticket {
   public:
    Ticket(QuotaGate* gate, WorkspaceName workspace, QuotaTicket number);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    QuotaGate* const m_gate;
    const WorkspaceName m_workspace;
    const QuotaTicket m_number;
  };

  // The gate has to outlive its tickets. `lease` is the time for which an
  // instance may use a view of the members.
  QuotaGate(InstanceId self,
            DataCentreName data_centre,
            absl::Duration lease,
            QuotaTolerance tolerance,
            EventLoop* loop,
            QuotaTransport* transport,
            const QuotaFleetView* fleet,
            Metrics* metrics);
  ~QuotaGate();

  // Starts to follow the members.
  void Start();
  void OnQuotas(std::map<WorkspaceName, WorkspaceQuota> quotas);
  // True if operations of the workspace have to be admitted.
  bool Limits(const WorkspaceName& workspace) const {
    return m_quotas.contains(workspace);
  }
  // Calls `done` later, once, unless the ticket is destroyed first.
  std::unique_ptr<Ticket> Admit(const WorkspaceName& workspace,
                                int priority,
                                OnDecision done);
  // Answers another instance.
  QuotaResponse OnQuery(const QuotaQuery& query);

 private:
  struct Waiting {
    WorkspaceName workspace;
    OnDecision done;
  };

  void FollowMembers();
  void UpdateMembers();
  void Carry(const QuotaActions& actions);
  void Call(const QuotaActions::Call& call);
  void Decide(QuotaTicket ticket, const Decision& decision);
  void Withdraw(const WorkspaceName& workspace, QuotaTicket ticket);

  const InstanceId m_self;
  EventLoop* const m_loop;
  QuotaTransport* const m_transport;
  const QuotaFleetView* const m_fleet;
  Metrics* const m_metrics;
  QuotaCoordinator m_coordinator;
  QuotaRequester m_requester;
  std::map<WorkspaceName, WorkspaceQuota> m_quotas;
  std::map<QuotaTicket, Waiting> m_waiting;
  QuotaTicket m_next_ticket = 1;
  bool m_members_known = false;
  uint64_t m_members_revision = 0;
  std::unique_ptr<Timer> m_members_timer;
  std::unique_ptr<Timer> m_wake_timer;
  absl::Time m_wake_at = absl::InfiniteFuture();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_QUOTA_QUOTA_GATE_H_
