// Tests the parsing of experiment files.

#include "Source/load/experiment.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Guards against a run that silently uses defaults: the error must name every
// missing entry.
TEST_CASE("Experiment_EntriesMissing_ErrorNamesAll") {
  const auto parsed = ParseExperiment("name: x\nslots: many\n");
  REQUIRE(!Ok(parsed));
  const std::string& message = ErrorOf(parsed).message;
  for (const char* entry : {"slots", "seed", "targets", "callers", "writes"}) {
    CHECK(message.find(entry) != std::string::npos);
  }
  CHECK(message.find("name") == std::string::npos);
}

}  // namespace
}  // namespace heatherwick
