// The targets of a group that may hold acknowledged commits, as the instances
// record them in the store.
//
// With synchronous replicas, each acknowledged commit is in the log of the
// primary and in those of enough runs of this set. A target joins the set as
// soon as it is listed. It leaves only when others have received all that it
// may hold; that its entry has expired is no reason, because a target that has
// crashed comes back with its log.

#ifndef SOURCE_DECISION_REPLICA_SET_H_
#define SOURCE_DECISION_REPLICA_SET_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Source/base/types.h"

namespace heatherwick {

// One run of a target. A target that starts again under its id begins with an
// empty log, so that each run has a log of its own. A target that comes back
// from a crash with its log continues its run.
struct TargetRun {
  TargetId id;
  int64_t started_unix_ms = 0;  // 0 if the target does not state it.

  auto operator<=>(const TargetRun&) const = default;
};

struct ReplicaState {
  std::string address;
  // A draining target passes its log on to the target that replaces it at its
  // address.
  bool draining = false;

  bool operator==(const ReplicaState&) const = default;
};

using ReplicaSet = std::map<TargetRun, ReplicaState>;

// True if another run in the set has taken over the log of `run`.
bool LogPassedOn(const ReplicaSet& replicas, const TargetRun& run);

// The runs as ID@START, for log lines.
std::string DescribeRuns(const std::vector<TargetRun>& runs);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_REPLICA_SET_H_
