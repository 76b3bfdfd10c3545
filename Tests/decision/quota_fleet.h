// A fleet of instances that share a workspace's quota, in virtual time. The
// members' list has a history; each instance reads it now and then, as it would
// from the platform's store.

#ifndef TESTS_DECISION_QUOTA_FLEET_H_
#define TESTS_DECISION_QUOTA_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Source/decision/quota_coordinator.h"
#include "Source/decision/quota_requester.h"
#include "Tests/gateway/virtual_loop.h"

namespace heatherwick {

inline constexpr char kQuotaWorkspace[] = "w";

class QuotaFleet {
 public:
  struct Options {
    uint32_t seed = 1;
    int instances = 8;
    int data_centres = 4;
    WorkspaceQuota quota;
    QuotaTolerance tolerance{absl::Seconds(5), 0.1, 20};
    // For which a coordinator waits; see QuotaCoordinator.
    absl::Duration lease = absl::Milliseconds(2100);
  };

  explicit QuotaFleet(Options options);

  // An operation arrives at the instance.
  void Arrive(int instance);
  void RunFor(absl::Duration time) { m_loop.RunFor(time); }
  uint32_t Below(uint32_t limit) { return m_random() % limit; }

  // Faults.
  void Kill(int instance) { m_nodes[instance].alive = false; }
  void Restart(int instance);
  void RemoveMember(int instance);
  void AddMember(int instance);
  // While frozen, an instance runs nothing; its clock goes on.
  void SetFrozen(int instance, bool frozen);
  // An instance that is cut off does not read the members' list.
  void SetCutFromStore(int instance, bool cut) {
    m_nodes[instance].cut_from_store = cut;
  }
  // An instance that is cut from its peers neither asks nor answers others.
  void SetCutFromPeers(int instance, bool cut) {
    m_nodes[instance].cut_from_peers = cut;
  }

  int Instances() const { return static_cast<int>(m_nodes.size()); }
  size_t Admitted() const { return m_admitted.size(); }
  size_t Refused() const { return m_refused; }
  // Operations admitted beyond the bound in the worst window; 0 or less if the
  // bound holds.
  double WorstExcess() const;
  const std::vector<absl::Time>& AdmittedAt() const { return m_admitted; }

 private:
  struct Node {
    InstanceId id;
    FleetMember member;
    bool alive = true;
    bool frozen = false;
    bool cut_from_store = false;
    bool cut_from_peers = false;
    uint64_t incarnation = 1;
    size_t read_version = 0;  // Of the members' list; 0 if it was never read.
    absl::Time as_of = absl::InfinitePast();
    std::unique_ptr<QuotaCoordinator> coordinator;
    std::unique_ptr<QuotaRequester> requester;
    std::vector<std::function<void()>>
        held;  // Run when it is no longer frozen.
  };

  void StartProcess(int instance);
  void ReadMembers(int instance, uint64_t incarnation);
  // Runs `task` at the instance after `delay`, unless its process has ended.
  void RunAt(int instance, absl::Duration delay, std::function<void()> task);
  void Carry(int instance, const QuotaActions& actions);
  void Call(int instance, const QuotaActions::Call& call);
  absl::Duration RandomDelay();
  int IndexOf(const InstanceId& id) const;

  const Options m_options;
  std::mt19937 m_random;
  VirtualLoop m_loop;
  std::vector<Node> m_nodes;
  // Versions of the members' list, the newest last.
  std::vector<std::vector<FleetMember>> m_history;
  std::vector<absl::Time> m_admitted;
  size_t m_refused = 0;
  QuotaTicket m_next_ticket = 1;
};

}  // namespace heatherwick

#endif  // TESTS_DECISION_QUOTA_FLEET_H_
