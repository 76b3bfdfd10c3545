// Tests the submission of sheets against a small model of the store: only one
// submission succeeds for each version, and the outcome is reported correctly
// after replies were lost.

#include "Source/decision/sheet_submission.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// The fault that the model injects into the next write of the head.
enum class HeadFault { kNone, kLostBeforeEffect, kLostAfterEffect };

class SheetSubmissionFixture {
 protected:
  static SheetHead MakeSubmissionHead(const std::string& submission,
                                      uint64_t base) {
    return {0, "hash-of-" + submission, submission, "ana", 1000, base};
  }

  static SheetHead MakeAcceptedHead(const std::string& submission,
                                    uint64_t base) {
    SheetHead head = MakeSubmissionHead(submission, base);
    head.version = base + 1;
    return head;
  }

  // Changes the store in the same way as an accepted submission does.
  void AcceptInStore(const std::string& submission) {
    const SheetHead head = MakeAcceptedHead(submission, m_stored.head.version);
    m_history.emplace(m_stored.head.version, m_stored.head);
    m_stored = {m_stored.row_version + 3, head};
  }

  SubmissionEnded RunSubmission(const SheetHead& head) {
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
          m_store_down ? std::nullopt : std::optional<StoredHead>(m_stored),
          m_now);
    }
    if (std::holds_alternative<StoreContent>(step.action)) {
      return submission->OnContentStored(!m_store_down, m_now);
    }
    if (const auto* history = std::get_if<StoreHistoryRow>(&step.action)) {
      m_history.emplace(history->head.version, history->head);
      return submission->OnHistoryStored(!m_store_down, m_now);
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
      result = HeadWrite::kNoReply;
    }
    return submission->OnHeadWritten(result, m_now);
  }

  absl::Time m_now = absl::FromUnixSeconds(1000);
  StoredHead m_stored;
  std::map<uint64_t, SheetHead> m_history;
  bool m_store_down = false;
  HeadFault m_fault = HeadFault::kNone;
  int m_writes = 0;
  std::function<void()> m_before_replace = [] {};
  std::function<void()> m_after_replace = [] {};
};

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_CurrentBase_IsAcceptedAsNextVersion") {
  AcceptInStore("first");
  const SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head == MakeAcceptedHead("mine", 1));
  CHECK(m_stored.head == ended.head);
  // The replaced head stays in the history.
  CHECK(m_history.at(1).submission == "first");
}

// Guards against a change that silently undoes an earlier change that its
// author has not seen.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_OlderBase_ReturnsWinnersHead") {
  AcceptInStore("first");
  AcceptInStore("second");
  SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "second");
  ended = RunSubmission(MakeSubmissionHead("mine", 0));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "first");
  CHECK(m_stored.head.submission == "second");
}

// Guards against a gap in the version numbers when the base was mistyped.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_BaseAboveTheHead_IsLost") {
  AcceptInStore("first");
  const SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 2));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "first");
}

// Guards against two accepted submissions of the same version.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_RivalWinsBetweenReadAndWrite_IsLost") {
  AcceptInStore("first");
  m_before_replace = [this] {
    AcceptInStore("rival");
    m_before_replace = [] {};
  };
  const SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kLost);
  CHECK(ended.head.submission == "rival");
  CHECK(m_writes == 0);
}

// Guards against reporting that the submission was lost, or writing a second
// version, when only the reply to the write was lost.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostAfterEffect_IsAcceptedOnce") {
  AcceptInStore("first");
  m_fault = HeadFault::kLostAfterEffect;
  const SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head.version == 2);
  CHECK(m_writes == 1);
}

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostBeforeEffect_IsWrittenAgain") {
  AcceptInStore("first");
  m_fault = HeadFault::kLostBeforeEffect;
  CHECK(RunSubmission(MakeSubmissionHead("mine", 1)).outcome ==
        SubmissionOutcome::kAccepted);
  CHECK(m_stored.head.submission == "mine");
  CHECK(m_writes == 1);
}

// Guards against reporting a submission as lost that was accepted and then
// superseded before its outcome was known.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_AnswerLostAndSuperseded_IsAccepted") {
  AcceptInStore("first");
  m_fault = HeadFault::kLostAfterEffect;
  m_after_replace = [this] { AcceptInStore("later"); };
  const SubmissionEnded ended = RunSubmission(MakeSubmissionHead("mine", 1));
  CHECK(ended.outcome == SubmissionOutcome::kAccepted);
  CHECK(ended.head.submission == "mine");
  CHECK(m_stored.head.submission == "later");
}

// Guards against the outcome "unavailable", which means that nothing was
// changed, for a write that may still take effect.
TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_StoreDownAfterWrite_IsUnknown") {
  m_fault = HeadFault::kLostAfterEffect;
  m_after_replace = [this] { m_store_down = true; };
  CHECK(RunSubmission(MakeSubmissionHead("mine", 0)).outcome ==
        SubmissionOutcome::kUnknown);
  // The operator repeats the command with the same id later.
  m_store_down = false;
  CHECK(RunSubmission(MakeSubmissionHead("mine", 0)).outcome ==
        SubmissionOutcome::kAccepted);
  CHECK(m_writes == 1);
}

TEST_CASE_FIXTURE(SheetSubmissionFixture,
                  "SheetSubmission_StoreDown_IsUnavailableAtTheDeadline") {
  m_store_down = true;
  const absl::Time start = m_now;
  CHECK(RunSubmission(MakeSubmissionHead("mine", 0)).outcome ==
        SubmissionOutcome::kUnavailable);
  CHECK(m_now - start <= absl::Seconds(6));
  CHECK(m_writes == 0);
}

}  // namespace
}  // namespace heatherwick
