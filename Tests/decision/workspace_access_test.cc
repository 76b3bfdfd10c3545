// Guards against callers that are served with a key that was withdrawn, and
// against refusals of callers whose keys are in force.

#include "Source/decision/workspace_access.h"

#include <string>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(5);

class WorkspaceAccessFixture {
 protected:
  WorkspaceAccessFixture() {
    m_access.SetRevocationLimit(kLimit);
    m_access.SetKeys({{"k1", "w"}, {"k2", "w"}, {"k3", "v"}});
    m_access.OnReading(m_now);
  }
  AccessOutcome Check(const std::string& key, bool is_public = false) const {
    return m_access.Check(key, is_public, m_now).outcome;
  }

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  WorkspaceAccess m_access;
};

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_KnownKey_GrantsItsWorkspace") {
  const Access access = m_access.Check("k3", false, m_now);
  CHECK(access.outcome == AccessOutcome::kGranted);
  CHECK(access.workspace == "v");
}

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_UnknownOrNoKey_IsRefused") {
  CHECK(Check("other") == AccessOutcome::kUnknownKey);
  CHECK(Check("") == AccessOutcome::kUnknownKey);
}

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_PublicRoute_NeedsNoKey") {
  CHECK(Check("", true) == AccessOutcome::kGranted);
  CHECK(m_access.Check("other", true, m_now).workspace.empty());
  CHECK(m_access.Check("k1", true, m_now).workspace == "w");
}

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_NoWorkspaces_AdmitsAll") {
  m_access.AdmitAll();
  m_now += absl::Hours(1);
  CHECK(Check("other") == AccessOutcome::kGranted);
  CHECK(m_access.Fresh(m_now));
}

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_KeyWithdrawnMovedAndAdded_NewestCounts") {
  m_access.SetKeys({{"k1", "v"}});
  CHECK(m_access.Check("k1", false, m_now).workspace == "v");
  CHECK(Check("k2") == AccessOutcome::kUnknownKey);
  m_access.SetKeys({{"k1", "v"}, {"k2", "w"}});
  CHECK(Check("k2") == AccessOutcome::kGranted);
}

// An instance that cannot read the configuration, or that was frozen, must not
// use a key that may have been withdrawn more than the limit ago.
TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_NoReadingWithinLimit_RefusesKnownKeys") {
  m_now += kLimit - absl::Milliseconds(101);
  CHECK(Check("k1") == AccessOutcome::kGranted);
  m_now += absl::Milliseconds(1);
  CHECK(Check("k1") == AccessOutcome::kConfigurationStale);
  CHECK(Check("", true) == AccessOutcome::kGranted);
  CHECK_FALSE(m_access.Fresh(m_now));
  m_access.OnReading(m_now - absl::Seconds(1));
  CHECK(Check("k1") == AccessOutcome::kGranted);
}

// A reading that was relayed slowly must not extend the use of keys beyond what
// its own time allows.
TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_RelayedReadingIsOld_ItsOwnTimeCounts") {
  m_now += absl::Seconds(4);
  m_access.OnReading(m_now - absl::Milliseconds(4500));
  m_now += absl::Seconds(1);
  CHECK(Check("k1") == AccessOutcome::kConfigurationStale);
}

TEST_CASE_FIXTURE(WorkspaceAccessFixture,
                  "WorkspaceAccess_NoLimit_AgeIsNotConsidered") {
  m_access.SetRevocationLimit(std::nullopt);
  m_now += absl::Hours(1);
  CHECK(Check("k1") == AccessOutcome::kGranted);
}

}  // namespace
}  // namespace heatherwick
