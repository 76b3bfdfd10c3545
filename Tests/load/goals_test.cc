// Checks the goals of docs/design.md, section 1.4, in virtual time for both
// deployments. The bounds come from that section.

#include "Source/load/goals.h"

#include <string>

#include "Source/load/experiment.h"
#include "Source/load/measurement.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr double kWaitRatioGoal = 2.0;

class DeploymentFixture {
 protected:
  // Runs the product's policies on the experiment of the deployment.
  void Run(const std::string& name) {
    const auto loaded = LoadExperiment(EXPERIMENTS_DIR "/" + name + ".yaml");
    REQUIRE(Ok(loaded));
    m_figures = Measure(ValueOf(loaded), ProductPolicies());
  }

  // Checks all goals except the p99 wait of short work beside long work, which
  // has its own tests.
  void CheckGoals() const {
    for (const GoalRow& row : CompareWithGoals(m_figures, m_figures)) {
      if (row.measure.find("p99 wait") == std::string::npos) {
        CHECK_MESSAGE(row.met, row.measure, " is ", row.product, ", goal ",
                      row.goal);
      }
    }
  }

  ExperimentFigures m_figures;
};

// These tests guard against a policy change that misses a goal: replica share,
// goodput and order of refusals at the peak, fairness, failover gap, early
// refusals, use of the slots, completion of long work.
TEST_CASE_FIXTURE(DeploymentFixture, "ProductPolicies_Gheata_MeetGoals") {
  Run("gheata");
  CheckGoals();
}

TEST_CASE_FIXTURE(DeploymentFixture, "ProductPolicies_Ballinacurra_MeetGoals") {
  Run("ballinacurra");
  CheckGoals();
}

// These tests guard against head-of-line blocking of short work behind long
// work.
TEST_CASE_FIXTURE(
    DeploymentFixture,
    "ProductPolicies_GheataLongWork_KeepsShortWaitRatioWithinGoal") {
  Run("gheata");
  CHECK(m_figures.short_wait_ratio <= kWaitRatioGoal);
  CHECK(m_figures.short_response_ratio <= kWaitRatioGoal);
}

TEST_CASE_FIXTURE(
    DeploymentFixture,
    "ProductPolicies_BallinacurraLongWork_KeepsShortWaitRatioWithinGoal") {
  Run("ballinacurra");
  CHECK(m_figures.short_wait_ratio <= kWaitRatioGoal);
  CHECK(m_figures.short_response_ratio <= kWaitRatioGoal);
}

}  // namespace
}  // namespace heatherwick
