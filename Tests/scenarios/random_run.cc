// Draws each step from the seed.

#include "Tests/scenarios/random_run.h"

#include "Tests/scenarios/simulation.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr int kSteps = 400;
constexpr int64_t kLongestStepMs = 300;

class RandomRun {
 public:
  RandomRun(uint64_t seed, const PlatformRules& rules)
      : m_simulation(seed, {"p1", "p2", "p3"}, rules),
        m_net(m_simulation.Net()) {
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      m_nodes.push_back(proxy);
    }
    for (const std::string& target : m_simulation.Group().names) {
      m_nodes.push_back(target);
    }
    m_nodes.emplace_back(SheetWorld::kStore);
    // A third of the runs have a sound network, a third has losses.
    const int64_t kind = m_net.Draw(0, 2);
    m_net.SetFaults({kind == 0 ? 0 : 0.03, kind == 2 ? 0.05 : 0, 0.05});
  }

  RandomRunResult Run() {
    m_simulation.Advance(absl::Seconds(1));
    for (int i = 0; i < kSteps; ++i) {
      m_net.Chance(0.25) ? DrawFault() : DrawRequest();
      m_simulation.Advance(absl::Milliseconds(m_net.Draw(1, kLongestStepMs)));
    }
    m_simulation.Recover();
    m_simulation.Advance(absl::Seconds(8));
    CheckRecovery();
    return Summarize();
  }

 private:
  const std::string& DrawNode() {
    return m_nodes[static_cast<size_t>(
        m_net.Draw(0, static_cast<int64_t>(m_nodes.size()) - 1))];
  }
  std::string DrawProxy() { return absl::StrCat("p", m_net.Draw(1, 3)); }
  std::string DrawTarget() {
    return m_simulation.Group().names[static_cast<size_t>(m_net.Draw(0, 2))];
  }

  void DrawFault() {
    const std::string& node = DrawNode();
    const std::string& other = DrawNode();
    switch (m_net.Draw(0, 9)) {
      case 0:
        m_simulation.Kill(node);
        break;
      case 1:
      case 2:
        m_simulation.Restart(node, m_net.Chance(0.5));
        break;
      case 3:
        m_net.Pause(node);
        break;
      case 4:
        m_net.Resume(node);
        break;
      case 5:
        m_net.Cut(node, other);
        m_net.Cut(other, node);
        break;
      case 6:
        m_net.Cut(node, other);
        break;
      case 7:
        m_net.Heal();
        break;
      case 8:
        m_simulation.Group()
            .At(DrawTarget())
            .SetLag(absl::Milliseconds(m_net.Draw(0, 1) * m_net.Draw(1, 3000)));
        break;
      default:
        Recover();
        break;
    }
  }

  // Most of the time the group should be able to serve.
  void Recover() {
    m_net.Heal();
    for (const std::string& node : m_nodes) {
      if (!m_net.Alive(node)) {
        m_simulation.Restart(node, m_net.Chance(0.5));
      }
      m_net.Resume(node);
    }
    const std::string target = DrawTarget();
    m_simulation.Group().At(target).SetLeaving(m_net.Chance(0.3));
  }

  void DrawRequest() {
    const std::string via = DrawProxy();
    const std::string session = absl::StrCat("s", m_net.Draw(1, 4));
    switch (m_net.Draw(0, 6)) {
      case 6:
        DrawSheetStep(via);
        break;
      case 0:
        m_operations.push_back(m_simulation.Write(via, session, ""));
        break;
      case 1:
        m_operations.push_back(m_simulation.Write(via, session, NewKey()));
        break;
      case 2:
        m_operations.push_back(m_simulation.Write(via, session, OldKey()));
        break;
      case 3:
        m_operations.push_back(m_simulation.Resolve(via, session, OldKey()));
        break;
      case 4:
        m_simulation.Read(via, session, "", absl::ZeroDuration());
        break;
      default:
        m_simulation.Read(via, session, DrawTarget(),
                          absl::Milliseconds(m_net.Draw(1, 4) * 500));
        break;
    }
  }

  void DrawSheetStep(const std::string& via) {
    if (!m_net.Runs(via)) {
      return;
    }
    SheetWorld& sheets = m_simulation.Sheets();
    if (m_net.Chance(0.4)) {
      sheets.Serve(via);
    } else if (m_last_submission > 0 && m_net.Chance(0.4)) {
      sheets.Repeat(via, absl::StrCat("u", m_last_submission));
    } else {
      sheets.LoseAnswers(m_net.Chance(0.3) ? 1 : 0);
      sheets.Submit(via, absl::StrCat("u", ++m_last_submission));
    }
  }

  void CheckRecovery() {
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      if (!m_simulation.Serves(proxy)) {
        m_simulation.Log().Fail(
            absl::StrCat(proxy, " does not serve after recovery"));
      }
      if (m_simulation.Sheets().VersionAt(proxy) !=
          m_simulation.Sheets().HeadVersion()) {
        m_simulation.Log().Fail(
            absl::StrCat(proxy, " lacks the newest sheet after recovery"));
      }
    }
    const uint64_t promotions = Promotions();
    m_simulation.Advance(absl::Seconds(10));
    if (Promotions() != promotions) {
      m_simulation.Log().Fail("promotions go on without a fault");
    }
  }

  uint64_t Promotions() {
    uint64_t promotions = 0;
    for (const std::string& proxy : m_simulation.ProxyNames()) {
      promotions += m_simulation.Proxy(proxy).PromotionsStarted();
    }
    return promotions;
  }

  std::string NewKey() { return absl::StrCat("k", ++m_last_key); }
  // One of the latest, so that repeats and resolutions meet their request.
  std::string OldKey() {
    if (m_last_key == 0) {
      return NewKey();
    }
    return absl::StrCat(
        "k", m_last_key - m_net.Draw(0, std::min<int64_t>(2, m_last_key - 1)));
  }

  RandomRunResult Summarize() {
    RandomRunResult result;
    result.violations = m_simulation.Log().Violations();
    for (const OperationId operation : m_operations) {
      const Told told = m_simulation.ToldFor(operation);
      result.done += told == Told::kDone ? 1 : 0;
      result.not_run += told == Told::kNotRun ? 1 : 0;
      result.unknown += told == Told::kUnknown ? 1 : 0;
    }
    result.promotions = Promotions();
    result.sheets = m_simulation.Sheets().HeadVersion();
    return result;
  }

  Simulation m_simulation;
  Network& m_net;
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
