// Interface of the policies that choose the target of a bounded-staleness read.

#ifndef SOURCE_DECISION_READ_POLICY_H_
#define SOURCE_DECISION_READ_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Source/decision/pending_request.h"
#include "Source/decision/target_load.h"
#include "absl/time/time.h"

namespace heatherwick {

// A target that satisfies the read's allowed age and minimum position.
struct ReadCandidate {
  TargetId id;
  bool primary = false;
  bool same_data_centre = false;
  bool can_start = false;  // A slot and a connection are free.
  // Requests that only the primary can run are waiting.
  bool primary_work_waiting = false;
  absl::Duration age;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;  // Statements that wait inside the target.
  // 0 when the target has just become suitable for reads with the allowed age
  // of this read; rises to 1 with time.
  double recovery = 1.0;
};

// How a statement at a target ended, as far as it tells of the target.
enum class ReadOutcome {
  kDone,
  kFailed,   // The target failed it, or the target's connection was lost.
  kRefused,  // The target or its lender did not run it for lack of room.
  kLagging,  // The target's log lacked the required position.
  kSlow,     // It was withdrawn because no reply came in time.
};

// What a policy believes of a target, for metrics and logs.
struct BelievedLoad {
  // Average of the lenders that reported, weighed by age.
  double running = 0;
  double waiting = 0;
  absl::Duration latency;
  absl::Duration age;  // Of the newest report.
  // Fraction of its usual work that the target is given, from 0 to 1.
  double share = 1.0;
};

class ReadPolicy {
 public:
  static constexpr const char* kPluginKind = "read policy";

  virtual ~ReadPolicy() = default;

  // Returns the index of a candidate that can start the read now, or nullopt if
  // the read should wait.
  virtual std::optional<size_t> Choose(
      const PendingRequest& pending,
      const std::vector<ReadCandidate>& candidates,
      absl::Time now) = 0;

  // The functions below are for policies that choose from what others report.
  // A policy that sees the targets' load itself ignores them.

  // `lender` has reported the load of a target. Returns false if the report is
  // out of range and was ignored.
  virtual bool OnLoad(const TargetId& /*target*/,
                      const InstanceId& /*lender*/,
                      const TargetLoad& /*load*/,
                      absl::Time /*now*/) {
    return true;
  }
  // Returns true if the target is given less work because of this outcome.
  virtual bool OnOutcome(const TargetId& /*target*/,
                         ReadOutcome /*outcome*/,
                         absl::Time /*now*/) {
    return false;
  }
  // Returns nullopt if no load of the target is known.
  virtual std::optional<BelievedLoad> Believed(const TargetId& /*target*/,
                                               absl::Time /*now*/) const {
    return std::nullopt;
  }
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_READ_POLICY_H_
