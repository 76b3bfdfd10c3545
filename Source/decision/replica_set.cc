// Finds the successor of a target by its address.

#include "Source/decision/replica_set.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace heatherwick {

bool LogPassedOn(const ReplicaSet& replicas, const TargetRun& run) {
  const auto found = replicas.find(run);
  if (found == replicas.end() || !found->second.draining) {
    return false;
  }
  const std::string& address = found->second.address;
  return std::any_of(
      replicas.begin(), replicas.end(), [&run, &address](const auto& other) {
        return other.second.address == address && other.first.id != run.id &&
               other.first.started_unix_ms >= run.started_unix_ms;
      });
}

std::string DescribeRuns(const std::vector<TargetRun>& runs) {
  return absl::StrJoin(runs, ",", [](std::string* out, const TargetRun& run) {
    absl::StrAppend(out, run.id, "@", run.started_unix_ms);
  });
}

}  // namespace heatherwick
