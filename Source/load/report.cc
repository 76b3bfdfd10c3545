// Formats tables, JSON records and plot data.

#include "Source/load/report.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "nlohmann/json.hpp"

namespace heatherwick {
namespace {

constexpr char kRowFormat[] = "%-48s %-10s %-24s %-26s %s\n";

std::string Columns(const SwingSecond& second) {
  return absl::StrCat(" ", second.done, " ", second.refused, " ",
                      second.failed);
}

}  // namespace

std::string TextReport(const Experiment& experiment,
                       const std::vector<GoalRow>& rows) {
  std::string text = absl::StrFormat("experiment %s, seed %d\n",
                                     experiment.name, experiment.seed);
  absl::StrAppendFormat(&text, kRowFormat, "measure", "goal", "product",
                        "baseline", "met");
  for (const GoalRow& row : rows) {
    absl::StrAppendFormat(&text, kRowFormat, row.measure, row.goal, row.product,
                          row.baseline, row.met ? "yes" : "NO");
  }
  return text;
}

std::string JsonReport(const Experiment& experiment,
                       const std::vector<GoalRow>& rows) {
  nlohmann::json goals = nlohmann::json::array();
  for (const GoalRow& row : rows) {
    goals.push_back({{"measure", row.measure},
                     {"goal", row.goal},
                     {"product", row.product},
                     {"baseline", row.baseline},
                     {"met", row.met}});
  }
  const nlohmann::json report = {{"experiment", experiment.name},
                                 {"seed", experiment.seed},
                                 {"goals", goals}};
  return report.dump(2) + "\n";
}

std::string GnuplotData(const ExperimentFigures& product,
                        const ExperimentFigures& baseline) {
  std::string data =
      "# second arrived product_done product_refused product_failed "
      "baseline_done baseline_refused baseline_failed\n";
  const size_t seconds = std::min(product.swing.size(), baseline.swing.size());
  for (size_t second = 0; second < seconds; ++second) {
    absl::StrAppend(&data, second, " ", product.swing[second].arrived,
                    Columns(product.swing[second]),
                    Columns(baseline.swing[second]), "\n");
  }
  return data;
}

}  // namespace heatherwick
