// Guards against reads that lack commits they must see.

#include "Source/gateway/read_evidence.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

class EvidenceFixture {
 protected:
  ReadEvidence m_evidence;
};

TEST_CASE_FIXTURE(EvidenceFixture, "ReadEvidence_NothingKnown_CoversNothing") {
  CHECK_FALSE(m_evidence.Covering(At(0)).has_value());
}

TEST_CASE_FIXTURE(EvidenceFixture,
                  "ReadEvidence_EntrySentBeforeMoment_DoesNotCoverIt") {
  m_evidence.Add(At(100), {1, 5});
  CHECK_FALSE(m_evidence.Covering(At(101)).has_value());
  CHECK(m_evidence.Covering(At(100)) == Position{1, 5});
}

// The lowest sufficient position lets the most replicas serve.
TEST_CASE_FIXTURE(EvidenceFixture,
                  "ReadEvidence_SeveralEntries_ReturnsLowestSufficient") {
  m_evidence.Add(At(100), {1, 5});
  m_evidence.Add(At(200), {1, 9});
  m_evidence.Add(At(300), {1, 12});
  CHECK(m_evidence.Covering(At(150)) == Position{1, 9});
}

TEST_CASE_FIXTURE(EvidenceFixture,
                  "ReadEvidence_AnswersOvertakeEachOther_KeepsOrder") {
  m_evidence.Add(At(200), {1, 9});
  m_evidence.Add(At(100), {1, 12});
  CHECK(m_evidence.Covering(At(50)) == Position{1, 9});
  CHECK(m_evidence.NewestSent() == At(200));
}

TEST_CASE_FIXTURE(EvidenceFixture, "ReadEvidence_Cleared_CoversNothing") {
  m_evidence.Add(At(200), {1, 9});
  m_evidence.Clear();
  CHECK_FALSE(m_evidence.Covering(At(0)).has_value());
}

}  // namespace
}  // namespace heatherwick
