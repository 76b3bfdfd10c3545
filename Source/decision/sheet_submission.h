// Decides the steps and the outcome of one submission of a sheet.
//
// The outcome is certain for two reasons. The row sheet/head is replaced by a
// conditional write, so at most one of the submissions with the same base
// version succeeds. Before a head is replaced, it is copied to its history row.
// Every version below the head therefore has a history row, and a submission
// whose reply was lost finds its own id there even after it has been
// superseded.
//
// It is safe to repeat a submission with the same id and base version, through
// any instance. See docs/design.md, section 2.6.

#ifndef SOURCE_DECISION_SHEET_SUBMISSION_H_
#define SOURCE_DECISION_SHEET_SUBMISSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Source/decision/sheet_head.h"
#include "absl/time/time.h"

namespace heatherwick {

// Reads the row sheet/head. Answered by OnHead.
struct ReadStoredHead {};

// Stores the submission's text under `name`. Answered by OnContentStored.
struct StoreContent {
  std::string name;
};

// Writes the history row of `head.version` unless it exists. Answered by
// OnHistoryStored.
struct StoreHistoryRow {
  SheetHead head;
};

// Reads the history row of this version. Answered by OnHistory.
struct ReadHistoryRow {
  uint64_t version = 0;
};

// Replaces the row sheet/head if the row's version in the table is still
// `expected_row_version`. Answered by OnHeadWritten.
struct ReplaceHead {
  uint64_t expected_row_version = 0;
  SheetHead head;
};

enum class SubmissionOutcome {
  kAccepted,
  kLost,  // Another submission succeeded, or the base version does not exist;
          // nothing was changed.
  kUnavailable,  // The store did not answer; nothing was changed.
  kUnknown,      // The store did not answer; the sheet may have been accepted.
};

struct SubmissionEnded {
  SubmissionOutcome outcome = SubmissionOutcome::kUnavailable;
  // For kAccepted, the submission's own head. For kLost, the head of the
  // submission that succeeded, or the last head read if the base version does
  // not exist yet or the history row is absent; version 0 if there is no head.
  SheetHead head;
};

struct SubmissionStep {
  // Time to wait before `action`.
  absl::Duration delay;
  std::variant<ReadStoredHead,
               StoreContent,
               StoreHistoryRow,
               ReadHistoryRow,
               ReplaceHead,
               SubmissionEnded>
      action;
};

// The row sheet/head with its version in the table, which is 0 if the row is
// absent.
struct StoredHead {
  uint64_t row_version = 0;
  SheetHead head;
};

enum class HeadWrite {
  kWritten,
  kConflict,  // The row had another version; nothing was written.
  kNoReply,   // The write may have taken effect, or may still do so.
};

class SheetSubmission {
 public:
  // `head` holds all fields except the version, which follows from the base
  // version. No step is retried and nothing is written after `deadline`.
  SheetSubmission(SheetHead head, absl::Time deadline);

  // Each function returns the next step; Start returns the first one. An empty
  // argument or false means that the store did not answer.
  SubmissionStep Start();
  SubmissionStep OnHead(const std::optional<StoredHead>& stored,
                        absl::Time now);
  SubmissionStep OnContentStored(bool stored, absl::Time now);
  SubmissionStep OnHistoryStored(bool stored, absl::Time now);
  // A head of version 0 means that the row is absent.
  SubmissionStep OnHistory(const std::optional<SheetHead>& head,
                           absl::Time now);
  SubmissionStep OnHeadWritten(HeadWrite result, absl::Time now);

 private:
  SubmissionStep ChooseNextStep(absl::Time now);
  // Starts again by reading the head, or ends the submission if the deadline
  // has passed.
  SubmissionStep Retry(absl::Time now) const;
  static SubmissionStep End(SubmissionOutcome outcome, const SheetHead& head);

  SheetHead m_head;
  const absl::Time m_deadline;
  StoredHead m_stored;  // As last read.
  bool m_content_stored = false;
  bool m_history_stored = false;
  // Whether a write of the head was sent and not answered.
  bool m_may_be_written = false;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_SUBMISSION_H_
