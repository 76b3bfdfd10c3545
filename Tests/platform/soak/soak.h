// The fault soak: runs real instances as processes against stand-ins of the
// store and the databases, and injects faults from outside. A seed chooses the
// faults.

#ifndef TESTS_PLATFORM_SOAK_SOAK_H_
#define TESTS_PLATFORM_SOAK_SOAK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Tests/platform/platform_fakes.h"
#include "Tests/platform/soak/call_history.h"
#include "Tests/platform/soak/fault_proxy.h"
#include "Tests/platform/soak/instance_process.h"
#include "Tests/platform/soak/order_planner.h"
#include "Tests/platform/soak/port_block.h"
#include "Tests/platform/soak/soak_caller.h"
#include "Tests/platform/soak/workspace_history.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick::platform {

// Of the three databases of a group, one leads.
inline constexpr int kMaxSyncReplicas = 2;

struct SoakOptions {
  int seed = 1;
  int seconds = 20;
  int instances = 4;
  int groups = 1;
  // Ends and starts instances far more often than other faults occur.
  bool restart_often = false;
  // Answers orders of promotions late or never, and injects faults between an
  // order and its effect.
  bool orders_late = false;
  // The store returns from copies that are some seconds old.
  bool store_returns = false;
  // Disturbs the connections between instances, and cuts instances off from
  // their peers and the store.
  bool peer_links = false;
  // Pauses single instances for long, and ends with a loss of power. The groups
  // begin in later terms.
  bool long_faults = false;
  // Injects only what the other options ask for.
  bool calm = false;
  // Workspaces with two keys each, of which all but the first have a quota. 0
  // for a configuration without workspaces.
  int workspaces = 0;
  // Replicas that receive a commit before it is acknowledged. If there are any,
  // the primary and replicas also crash together, and a replica loses its log.
  int sync_replicas = 0;
  std::string program;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options);

  // Returns the violated guarantees, one a line.
  std::vector<std::string> Run();
  // Ends the callers and the instances.
  void EndProcesses();
  const std::string& Directory() const { return m_directory; }

 private:
  // The action that ends a fault, and the time for it.
  struct ScheduledEnd {
    absl::Time at;
    std::function<void()> action;
  };
  struct ScheduledOrderFault {
    absl::Time at;
    OrderFault fault;
    FakeDatabaseGroup* group = nullptr;
    std::string id;  // The database that was ordered.
    size_t holder = 0;
  };

  // Handles an order of a promotion; called by threads of the store.
  unsigned TakeOrder(const FakePromotionOrder& order);
  // Injects the faults that follow an order and are due.
  void InjectOrderFaults();
  void InjectOrderFault(const ScheduledOrderFault& scheduled);
  void KillInstances(size_t first, size_t count, absl::Duration down);
  absl::Time RandomEnd();
  // Injects one random fault.
  void InjectFault();
  void InjectInstanceFault(InstanceProcess* instance,
                           uint32_t kind,
                           absl::Time end);
  void AddGroup(const std::string& name);
  std::string DatabaseToCrash(FakeDatabaseGroup* group);
  void CrashDatabase(FakeDatabaseGroup* group,
                     const std::string& id,
                     absl::Time end);
  // Crashes the primary of a random group together with replicas, and often
  // kills all instances before these are back.
  void CrashReplicas();
  // Lets a random replica start again without its log, once for each group.
  void LoseReplicaLog();
  void DrainDatabase(FakeDatabaseGroup* group, absl::Time end);
  // Disturbs the way to the peers of a random instance, mostly together with
  // its way to the store. Returns when the links are restored.
  absl::Time DisturbPeerLinks();
  // Pauses a random instance for long. Random faults of instances spare it
  // meanwhile. Returns when it goes on.
  absl::Time PauseForLong();
  // Ends all instances and databases at the same moment, and returns when all
  // databases run again.
  void LosePower();
  // Lets the store return from a copy, sometimes after it was away.
  void ReturnStore();
  // Prints how long the groups and the callers took no writes after returns.
  void PrintRecoveries();
  // Stores a new version of the configuration.
  void PutConfiguration();
  // The list of workspaces in the configuration.
  std::string Workspaces() const;
  // Withdraws a key, adds one again, or moves one to another workspace.
  void ChangeKey();
  void SetKey(const std::string& key, const std::string& workspace);
  // Gives each key to its first workspace again.
  void RestoreKeys();
  void CheckWorkspaces();
  // The commits of all groups, each group's in order.
  std::vector<FakeCommit> Commits();
  // Ends the faults whose end lies at or before `until`.
  void EndFaults(absl::Time until);
  void RestartExitedInstances();
  // Waits until every instance is ready and every writing caller has had a
  // write acknowledged. False when kRecoveryTimeout passes first.
  bool WaitForRecovery();
  void PrintEvent(const std::string& event);
  uint32_t RandomBelow(uint32_t limit) { return m_random() % limit; }

  const SoakOptions m_options;
  std::mt19937 m_random;
  const absl::Time m_start = SteadyNow();
  std::string m_directory;
  CallHistory m_history;
  // The stand-ins are never destroyed, because their threads use them until
  // the process ends.
  FakeStore* const m_store = new FakeStore();
  std::vector<FaultProxy*> m_store_links;
  // The ways to each instance from its peers. Empty without peer_links.
  std::vector<FaultProxy*> m_peer_links;
  std::map<std::string, FaultProxy*> m_database_links;
  std::vector<FakeDatabaseGroup*> m_groups;
  std::vector<std::unique_ptr<PortBlock>> m_ports;
  std::vector<std::unique_ptr<InstanceProcess>> m_instances;
  std::vector<absl::Time> m_down_until;  // Starts of killed instances.
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  std::map<std::string, std::vector<std::string>> m_items;  // By group.
  std::atomic<size_t> m_last_holder = 0;  // Index of the last to promote.
  OrderPlanner m_planner;
  absl::Mutex m_orders_mutex;
  std::vector<ScheduledOrderFault> m_order_faults;  // Guarded by the mutex.
  std::vector<ScheduledEnd> m_scheduled_ends;
  std::vector<std::string> m_violations;
  int m_configuration_version = 1;
  // Not m_random, whose draws stay the same without workspaces.
  std::mt19937 m_key_random;
  // Not m_random, whose draws stay the same without returns of the store.
  std::mt19937 m_return_random;
  // Not m_random, whose draws stay the same without faults of these links.
  std::mt19937 m_link_random;
  // The instance that is paused for long, or nullptr.
  const InstanceProcess* m_long_paused = nullptr;
  // Not m_random, whose draws stay the same without synchronous replicas.
  std::mt19937 m_replica_random;
  std::set<std::string> m_groups_with_lost_log;
  std::vector<absl::Time> m_returns;
  std::map<std::string, std::string> m_keys;  // Each key's present workspace.
  WorkspaceHistory m_workspace_history;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_H_
