// Guards against a check of the soak that passes whatever the instances do.

#include "Tests/platform/soak/workspace_history.h"

#include <string>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class WorkspaceHistoryFixture {
 protected:
  WorkspaceHistoryFixture() { m_history.SetKey("k", "w", At(0)); }

  static absl::Time At(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
  }
  // A statement that is an operation of its own.
  void Run(double sent, double received, const std::string& workspace = "w") {
    Run(sent, received, workspace, m_reached.size() + 1000);
  }
  void Run(double sent,
           double received,
           const std::string& workspace,
           uint64_t operation) {
    const std::string id = std::to_string(m_reached.size());
    m_history.AddSent({id, "k", operation, At(sent)});
    m_reached.push_back({id, workspace, At(received)});
  }
  size_t Violations() const { return m_history.Check(m_reached).size(); }

  WorkspaceHistory m_history{absl::Seconds(5), {absl::Seconds(5), 0.1, 20}};
  std::vector<FakeStatement> m_reached;
};

TEST_CASE_FIXTURE(WorkspaceHistoryFixture,
                  "WorkspaceHistory_OtherWorkspace_IsAViolation") {
  Run(1, 2);
  CHECK(Violations() == 0);
  Run(1, 2, "v");
  CHECK(Violations() == 1);
}

TEST_CASE_FIXTURE(WorkspaceHistoryFixture,
                  "WorkspaceHistory_WithdrawnKey_MayBeUsedForTheLimit") {
  m_history.SetKey("k", "", At(10));
  Run(14.9, 16);
  CHECK(Violations() == 0);
  Run(15.5, 15.6);
  CHECK(Violations() == 1);
}

TEST_CASE_FIXTURE(WorkspaceHistoryFixture,
                  "WorkspaceHistory_MovedKey_BothWorkspacesForTheLimit") {
  m_history.SetKey("k", "v", At(10));
  Run(12, 13, "w");
  Run(12, 13, "v");
  CHECK(Violations() == 0);
  Run(9, 9.5, "v");
  CHECK(Violations() == 1);
  Run(16, 17, "w");
  CHECK(Violations() == 2);
}

TEST_CASE_FIXTURE(WorkspaceHistoryFixture,
                  "WorkspaceHistory_MoreThanTheQuota_IsAViolation") {
  m_history.SetQuota("w", {4, 0});  // 42 operations in 5 s.
  for (int i = 0; i < 42; ++i) {
    Run(0.1 * i, 0.1 * i + 0.01);
  }
  // A transaction counts once, and what arrives after the window does not.
  Run(1, 1.1, "w", 1000);
  Run(4.9, 6);
  CHECK(Violations() == 0);
  Run(4.9, 4.95);
  CHECK(Violations() == 1);
}

}  // namespace
}  // namespace heatherwick::platform
