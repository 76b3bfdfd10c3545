// Tests the submission of sheets against a small model of the store: one
// winner for each version, and the true outcome after lost answers.

#include "Source/decision/sheet_submission.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// How the model treats the next write of the head.
enum class HeadFault { kNone, kLostBeforeEffect, kLostAfterEffect };

class SheetSubmissionFixture {
 protected:
  static SheetHead MakeHead(const std::string& submission, uint64_t base) {
    return {0, "hash-of-" + submission, submission, "ana", 1000, base};
  }

  static SheetHead AcceptedHead(const std::string& submission, uint64_t base) {
    SheetHead head = MakeHead(submission, base);
    head.version = base + 1;
    return head;
  }

  // Puts a head into the model as an accepted submission does.
  void Accept(const std::string& submission) {
    const SheetHead head = AcceptedHead(submission, m_stored.head.version);
    m_history.emplace(m_stored.head.version, m_stored.head);
    m_stored = {m_stored.row_version + 3, head};
  }

  SubmissionEnded Run(const SheetHead& head) {
    SheetSubmission submission(head, m_now + absl::Seconds(5));
    SubmissionStep step = submission.Start();
    for (int i = 0; i < 200; ++i) {
      m_now += step.delay;
      if (const auto* ended = std::get_if<SubmissionEnded>(&step.action)) {
        return *ended;
      }
      step = Perform(&submission, step);
    }
    FAIL("the submission does not end");
    return {};
  }

  SubmissionStep Perform(SheetSubmission* submission,
                         const SubmissionStep& step) {
    if (std::holds_alternative<ReadStoredHead>(step.action)) {
      return submission->OnHead(
          m_down ? std::nullopt : std::optional<StoredHead>(m_stored), m_now);
    }
    if (std::holds_alternative<StoreContent>(step.action)) {
      return submission->OnContentStored(!m_down, m_now);
    }
    if (const auto* history = std::get_if<StoreHistoryRow>(&step.action)) {
      m_history.emplace(history->head.version, history->head);
      return submission->OnHistoryStored(!m_down, m_now);
    }
    if (const auto* read = std::get_if<ReadHistoryRow>(&step.action)) {
      return submission->OnHistory(m_history[read->version], m_now);
    }
    return PerformReplace(submission, std::get<ReplaceHead>(step.action));
  }

  SubmissionStep PerformReplace(SheetSubmission* submission,
                                const ReplaceHead& replace) {
    m_before_replace();
    const HeadFault fault = std::exchange(m_fault, HeadFault::kNone);
    const bool matches = replace.expected_row_version == m_stored.row_version;
    if (fault != HeadFault::kLostBeforeEffect && matches) {
      m_stored = {m_stored.row_version + 3, replace.head};
      ++m_writes;
    }
    m_after_replace();
    HeadWrite result = matches ? HeadWrite::kWritten : HeadWrite::kConflict;
    if (fault != HeadFault::kNone) {
      result = HeadWrite::kUnanswered;
    }
    return submission->OnHeadWritten(result, m_now);
  }

  absl::Time m_now = absl::FromUnixSeconds(1000);
  StoredHead m_stored;
  std::map<uint64_t, SheetHead> m_history;
  bool m_down = false;
  HeadFault m_fault = HeadFault::kNone;
  int m_writes = 0;
  std::function<void()> m_before_replace = [] {};
  std::function<void()> m_after_replace = [] {};
};

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_CurrentBase_IsAcceptedAsNextVersion") {
  Accept("first");
  const SubmissionEnded ended = Run(MakeHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head == AcceptedHead("mine", 1));
  CHECK(m_stored.head == ended.head);
  // The replaced head stays in the history.
  CHECK(m_history.at(1).submission == "first");
}

// Guards against a change that silently undoes one its author has not seen.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_OlderBase_IsToldTheWinner") {
  Accept("first");
  Accept("second");
  SubmissionEnded ended = Run(MakeHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "second");
  ended = Run(MakeHead("mine", 0));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "first");
  CHECK(m_stored.head.submission == "second");
}

// Guards against a gap in the versions when the base was mistyped.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_BaseAboveTheHead_IsLost") {
  Accept("first");
  const SubmissionEnded ended = Run(MakeHead("mine", 2));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "first");
}

// Guards against a second winner for one version.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_RivalWinsBetweenReadAndWrite_IsLost") {
  Accept("first");
  m_before_replace = [this] {
    Accept("rival");
    m_before_replace = [] {};
  };
  const SubmissionEnded ended = Run(MakeHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "rival");
  CHECK(m_writes == 0);
}

// Guards against reporting a loss, or writing a second version, when only
// the answer was lost.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostAfterEffect_IsAcceptedOnce") {
  Accept("first");
  m_fault = HeadFault::kLostAfterEffect;
  const SubmissionEnded ended = Run(MakeHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head.version == 2);
  CHECK(m_writes == 1);
}

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostBeforeEffect_IsWrittenAgain") {
  Accept("first");
  m_fault = HeadFault::kLostBeforeEffect;
  CHECK(Run(MakeHead("mine", 1)).outcome == SubmissionOutcome::kAccepted);
  CHECK(m_stored.head.submission == "mine");
  CHECK(m_writes == 1);
}

// Guards against calling a submission lost that was accepted and then
// superseded before its answer could be settled.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostAndSuperseded_IsAccepted") {
  Accept("first");
  m_fault = HeadFault::kLostAfterEffect;
  m_after_replace = [this] { Accept("later"); };
  const SubmissionEnded ended = Run(MakeHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head.submission == "mine");
  CHECK(m_stored.head.submission == "later");
}

// Guards against "unavailable", which promises that nothing was changed, for
// a write that may still take effect.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_StoreDownAfterWrite_IsUnknown") {
  m_fault = HeadFault::kLostAfterEffect;
  m_after_replace = [this] { m_down = true; };
  CHECK(Run(MakeHead("mine", 0)).outcome == SubmissionOutcome::kUnknown);
  // The operator repeats the command with the same id later.
  m_down = false;
  CHECK(Run(MakeHead("mine", 0)).outcome == SubmissionOutcome::kAccepted);
  CHECK(m_writes == 1);
}

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_StoreDown_IsUnavailableAtTheDeadline") {
  m_down = true;
  const absl::Time start = m_now;
  CHECK(Run(MakeHead("mine", 0)).outcome == SubmissionOutcome::kUnavailable);
  CHECK(m_now - start <= absl::Seconds(6));
  CHECK(m_writes == 0);
}

}  // namespace
}  // namespace heatherwick
