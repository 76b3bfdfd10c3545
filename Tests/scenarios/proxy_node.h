// One instance in virtual time: the real failover controller and commit
// tracker of one group, joined to the network as the runtime joins them.

#ifndef TESTS_SCENARIOS_PROXY_NODE_H_
#define TESTS_SCENARIOS_PROXY_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Source/decision/commit_tracker.h"
#include "Source/decision/failover_controller.h"
#include "Tests/scenarios/fake_target.h"
#include "Tests/scenarios/history.h"
#include "Tests/scenarios/network.h"

namespace heatherwick {

struct GroupOfFakes {
  std::vector<std::string> names;
  std::map<std::string, std::unique_ptr<FakeTarget>> targets;

  FakeTarget& At(const std::string& name) { return *targets.at(name); }
};

struct Outcome {
  Told told = Told::kPending;
  Position position;  // When kDone.
  std::set<uint64_t> writes;
};

// What a session asks for.
struct SessionRequest {
  enum class Kind { kWrite, kResolve, kRead } kind = Kind::kWrite;
  std::string key;
  uint64_t write = 0;
  absl::Duration max_age;  // kRead; zero: current data.
  Position min_position;   // kRead
  std::string target;      // kRead with an age: a replica.
};

class ProxyNode {
 public:
  ProxyNode(std::string name,
            EventQueue* queue,
            Network* network,
            GroupOfFakes* group,
            History* history,
            uint64_t seed);

  // Forgets everything, as a new process does.
  void Start();
  using Done = std::function<void(const Outcome&)>;
  void Submit(const SessionRequest& request, const Done& done);
  void SetActive(bool active);
  const FailoverController& Controller() const { return *m_failover; }
  uint64_t PromotionsStarted() const { return m_promotions; }

 private:
  void Tick(uint64_t incarnation);
  void Apply(const std::vector<FailoverAction>& actions);
  void Apply(const std::vector<CommitAction>& actions);
  void ReadStatus(const std::string& target);
  void Fence(const FenceTarget& fence);
  void Promote(const PromoteTarget& promote);
  void Wait(const WaitForPosition& wait);
  void PollPosition(const WaitForPosition& wait, absl::Time until);
  void OnReply(const SessionRequest& request,
               const std::optional<FakeReply>& reply,
               const Done& done);
  std::string Decider() const;

  const std::string m_name;
  EventQueue* const m_queue;
  Network* const m_network;
  GroupOfFakes* const m_group;
  History* const m_history;
  std::mt19937_64 m_random;
  std::unique_ptr<FailoverController> m_failover;
  std::unique_ptr<CommitTracker> m_tracker;
  RequestId m_last_request = 0;
  std::map<RequestId, std::function<void(bool confirmed)>> m_confirming;
  uint64_t m_promotions = 0;
  bool m_active = true;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_PROXY_NODE_H_
