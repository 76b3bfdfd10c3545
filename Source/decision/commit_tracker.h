// Decides when a write, or a read of current data, may be acknowledged: when
// the logs of a majority of the group contain its position in the primary's own
// term.
//
// This is safe because every promotion fences a majority of the group and picks
// the most advanced log among the fenced targets. An entry that a majority held
// in one term is therefore in the log of every later primary. See
// docs/design.md, section 2.3.

#ifndef SOURCE_DECISION_COMMIT_TRACKER_H_
#define SOURCE_DECISION_COMMIT_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

// Identifies one WaitForPosition. Increases with each one that is issued.
using WaitId = uint64_t;

// Asks `target` to answer as soon as its log contains `position` or its term
// changes, and after `timeout` at the latest.
struct WaitForPosition {
  WaitId wait = 0;
  TargetId target;
  Position position;
  absl::Duration timeout;
};

// The request may be acknowledged as done.
struct RequestConfirmed {
  RequestId request;
};

// The request ran but was not confirmed in time: its outcome is unknown.
struct RequestUnconfirmed {
  RequestId request;
};

using CommitAction =
    std::variant<WaitForPosition, RequestConfirmed, RequestUnconfirmed>;

enum class ConfirmationKind {
  // Any report of the position counts, because no target can report it before
  // it was written.
  kWrite,
  // A read adds nothing to the log, so a report counts only if it was requested
  // after the read ran. An earlier report may date from before a promotion.
  kRead,
};

class CommitTracker {
 public:
  // Sets the group's primary in `term`. Each pending request of an older term
  // ends as RequestUnconfirmed.
  void OnPrimary(const TargetId& primary,
                 uint64_t term,
                 const std::vector<TargetId>& group,
                 absl::Time now,
                 std::vector<CommitAction>* actions);

  // The primary ran a request in the current term; `position` is the end of
  // its log for this request.
  void OnExecuted(RequestId request,
                  ConfirmationKind kind,
                  Position position,
                  absl::Time deadline,
                  absl::Time now,
                  std::vector<CommitAction>* actions);

  // The target answered a wait with its term and the end of its log.
  void OnPositionReport(const TargetId& target,
                        WaitId wait,
                        uint64_t term,
                        Position last,
                        absl::Time now,
                        std::vector<CommitAction>* actions);
  // The wait ended without an answer.
  void OnPositionFailure(const TargetId& target,
                         WaitId wait,
                         absl::Time now,
                         std::vector<CommitAction>* actions);

  void OnTick(absl::Time now, std::vector<CommitAction>* actions);

  // Returns the time that a confirmation is expected to take: the smoothed
  // delay of recent confirmations or, if longer, the time since the oldest
  // pending request ran. The smoothed delay halves for each second without a
  // confirmation. Otherwise a long delay could persist for ever, because writes
  // that are refused due to it bring no new sample.
  absl::Duration ExpectedDelay(absl::Time now) const;

  size_t Pending() const { return m_pending.size(); }

 private:
  struct PendingConfirmation {
    RequestId request = 0;
    ConfirmationKind kind = ConfirmationKind::kWrite;
    absl::Time deadline;
    absl::Time executed_at;
    // The first wait that was issued after the request ran has this id.
    WaitId first_wait = 0;
  };
  struct OutstandingWait {
    WaitId wait = 0;
    Position position;
  };
  struct Replica {
    // Greatest log end of term m_term that the replica reported in that term.
    Position log_end;
    // Latest wait that the replica answered in m_term.
    WaitId last_answered_wait = 0;
    std::vector<OutstandingWait> outstanding;  // At most kMaxOutstandingWaits.
    absl::Time retry_at = absl::InfinitePast();
  };
  using PendingMap = std::multimap<Position, PendingConfirmation>;

  bool IsConfirmed(Position position, const PendingConfirmation& pending) const;
  void ConfirmPending(absl::Time now, std::vector<CommitAction>* actions);
  void IssueWaits(absl::Time now, std::vector<CommitAction>* actions);
  void IssueWait(const TargetId& target,
                 Replica* replica,
                 std::vector<CommitAction>* actions);

  uint64_t m_term = 0;
  size_t m_group_size = 0;
  WaitId m_last_wait = 0;
  // Every target of the group except the primary.
  std::map<TargetId, Replica> m_replicas;
  // All positions belong to m_term.
  PendingMap m_pending;
  absl::Duration m_smoothed_delay;
  absl::Time m_last_confirmed = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_COMMIT_TRACKER_H_
