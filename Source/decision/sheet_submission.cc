// Chooses the next step after each reply of the store. Whenever the state of
// the store is uncertain, the head is read again.

#include "Source/decision/sheet_submission.h"

#include <utility>

namespace heatherwick {

namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(200);

}  // namespace

SheetSubmission::SheetSubmission(SheetHead head, absl::Time deadline)
    : m_head(std::move(head)), m_deadline(deadline) {
  m_head.version = m_head.base_version + 1;
}

SubmissionStep SheetSubmission::Start() {
  return {absl::ZeroDuration(), ReadStoredHead{}};
}

SubmissionStep SheetSubmission::OnHead(const std::optional<StoredHead>& stored,
                                       absl::Time now) {
  if (!stored) {
    return Retry(now);
  }
  m_stored = *stored;
  return ChooseNextStep(now);
}

SubmissionStep SheetSubmission::ChooseNextStep(absl::Time now) {
  const SheetHead& current = m_stored.head;
  if (current.version > m_head.version) {
    // The submission was either accepted and then superseded, or lost. The
    // history row of its version tells which.
    return {absl::ZeroDuration(), ReadHistoryRow{m_head.version}};
  }
  if (current.version == m_head.version) {
    return End(current.submission == m_head.submission
                   ? SubmissionOutcome::kAccepted
                   : SubmissionOutcome::kLost,
               current);
  }
  if (current.version < m_head.base_version) {
    return End(SubmissionOutcome::kLost, current);
  }
  if (now >= m_deadline) {
    return Retry(now);
  }
  if (!m_content_stored) {
    return {absl::ZeroDuration(),
            StoreContent{SheetObjectName(m_head.content_hash)}};
  }
  if (!m_history_stored && current.version > 0) {
    return {absl::ZeroDuration(), StoreHistoryRow{current}};
  }
  return {absl::ZeroDuration(), ReplaceHead{m_stored.row_version, m_head}};
}

SubmissionStep SheetSubmission::OnContentStored(bool stored, absl::Time now) {
  m_content_stored = stored;
  return stored ? ChooseNextStep(now) : Retry(now);
}

SubmissionStep SheetSubmission::OnHistoryStored(bool stored, absl::Time now) {
  m_history_stored = stored;
  return stored ? ChooseNextStep(now) : Retry(now);
}

SubmissionStep SheetSubmission::OnHistory(const std::optional<SheetHead>& head,
                                          absl::Time now) {
  if (!head) {
    return Retry(now);
  }
  if (head->version == m_head.version &&
      head->submission == m_head.submission) {
    return End(SubmissionOutcome::kAccepted, *head);
  }
  // If the row is absent, the store has lost its history.
  return End(SubmissionOutcome::kLost,
             head->version == 0 ? m_stored.head : *head);
}

SubmissionStep SheetSubmission::OnHeadWritten(HeadWrite result,
                                              absl::Time now) {
  if (result == HeadWrite::kWritten) {
    return End(SubmissionOutcome::kAccepted, m_head);
  }
  if (result == HeadWrite::kNoReply) {
    m_may_be_written = true;
    return Retry(now);
  }
  return {absl::ZeroDuration(), ReadStoredHead{}};
}

SubmissionStep SheetSubmission::Retry(absl::Time now) const {
  if (now >= m_deadline) {
    return End(m_may_be_written ? SubmissionOutcome::kUnknown
                                : SubmissionOutcome::kUnavailable,
               {});
  }
  return {kRetryDelay, ReadStoredHead{}};
}

SubmissionStep SheetSubmission::End(SubmissionOutcome outcome,
                                    const SheetHead& head) {
  return {absl::ZeroDuration(), SubmissionEnded{outcome, head}};
}

}  // namespace heatherwick
