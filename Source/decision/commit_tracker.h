// Decides when a write, or a read of current data, may be acknowledged: when
// a majority of the group holds its position in the primary's own term.
//
// Source of the rule: every promotion fences a majority of the group and
// picks the most advanced log among the fenced targets, so an entry that a
// majority held in one term is in the log of every later primary. See
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

// Names one WaitForPosition; grows with each.
using WaitId = uint64_t;

// Ask `target` to answer when its log contains `position` or its term
// changes, or at the latest after `timeout`.
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
  // The position proves itself: no target reports it before it was written.
  kWrite,
  // Nothing new is in the log, so the replica must have been asked after the
  // read ran. An earlier report may date from before a promotion.
  kRead,
};

class CommitTracker {
 public:
  // Sets the group's primary in `term` and forgets requests of older terms:
  // each ends as RequestUnconfirmed.
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

  // The answer to a wait: the target's term and the end of its log.
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

  // Time that a confirmation is expected to take: the smoothed delay of the
  // recent ones or, when longer, the wait of the oldest pending one. The
  // smoothed delay halves for each second without a confirmation: writes that
  // are refused because of it bring no new sample, and would be refused for
  // ever.
  absl::Duration ExpectedDelay(absl::Time now) const;

  size_t Pending() const { return m_pending.size(); }

 private:
  struct PendingRequest {
    RequestId request = 0;
    ConfirmationKind kind = ConfirmationKind::kWrite;
    absl::Time deadline;
    absl::Time since;
    // First wait that is issued after the request ran.
    WaitId first_wait = 0;
  };
  struct OutstandingWait {
    WaitId wait = 0;
    Position position;
  };
  struct Replica {
    // Greatest log end of m_term that the replica has reported in m_term.
    Position held;
    // Latest wait that it answered in m_term.
    WaitId answered = 0;
    std::vector<OutstandingWait> outstanding;  // At most kMaxWaits.
    absl::Time retry_at = absl::InfinitePast();
  };
  using PendingMap = std::multimap<Position, PendingRequest>;

  bool IsConfirmed(Position position, const PendingRequest& pending) const;
  void ConfirmPending(absl::Time now, std::vector<CommitAction>* actions);
  void IssueWaits(absl::Time now, std::vector<CommitAction>* actions);
  void IssueWait(const TargetId& target,
                 Replica* replica,
                 std::vector<CommitAction>* actions);

  uint64_t m_term = 0;
  size_t m_group_size = 0;
  WaitId m_last_wait = 0;
  // Every target of the group but the primary.
  std::map<TargetId, Replica> m_replicas;
  // All positions are of m_term.
  PendingMap m_pending;
  absl::Duration m_smoothed_delay;
  absl::Time m_last_confirmed = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_COMMIT_TRACKER_H_
