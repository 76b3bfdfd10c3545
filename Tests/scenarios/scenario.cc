// Runs the steps of a scenario file and checks its expectations.

#include "Tests/scenarios/scenario.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "Source/base/enum_table.h"
#include "Tests/scenarios/simulation.h"
#include "absl/strings/str_cat.h"
#include "yaml-cpp/yaml.h"

namespace heatherwick {

namespace {

constexpr EnumName<RequestOutcome> kRequestOutcomes[] = {
    {RequestOutcome::kPending, "pending"},
    {RequestOutcome::kDone, "done"},
    {RequestOutcome::kNotRun, "not_run"},
    {RequestOutcome::kUnknown, "unknown"}};
constexpr EnumName<SubmissionVerdict> kSubmissionVerdicts[] = {
    {SubmissionVerdict::kPending, "pending"},
    {SubmissionVerdict::kAccepted, "accepted"},
    {SubmissionVerdict::kLost, "lost"},
    {SubmissionVerdict::kUnavailable, "unavailable"},
    {SubmissionVerdict::kUnknown, "unknown"}};

std::string StringField(const YAML::Node& node, const std::string& field) {
  return node[field] ? node[field].as<std::string>() : std::string();
}

std::vector<std::string> StringList(const YAML::Node& node) {
  return node.IsSequence() ? node.as<std::vector<std::string>>()
                           : std::vector<std::string>{node.as<std::string>()};
}

absl::Duration Milliseconds(const YAML::Node& node) {
  return absl::Milliseconds(node.as<int64_t>());
}

PlatformRules ParseRules(const YAML::Node& file) {
  PlatformRules rules;
  rules.checks_keys = file["checks_keys"].as<bool>(true);
  rules.checks_position = file["checks_position"].as<bool>(true);
  rules.grants_once = file["grants_once"].as<bool>(true);
  rules.conditional_table = file["conditional_table"].as<bool>(true);
  return rules;
}

class ScenarioRun {
 public:
  explicit ScenarioRun(const YAML::Node& file)
      : m_simulation(file["seed"].as<uint64_t>(1),
                     file["instances"] ? StringList(file["instances"])
                                       : std::vector<std::string>{"p1", "p2"},
                     ParseRules(file)) {
    m_simulation.Advance(absl::Seconds(2));
    for (const YAML::Node& step : file["steps"]) {
      ++m_step;
      RunStep(step.begin()->first.as<std::string>(), step.begin()->second);
    }
  }

  std::vector<std::string> Failures() {
    std::vector<std::string> failures = m_failures;
    const auto& violations = m_simulation.RecordedHistory().Violations();
    failures.insert(failures.end(), violations.begin(), violations.end());
    return failures;
  }

 private:
  using Handler = std::function<void(const YAML::Node&)>;

  void RunStep(const std::string& name, const YAML::Node& node) {
    const auto found = m_handlers.find(name);
    if (found == m_handlers.end()) {
      Fail("unknown step " + name);
    } else {
      found->second(node);
    }
  }

  void Fail(const std::string& failure) {
    m_failures.push_back(absl::StrCat("step ", m_step, ": ", failure));
  }

  void Expect(const YAML::Node& allowed,
              absl::string_view actual,
              const std::string& what) {
    const std::vector<std::string> names = StringList(allowed);
    if (std::count(names.begin(), names.end(), actual) == 0) {
      Fail(absl::StrCat(what, " is ", actual));
    }
  }

  // Tracks a session's request. With `as` the request continues while later
  // steps run. Otherwise waits for the request to end and compares its outcome
  // with `expect`, whose default is "done".
  void TrackRequest(const YAML::Node& node, OperationId operation) {
    if (node["as"]) {
      m_operation_of_name[node["as"].as<std::string>()] = operation;
      return;
    }
    const RequestOutcome outcome = m_simulation.Await(operation);
    Expect(node["expect"] ? node["expect"] : YAML::Node("done"),
           NameOf(kRequestOutcomes, outcome), "outcome");
  }

