// One heatherwick instance in virtual time: the real failover controller and
// commit tracker of one group, connected to the simulated network in the same
// way as the runtime connects them to the real one.

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

struct FakeGroup {
  std::vector<std::string> names;
  std::map<std::string, std::unique_ptr<FakeTarget>> targets;

  FakeTarget& At(const std::string& name) { return *targets.at(name); }
};

struct RequestResult {
  RequestOutcome outcome = RequestOutcome::kPending;
  // Set if a primary ran the request and the outcome was confirmed.
  Position position;
  std::set<uint64_t> writes;
};

// A request of a session.
struct SessionRequest {
  enum class Kind { kWrite, kResolve, kRead } kind = Kind::kWrite;
  std::string key;
  uint64_t write = 0;
  absl::Duration max_age;  // For kRead; zero means current data.
  Position min_position;   // For kRead.
  std::string target;      // For kRead with `max_age`: the replica.
};

class ProxyNode {
 public:
  ProxyNode(std::string name,
            EventQueue* queue,
            Network* network,
            FakeGroup* group,
            History* history,
            uint64_t seed);

  // Starts with empty state, like a new process.
  void Start();
  using ResultCallback = std::function<void(const RequestResult&)>;
  void Submit(const SessionRequest& request, const ResultCallback& done);
  void SetActive(bool active);
  const FailoverController& Controller() const { return *m_failover; }
  uint64_t PromotionsStarted() const { return m_promotions_started; }

 private:
  void Tick(uint64_t incarnation);
  void Apply(const std::vector<FailoverAction>& actions);
  void Apply(const std::vector<CommitAction>& actions);
  void ReadStatus(const std::string& target);
  void Fence(const FenceTarget& fence);
  void Promote(const PromoteTarget& promote);
  void StartPositionWait(const WaitForPosition& wait);
  void PollPosition(const WaitForPosition& wait, absl::Time until);
  void OnReply(const SessionRequest& request,
               const std::optional<FakeReply>& reply,
               const ResultCallback& done);
  std::string DeciderId() const;

  const std::string m_name;
  EventQueue* const m_queue;
  Network* const m_network;
  FakeGroup* const m_group;
  History* const m_history;
  std::mt19937_64 m_random;
  std::unique_ptr<FailoverController> m_failover;
  std::unique_ptr<CommitTracker> m_tracker;
  RequestId m_last_request = 0;
  std::map<RequestId, std::function<void(bool confirmed)>>
      m_confirmation_callbacks;
  uint64_t m_promotions_started = 0;
  bool m_active = true;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_PROXY_NODE_H_
