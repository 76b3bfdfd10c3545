// A group of three targets, some instances and their sessions in virtual
// time. The same seed and steps give the same run.

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
#include "Tests/scenarios/sheet_world.h"

namespace heatherwick {

using OperationId = size_t;

class Simulation {
 public:
  Simulation(uint64_t seed,
             const std::vector<std::string>& proxies,
             const PlatformRules& rules);

  // The session's calls return at once; Told tells how they ended.
  OperationId Write(const std::string& via,
                    const std::string& session,
                    const std::string& key);
  OperationId Resolve(const std::string& via,
                      const std::string& session,
                      const std::string& key);
  // Without a target: current data. With one: data of at most `max_age`.
  OperationId Read(const std::string& via,
                   const std::string& session,
                   const std::string& target,
                   absl::Duration max_age);
  Told ToldFor(OperationId operation) const { return m_told[operation]; }

  absl::Time Now() const { return m_queue.Now(); }
  void Advance(absl::Duration duration);
  void Kill(const std::string& node) { m_network.Kill(node); }
  // A proxy starts anew; a target keeps its log and, unless told otherwise,
  // its role.
  void Restart(const std::string& node, bool forgets_role);
  // Ends all faults; every instance must then serve again.
  void Recover();
  // Runs until the operation has ended, for at most 5 s.
  Told Await(OperationId operation);
  // Whether a write and a read of current data succeed through the instance.
  bool Serves(const std::string& via);

  Network& Net() { return m_network; }
  GroupOfFakes& Group() { return m_group; }
  ProxyNode& Proxy(const std::string& name) { return *m_proxies.at(name); }
  const std::vector<std::string>& ProxyNames() const { return m_proxy_names; }
  History& Log() { return m_history; }
  SheetWorld& Sheets() { return *m_sheets; }
  bool IsTarget(const std::string& name) const {
    return m_group.targets.contains(name);
  }
  // The target that leads in the highest term, or nothing.
  std::string Primary() const;

 private:
  OperationId Begin(const std::string& via,
                    const SessionRequest& request,
                    const std::function<void(const Outcome&)>& done);
  void AdvanceToken(const std::string& session, Position position);
  void Replicate(const std::string& replica);
  void Pull(const std::string& replica, const std::string& source);
  void Check();

  EventQueue m_queue;
  Network m_network;
  GroupOfFakes m_group;
  History m_history;
  std::vector<std::string> m_proxy_names;
  std::map<std::string, std::unique_ptr<ProxyNode>> m_proxies;
  std::unique_ptr<SheetWorld> m_sheets;
  std::map<std::string, std::string> m_tokens;  // Encoded, by session.
  std::vector<Told> m_told;
  std::map<std::string, uint64_t> m_write_of_key;
  std::map<std::string, int> m_sends;  // By key.
  uint64_t m_last_write = 0;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_SIMULATION_H_