  void Write(const YAML::Node& node) {
    TrackRequest(node, m_simulation.Write(StringField(node, "via"),
                                          StringField(node, "session"),
                                          StringField(node, "key")));
  }
  void Resolve(const YAML::Node& node) {
    TrackRequest(node, m_simulation.Resolve(StringField(node, "via"),
                                            StringField(node, "session"),
                                            StringField(node, "key")));
  }
  void Read(const YAML::Node& node) {
    TrackRequest(
        node,
        m_simulation.Read(StringField(node, "via"),
                          StringField(node, "session"), StringField(node, "at"),
                          absl::Milliseconds(node["max_age"].as<int64_t>(0))));
  }

  void Outcome(const YAML::Node& node) {
    const std::string of = StringField(node, "of");
    Expect(node["is"],
           NameOf(kRequestOutcomes,
                  m_simulation.Await(m_operation_of_name.at(of))),
           of);
  }

  void ForEach(const YAML::Node& nodes,
               const std::function<void(const std::string&)>& act) {
    for (const std::string& name : StringList(nodes)) {
      act(name);
    }
  }

  void Cut(const YAML::Node& pairs, bool both_ways) {
    ForEach(pairs["from"], [&](const std::string& from) {
      ForEach(pairs["to"], [&](const std::string& to) {
        m_simulation.Net().Cut(from, to);
        if (both_ways) {
          m_simulation.Net().Cut(to, from);
        }
      });
    });
  }

  // Fences the targets on behalf of the decider `by` (the instance that asks
  // for the term), which then crashes.
  void Fence(const YAML::Node& node) {
    ForEach(node["targets"], [&](const std::string& target) {
      m_simulation.Group().At(target).Fence(node["term"].as<uint64_t>(),
                                            StringField(node, "by"));
    });
  }
  // Promotes a target on behalf of the decider `by`, whose order may be late.
  void Promote(const YAML::Node& node) {
    const auto reply =
        m_simulation.Group()
            .At(StringField(node, "target"))
            .Promote(node["term"].as<uint64_t>(), StringField(node, "by"),
                     m_simulation.Now());
    Expect(node["expect"], reply.granted ? "granted" : "refused", "promotion");
    if (reply.granted) {
      m_simulation.RecordedHistory().OnPromoted(StringField(node, "target"),
                                                node["term"].as<uint64_t>());
    }
  }

  void ExpectPrimary(const YAML::Node& node) {
    Expect(node, m_simulation.Primary(), "the primary");
  }

  void ExpectServing(const YAML::Node& node) {
    ForEach(node, [&](const std::string& via) {
      if (!m_simulation.CanServe(via)) {
        Fail(via + " does not serve");
      }
    });
  }

  // Waits at most `within` ms of virtual time for the instance to serve.
  void ExpectServingSoon(const YAML::Node& node) {
    const absl::Time end = m_simulation.Now() + Milliseconds(node["within"]);
    const ProxyNode& proxy = m_simulation.Proxy(StringField(node, "via"));
    const auto knows_primary = [&] {
      return proxy.Controller().Primary() &&
             proxy.Controller().Primary()->target == m_simulation.Primary() &&
             m_simulation.Net().IsRunning(m_simulation.Primary());
    };
    while (!knows_primary() && m_simulation.Now() < end) {
      m_simulation.Advance(absl::Milliseconds(10));
    }
    if (!m_simulation.CanServe(StringField(node, "via")) ||
        m_simulation.Now() > end) {
      Fail(StringField(node, "via") + " does not serve in time");
    }
  }

  void ExpectPromotions(const YAML::Node& node) {
    const uint64_t started =
        m_simulation.Proxy(StringField(node, "by")).PromotionsStarted();
    if (started > node["at_most"].as<uint64_t>()) {
      Fail(absl::StrCat(started, " promotions"));
    }
  }

  void Submit(const YAML::Node& node, bool resubmit) {
    SheetSimulation& sheets = m_simulation.Sheets();
    resubmit
        ? sheets.Resubmit(StringField(node, "via"), StringField(node, "sheet"))
        : sheets.Submit(StringField(node, "via"), StringField(node, "sheet"));
  }

  void ExpectSubmission(const YAML::Node& node) {
    const std::string sheet = StringField(node, "sheet");
    Expect(node["is"],
           NameOf(kSubmissionVerdicts, m_simulation.Sheets().OutcomeOf(sheet)),
           sheet);
  }

  void ExpectSheet(const YAML::Node& node) {
    ForEach(node["at"], [&](const std::string& instance) {
      Expect(node["version"],
             absl::StrCat(m_simulation.Sheets().VersionAt(instance)),
             "sheet at " + instance);
    });
  }

