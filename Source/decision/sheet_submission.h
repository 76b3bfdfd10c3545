// Decides the steps and the outcome of one submission of a sheet.
//
// Source of the rules: the row sheet/head is replaced by a conditional write,
// so at most one of the submissions with the same base version succeeds.
// Before a head is replaced it is copied to its history row; so every version
// below the head has its row, and a submission whose answer was lost finds
// its own id there even after it has been superseded.
//
// Repeating a submission with the same id and base version is safe, through
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

// Read the row sheet/head; answered by OnHead.
struct ReadStoredHead {};

// Store the submission's text under `name`; answered by OnContentStored.
struct StoreContent {
  std::string name;
};

// Write the history row of `head.version` unless it exists; answered by
// OnHistoryStored.
struct StoreHistoryRow {
  SheetHead head;
};

// Read the history row of this version; answered by OnHistory.
struct ReadHistoryRow {
  uint64_t version = 0;
};

// Replace the row sheet/head if it still has this version in the table;
// answered by OnHeadWritten.
struct ReplaceHead {
  uint64_t expected_row_version = 0;
  SheetHead head;
};

enum class SubmissionOutcome {
  kAccepted,
  kLost,         // Another submission won; nothing was changed.
  kUnavailable,  // The store did not answer; nothing was changed.
  kUnknown,      // The store did not answer; it may have been accepted.
};

struct SubmissionEnded {
  SubmissionOutcome outcome = SubmissionOutcome::kUnavailable;
  // kAccepted: the submission's own head. kLost: the winner's, or the head
  // that the base version does not match; version 0 when there is none.
  SheetHead head;
};

struct SubmissionStep {
  // Wait that long first.
  absl::Duration delay;
  std::variant<ReadStoredHead,
               StoreContent,
               StoreHistoryRow,
               ReadHistoryRow,
               ReplaceHead,
               SubmissionEnded>
      action;
};

// The row sheet/head with its version in the table, 0 when it is absent.
struct StoredHead {
  uint64_t row_version = 0;
  SheetHead head;
};

enum class HeadWrite {
  kWritten,
  kConflict,    // The row had another version; nothing was written.
  kUnanswered,  // It may have been written, and may still be.
};

class SheetSubmission {
 public:
  // `head` holds everything but the version, which follows from the base
  // version. No step starts after `deadline`.
  SheetSubmission(SheetHead head, absl::Time deadline);

  // Each returns the next step; the first step is Start's. Empty arguments
  // and false stand for a store that did not answer.
  SubmissionStep Start();
  SubmissionStep OnHead(const std::optional<StoredHead>& stored,
                        absl::Time now);
  SubmissionStep OnContentStored(bool stored, absl::Time now);
  SubmissionStep OnHistoryStored(bool stored, absl::Time now);
  // Version 0: the row is absent.
  SubmissionStep OnHistory(const std::optional<SheetHead>& head,
                           absl::Time now);
  SubmissionStep OnHeadWritten(HeadWrite result, absl::Time now);

 private:
  SubmissionStep Decide(absl::Time now);
  // Starts again from reading the head, or ends after the deadline.
  SubmissionStep Retry(absl::Time now) const;
  static SubmissionStep End(SubmissionOutcome outcome, const SheetHead& head);

  SheetHead m_head;
  const absl::Time m_deadline;
  StoredHead m_stored;  // As last read.
  bool m_content_stored = false;
  bool m_history_stored = false;
  // A write of the head was sent and its answer did not come.
  bool m_may_be_written = false;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_SUBMISSION_H_
