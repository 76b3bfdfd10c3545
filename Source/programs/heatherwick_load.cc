// Entry point of heatherwick-load, which simulates load experiments, measures
// the rate of scheduling decisions and puts load on real proxies.

#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "Source/load/decision_rate.h"
#include "Source/load/experiment.h"
#include "Source/load/goals.h"
#include "Source/load/measurement.h"
#include "Source/load/process_load_command.h"
#include "Source/load/report.h"

namespace heatherwick {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitGoalMissed = 1;
constexpr int kExitUsage = 2;

constexpr double kGoalDecisionsPerCoreSecond = 200000;

struct Flags {
  bool json = false;
  std::string gnuplot;
  uint64_t requests = 0;
  uint64_t seed = 0;
};

int Fail(const Error& error) {
  std::cerr << "heatherwick-load: " << error.Describe() << "\n";
  return kExitUsage;
}

bool AllGoalsMet(const std::vector<GoalRow>& rows) {
  for (const GoalRow& row : rows) {
    if (!row.met) {
      return false;
    }
  }
  return true;
}

// Runs `simulate FILE`, which compares the product's policies with the
// baseline.
int RunSimulate(const std::vector<std::string>& arguments, const Flags& flags) {
  if (arguments.size() != 1) {
    return Fail({ErrorKind::kInvalidArgument, "simulate takes one file",
                 "name an experiment such as Utilities/experiments/"
                 "gheata.yaml"});
  }
  auto loaded = LoadExperiment(arguments[0]);
  if (!Ok(loaded)) {
    return Fail(ErrorOf(loaded));
  }
  Experiment& experiment = ValueOf(loaded);
  if (flags.seed != 0) {
    experiment.seed = flags.seed;
  }
  const ExperimentFigures product = Measure(experiment, ProductPolicies());
  const ExperimentFigures baseline = Measure(experiment, BaselinePolicies());
  const std::vector<GoalRow> rows = CompareWithGoals(product, baseline);
  std::cout << (flags.json ? JsonReport(experiment, rows)
                           : TextReport(experiment, rows));
  if (!flags.gnuplot.empty()) {
    std::ofstream(flags.gnuplot) << GnuplotData(product, baseline);
  }
  return AllGoalsMet(rows) ? kExitDone : kExitGoalMissed;
}

// Runs `decisions`, which measures the rate of scheduling decisions.
int RunDecisions(const std::vector<std::string>& /*arguments*/,
                 const Flags& flags) {
  const DecisionRate rate =
      MeasureDecisionRate(ProductPolicies(), flags.requests);
  std::cout << "decisions " << rate.decisions << "\nrefused " << rate.refused
            << "\nseconds " << rate.seconds << "\ncore_seconds "
            << rate.core_seconds << "\ndecisions_per_core_second "
            << static_cast<uint64_t>(rate.PerCoreSecond()) << "\n";
  return rate.PerCoreSecond() >= kGoalDecisionsPerCoreSecond ? kExitDone
                                                             : kExitGoalMissed;
}

struct Subcommand {
  const char* name;
  int (*run)(const std::vector<std::string>& arguments, const Flags& flags);
};

constexpr Subcommand kSubcommands[] = {
    {"simulate", RunSimulate},
    {"decisions", RunDecisions},
};

int Main(const std::vector<std::string>& arguments) {
  if (!arguments.empty() && arguments.front() == "run") {
    return RunProcessLoadCommand({arguments.begin() + 1, arguments.end()});
  }
  Flags flags;
  SettingsParser parser(
      "heatherwick-load SUBCOMMAND [FILE]",
      "Runs load experiments: simulate FILE, decisions, run.");
  parser.AddBool("json", "print JSON instead of a table", &flags.json);
  parser.AddString("gnuplot", "FILE", "write the load swing for gnuplot",
                   &flags.gnuplot);
  flags.requests = 1000000;
  parser.AddUint("requests", "N", "requests of decisions", 1, 100000000,
                 &flags.requests);
  parser.AddUint("seed", "N", "replaces the experiment's seed; 0 keeps it", 0,
                 UINT32_MAX, &flags.seed);
  const auto parsed =
      parser.Parse(arguments, SettingsParser::ProcessEnvironment());
  if (!Ok(parsed)) {
    return Fail(ErrorOf(parsed));
  }
  if (ValueOf(parsed).help_requested) {
    std::cout << parser.Help();
    return kExitDone;
  }
  std::vector<std::string> subcommand_arguments = ValueOf(parsed).arguments;
  if (!subcommand_arguments.empty()) {
    const std::string name = subcommand_arguments.front();
    subcommand_arguments.erase(subcommand_arguments.begin());
    for (const Subcommand& subcommand : kSubcommands) {
      if (name == subcommand.name) {
        return subcommand.run(subcommand_arguments, flags);
      }
    }
  }
  return Fail({ErrorKind::kInvalidArgument, "no such subcommand",
               "use one of: simulate, decisions, run"});
}

}  // namespace
}  // namespace heatherwick

int main(int argc, char** argv) {
  try {
    return heatherwick::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "heatherwick-load: " << error.what() << "\n";
    return heatherwick::kExitUsage;
  }
}