  Simulation m_simulation;
  size_t m_step = 0;
  std::vector<std::string> m_failures;
  std::map<std::string, OperationId> m_operation_of_name;
  const std::map<std::string, Handler> m_handlers = {
      {"advance",
       [this](const YAML::Node& node) {
         m_simulation.Advance(Milliseconds(node));
       }},
      {"write", [this](const YAML::Node& node) { Write(node); }},
      {"resolve", [this](const YAML::Node& node) { Resolve(node); }},
      {"read", [this](const YAML::Node& node) { Read(node); }},
      {"outcome", [this](const YAML::Node& node) { Outcome(node); }},
      {"kill",
       [this](const YAML::Node& node) {
         ForEach(node, [this](const auto& name) { m_simulation.Kill(name); });
       }},
      {"restart",
       [this](const YAML::Node& node) {
         ForEach(node, [this](const auto& name) {
           m_simulation.Restart(name, false);
         });
       }},
      {"restart_without_role",
       [this](const YAML::Node& node) {
         ForEach(node, [this](const auto& name) {
           m_simulation.Restart(name, true);
         });
       }},
      {"pause",
       [this](const YAML::Node& node) {
         ForEach(node,
                 [this](const auto& name) { m_simulation.Net().Pause(name); });
       }},
      {"resume",
       [this](const YAML::Node& node) {
         ForEach(node,
                 [this](const auto& name) { m_simulation.Net().Resume(name); });
       }},
      {"cut", [this](const YAML::Node& node) { Cut(node, true); }},
      {"cut_one_way", [this](const YAML::Node& node) { Cut(node, false); }},
      {"heal", [this](const YAML::Node&) { m_simulation.Net().Heal(); }},
      {"delay",
       [this](const YAML::Node& node) {
         m_simulation.Net().Delay(StringField(node, "from"),
                                  StringField(node, "to"),
                                  Milliseconds(node["by"]));
       }},
      {"lag",
       [this](const YAML::Node& node) {
         m_simulation.Group()
             .At(StringField(node, "target"))
             .SetLag(Milliseconds(node["by"]));
       }},
      {"leave",
       [this](const YAML::Node& node) {
         m_simulation.Group().At(node.as<std::string>()).SetLeaving(true);
       }},
      {"fence", [this](const YAML::Node& node) { Fence(node); }},
      {"promote", [this](const YAML::Node& node) { Promote(node); }},
      {"active",
       [this](const YAML::Node& node) {
         const std::vector<std::string> active = StringList(node);
         for (const std::string& name : m_simulation.ProxyNames()) {
           m_simulation.Proxy(name).SetActive(
               std::count(active.begin(), active.end(), name) > 0);
         }
       }},
      {"expect_primary",
       [this](const YAML::Node& node) { ExpectPrimary(node); }},
      {"expect_serving",
       [this](const YAML::Node& node) { ExpectServing(node); }},
      {"expect_serving_soon",
       [this](const YAML::Node& node) { ExpectServingSoon(node); }},
      {"expect_promotions",
       [this](const YAML::Node& node) { ExpectPromotions(node); }},
      {"submit", [this](const YAML::Node& node) { Submit(node, false); }},
      {"submit_again", [this](const YAML::Node& node) { Submit(node, true); }},
      {"lose_store_answers",
       [this](const YAML::Node& node) {
         m_simulation.Sheets().LoseReplies(node.as<int>());
       }},
      {"serve_session",
       [this](const YAML::Node& node) {
         m_simulation.Sheets().ServeSession(node.as<std::string>());
       }},
      {"expect_submission",
       [this](const YAML::Node& node) { ExpectSubmission(node); }},
      {"expect_sheet", [this](const YAML::Node& node) { ExpectSheet(node); }},
  };
};

}  // namespace

ScenarioResult RunScenario(const std::string& path) {
  ScenarioResult result;
  try {
    const YAML::Node file = YAML::LoadFile(path);
    result.description = StringField(file, "description");
    result.failures = ScenarioRun(file).Failures();
    if (result.description.empty()) {
      result.failures.emplace_back("the description is missing");
    }
  } catch (const std::exception& error) {
    result.failures.emplace_back(error.what());
  }
  return result;
}

}  // namespace heatherwick
