// Simulates a group of three targets, some instances and their sessions in
// virtual time. Runs with the same seed and steps are identical.

#ifndef TESTS_SCENARIOS_SIMULATION_H_
#define TESTS_SCENARIOS_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Tests/scenarios/fake_target.h"
#include "Tests/scenarios/history.h"
#include "Tests/scenarios/network.h"
#include "Tests/scenarios/proxy_node.h"
#include "Tests/scenarios/sheet_simulation.h"

namespace heatherwick {

using OperationId = size_t;

class Simulation {
 public:
  Simulation(uint64_t seed,
             const std::vector<std::string>& proxies,
             const PlatformRules& rules);

  // Starts a request of the session through the instance `via` and returns at
  // once. OutcomeOf returns the outcome.
  OperationId Write(const std::string& via,
                    const std::string& session,
                    const std::string& key);
  OperationId Resolve(const std::string& via,
                      const std::string& session,
                      const std::string& key);
  // Reads current data if `target` is empty, otherwise data of at most
  // `max_age` from that target.
  OperationId Read(const std::string& via,
                   const std::string& session,
                   const std::string& target,
                   absl::Duration max_age);
  RequestOutcome OutcomeOf(OperationId operation) const {
    return m_outcomes[operation];
  }

  absl::Time Now() const { return m_queue.Now(); }
  void Advance(absl::Duration duration);
  void Kill(const std::string& node) { m_network.Kill(node); }
  // An instance starts with empty state. A target keeps its log and, unless
  // `forgets_role`, its role.
  void Restart(const std::string& node, bool forgets_role);
  // Ends all faults, after which every instance must serve again.
  void Recover();
  // Advances the time until the operation ends, by at most 5 s.
  RequestOutcome Await(OperationId operation);
  // Runs a write and a read of current data through the instance and returns
  // whether both succeed.
  bool CanServe(const std::string& via);

  Network& Net() { return m_network; }
  FakeGroup& Group() { return m_group; }
  ProxyNode& Proxy(const std::string& name) { return *m_proxies.at(name); }
  const std::vector<std::string>& ProxyNames() const { return m_proxy_names; }
  History& RecordedHistory() { return m_history; }
  SheetSimulation& Sheets() { return *m_sheets; }
  bool IsTarget(const std::string& name) const {
    return m_group.targets.contains(name);
  }
  // Name of the primary of the highest term, or empty if there is none.
  std::string Primary() const;

 private:
  OperationId StartRequest(
      const std::string& via,
      const SessionRequest& request,
      const std::function<void(const RequestResult&)>& done);
  void AdvanceToken(const std::string& session, Position position);
  void Replicate(const std::string& replica);
  void Pull(const std::string& replica, const std::string& source);
  void Check();

  EventQueue m_queue;
  Network m_network;
  FakeGroup m_group;
  History m_history;
  std::vector<std::string> m_proxy_names;
  std::map<std::string, std::unique_ptr<ProxyNode>> m_proxies;
  std::unique_ptr<SheetSimulation> m_sheets;
  std::map<std::string, std::string> m_token_of_session;  // Encoded.
  std::vector<RequestOutcome> m_outcomes;
  std::map<std::string, uint64_t> m_write_of_key;
  std::map<std::string, int> m_send_count_of_key;  // Sends of each key.
  uint64_t m_last_write = 0;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_SIMULATION_H_
