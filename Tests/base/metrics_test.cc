// Guards the text format that monitoring systems read.

#include "Source/base/metrics.h"

#include <string>

#include "absl/strings/match.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

TEST_CASE("Metrics_CountersWithKinds_ShareOneFamily") {
  Metrics metrics;
  metrics.Count("statements/complete", 3);
  metrics.Count("statements/in_doubt");
  CHECK(metrics.ToText() ==
        "# TYPE heatherwick_statements_total counter\n"
        "heatherwick_statements_total{kind=\"complete\"} 3\n"
        "heatherwick_statements_total{kind=\"in_doubt\"} 1\n");
}

TEST_CASE("Metrics_GaugeSetTwice_ShowsTheLastValue") {
  Metrics metrics;
  metrics.SetGauge("sessions", 4);
  metrics.SetGauge("sessions", 2);
  CHECK(metrics.ToText() ==
        "# TYPE heatherwick_sessions gauge\nheatherwick_sessions 2\n");
}

// Guards against buckets that leave out values near their limit, which would
// show a wrong latency.
TEST_CASE("Metrics_Latencies_FillCumulativeBuckets") {
  Metrics metrics;
  metrics.Observe("statement", absl::Milliseconds(4));
  metrics.Observe("statement", absl::Milliseconds(40));
  metrics.Observe("statement", absl::Seconds(200));
  const std::string text = metrics.ToText();
  CHECK(absl::StrContains(text, "# TYPE heatherwick_statement_seconds histo"));
  for (const char* line :
       {"_bucket{le=\"0.002\"} 0\n", "_bucket{le=\"0.005\"} 1\n",
        "_bucket{le=\"0.02\"} 1\n", "_bucket{le=\"0.05\"} 2\n",
        "_bucket{le=\"10\"} 2\n", "_bucket{le=\"+Inf\"} 3\n", "_count 3\n",
        "_sum 200.044\n"}) {
    CHECK_MESSAGE(absl::StrContains(text, line), line, " in ", text);
  }
}

}  // namespace
}  // namespace heatherwick
