// Records which keys were in force when, what callers sent with them, and
// checks the statements that reached the databases against the guarantees for
// workspaces: their connections, the withdrawal of keys, and quotas.

#ifndef TESTS_PLATFORM_SOAK_WORKSPACE_HISTORY_H_
#define TESTS_PLATFORM_SOAK_WORKSPACE_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Source/decision/workspace_quota.h"
#include "Tests/platform/platform_fakes.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick::platform {

// A statement that a caller sent.
struct SentStatement {
  std::string id;
  std::string key;
  uint64_t operation = 0;  // The same for all statements of a transaction.
  absl::Time sent;         // For the operation: of its first statement.
};

class WorkspaceHistory {
 public:
  // A withdrawn key may be used for `revocation_limit`. Thread-safe, as are all
  // functions.
  WorkspaceHistory(absl::Duration revocation_limit, QuotaTolerance tolerance)
      : m_revocation_limit(revocation_limit), m_tolerance(tolerance) {}

  void SetQuota(const std::string& workspace, WorkspaceQuota quota);
  // From `time` on the key is the workspace's; it is withdrawn if that is
  // empty. To be called just after the change was stored.
  void SetKey(const std::string& key,
              const std::string& workspace,
              absl::Time time);
  void AddSent(SentStatement statement);

  // Returns one line for each violated guarantee; empty when all were kept.
  std::vector<std::string> Check(
      const std::vector<FakeStatement>& reached) const;
  std::string Summary() const;

 private:
  struct Holder {
    absl::Time since;
    std::string workspace;
  };
  struct Operation {
    absl::Time sent;
    absl::Time reached;
  };

  // True if the workspace held the key at some time from `from` to `to`.
  bool Held(const std::string& key,
            const std::string& workspace,
            absl::Time from,
            absl::Time to) const;
  // The most operations that were sent and reached a database in a window.
  size_t Most(std::vector<Operation> operations) const;

  const absl::Duration m_revocation_limit;
  const QuotaTolerance m_tolerance;
  mutable absl::Mutex m_mutex;
  std::map<std::string, WorkspaceQuota> m_quotas;
  std::map<std::string, std::vector<Holder>> m_holders;  // By key, in order.
  std::map<std::string, SentStatement> m_sent;           // By id.
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_WORKSPACE_HISTORY_H_
