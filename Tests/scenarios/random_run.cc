// Chooses the faults and requests of a random run.

#include "Tests/scenarios/random_run.h"

#include "Tests/scenarios/simulation.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr int kSteps = 400;
constexpr int64_t kMaxStepMs = 300;

class RandomRun {
 public:
  RandomRun(uint64_t seed, const PlatformRules& rules)
      : m_simulation(seed, {"p1", "p2", "p3"}, rules),
        m_network(m_simulation.Net()) {
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      m_nodes.push_back(proxy);
    }
    for (const std::string& target : m_simulation.Group().names) {
      m_nodes.push_back(target);
    }
    m_nodes.emplace_back(SheetSimulation::kStore);
    // One third of the runs has no lost or slow messages, one third has lost
    // messages, and one third has both lost and slow messages.
    const int64_t fault_profile = m_network.DrawUniform(0, 2);
    m_network.SetFaults(
        {fault_profile == 0 ? 0 : 0.03, fault_profile == 2 ? 0.05 : 0, 0.05});
  }

  RandomRunResult Run() {
    m_simulation.Advance(absl::Seconds(1));
    for (int i = 0; i < kSteps; ++i) {
      m_network.Chance(0.25) ? InjectRandomFault() : SendRandomRequest();
      m_simulation.Advance(
          absl::Milliseconds(m_network.DrawUniform(1, kMaxStepMs)));
    }
    m_simulation.Recover();
    m_simulation.Advance(absl::Seconds(8));
    CheckRecovery();
    return Summarize();
  }

 private:
  const std::string& PickNode() {
    return m_nodes[static_cast<size_t>(
        m_network.DrawUniform(0, static_cast<int64_t>(m_nodes.size()) - 1))];
  }
  std::string PickProxy() {
    return absl::StrCat("p", m_network.DrawUniform(1, 3));
  }
  std::string PickTarget() {
    return m_simulation.Group()
        .names[static_cast<size_t>(m_network.DrawUniform(0, 2))];
  }

  void InjectRandomFault() {
    const std::string& node = PickNode();
    const std::string& other = PickNode();
    switch (m_network.DrawUniform(0, 9)) {
      case 0:
        m_simulation.Kill(node);
        break;
      case 1:
      case 2:
        m_simulation.Restart(node, m_network.Chance(0.5));
        break;
      case 3:
        m_network.Pause(node);
        break;
      case 4:
        m_network.Resume(node);
        break;
      case 5:
        m_network.Cut(node, other);
        m_network.Cut(other, node);
        break;
      case 6:
        m_network.Cut(node, other);
        break;
      case 7:
        m_network.Heal();
        break;
      case 8:
        m_simulation.Group()
            .At(PickTarget())
            .SetLag(absl::Milliseconds(m_network.DrawUniform(0, 1) *
                                       m_network.DrawUniform(1, 3000)));
        break;
      default:
        Recover();
        break;
    }
  }

  // Heals the network, restarts dead nodes and resumes paused ones, so that the
  // group can serve most of the time.
  void Recover() {
    m_network.Heal();
    for (const std::string& node : m_nodes) {
      if (!m_network.IsAlive(node)) {
        m_simulation.Restart(node, m_network.Chance(0.5));
      }
      m_network.Resume(node);
    }
    const std::string target = PickTarget();
    m_simulation.Group().At(target).SetLeaving(m_network.Chance(0.3));
  }

  void SendRandomRequest() {
    const std::string via = PickProxy();
    const std::string session = absl::StrCat("s", m_network.DrawUniform(1, 4));
    switch (m_network.DrawUniform(0, 6)) {
      case 6:
        RunRandomSheetStep(via);
        break;
      case 0:
        m_operations.push_back(m_simulation.Write(via, session, ""));
        break;
      case 1:
        m_operations.push_back(m_simulation.Write(via, session, NewKey()));
        break;
      case 2:
        m_operations.push_back(m_simulation.Write(via, session, RecentKey()));
        break;
      case 3:
        m_operations.push_back(m_simulation.Resolve(via, session, RecentKey()));
        break;
      case 4:
        m_simulation.Read(via, session, "", absl::ZeroDuration());
        break;
      default:
        m_simulation.Read(
            via, session, PickTarget(),
            absl::Milliseconds(m_network.DrawUniform(1, 4) * 500));
        break;
    }
  }

  void RunRandomSheetStep(const std::string& via) {
    if (!m_network.IsRunning(via)) {
      return;
    }
    SheetSimulation& sheets = m_simulation.Sheets();
    if (m_network.Chance(0.4)) {
      sheets.ServeSession(via);
    } else if (m_last_submission > 0 && m_network.Chance(0.4)) {
      sheets.Resubmit(via, absl::StrCat("u", m_last_submission));
    } else {
      sheets.LoseReplies(m_network.Chance(0.3) ? 1 : 0);
      sheets.Submit(via, absl::StrCat("u", ++m_last_submission));
    }
  }

  void CheckRecovery() {
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      if (!m_simulation.CanServe(proxy)) {
        m_simulation.RecordedHistory().Fail(
            absl::StrCat(proxy, " does not serve after recovery"));
      }
      if (m_simulation.Sheets().VersionAt(proxy) !=
          m_simulation.Sheets().HeadVersion()) {
        m_simulation.RecordedHistory().Fail(
            absl::StrCat(proxy, " lacks the newest sheet after recovery"));
      }
    }
    const uint64_t promotions = TotalPromotions();
    m_simulation.Advance(absl::Seconds(10));
    if (TotalPromotions() != promotions) {
      m_simulation.RecordedHistory().Fail("promotions go on without a fault");
    }
  }

  uint64_t TotalPromotions() {
    uint64_t promotions = 0;
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      promotions += m_simulation.Proxy(proxy).PromotionsStarted();
    }
    return promotions;
  }

  std::string NewKey() { return absl::StrCat("k", ++m_last_key); }
  // Returns one of the latest keys, so that repeated and resolve requests are
  // likely to name a key that was sent shortly before.
  std::string RecentKey() {
    if (m_last_key == 0) {
      return NewKey();
    }
    return absl::StrCat(
        "k", m_last_key - m_network.DrawUniform(
                              0, std::min<int64_t>(2, m_last_key - 1)));
  }

  RandomRunResult Summarize() {
    RandomRunResult result;
    result.violations = m_simulation.RecordedHistory().Violations();
    for (const OperationId operation : m_operations) {
      const RequestOutcome outcome = m_simulation.OutcomeOf(operation);
      result.done += outcome == RequestOutcome::kDone ? 1 : 0;
      result.not_run += outcome == RequestOutcome::kNotRun ? 1 : 0;
      result.unknown += outcome == RequestOutcome::kUnknown ? 1 : 0;
    }
    result.promotions = TotalPromotions();
    result.sheets = m_simulation.Sheets().HeadVersion();
    return result;
  }

  Simulation m_simulation;
  Network& m_network;
  std::vector<std::string> m_nodes;
  std::vector<OperationId> m_operations;
  int64_t m_last_key = 0;
  int m_last_submission = 0;
};

}  // namespace

RandomRunResult RunRandom(uint64_t seed, const PlatformRules& rules) {
  return RandomRun(seed, rules).Run();
}

}  // namespace heatherwick
