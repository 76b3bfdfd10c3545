// Decides whether a caller's key admits it, and to which workspace.
//
// Answers the load in which operators withdraw keys while callers are connected
// and part of the instances, or all, cannot read the configuration. With a
// revocation limit, an instance whose newest reading of the configuration is
// older than the limit serves no caller that needs a key: every withdrawal that
// it does not know was stored after that reading, and may already have to be
// in force.

#ifndef SOURCE_DECISION_WORKSPACE_ACCESS_H_
#define SOURCE_DECISION_WORKSPACE_ACCESS_H_

#include <optional>
#include <string>

#include "Source/base/types.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class AccessOutcome {
  kGranted,
  kUnknownKey,         // No workspace has the key.
  kConfigurationStale  // A withdrawal that must be in force may be unknown.
};

struct Access {
  AccessOutcome outcome = AccessOutcome::kGranted;
  // The workspace that has the key. Empty if none is needed.
  WorkspaceName workspace;
};

class WorkspaceAccess {
 public:
  // A withdrawn key may be used for `limit` after the withdrawal was stored.
  // Without a limit, the age of the configuration is not considered.
  void SetRevocationLimit(std::optional<absl::Duration> limit) {
    m_revocation_limit = limit;
  }

  // Replaces the keys by those of a new configuration.
  void SetKeys(absl::flat_hash_map<std::string, WorkspaceName> keys);
  // The configuration has no workspaces, so that no caller needs a key.
  void AdmitAll();
  // The configuration in use was the newest one at `as_of`, which is not later
  // than the read of the store.
  void OnReading(absl::Time as_of);

  Access Check(const std::string& key, bool is_public, absl::Time now) const;
  // False while callers that need a key are refused because of the age of the
  // configuration.
  bool Fresh(absl::Time now) const;
  // When the configuration in use is known to have been the newest one.
  absl::Time AsOf() const { return m_as_of; }

 private:
  std::optional<absl::Duration> m_revocation_limit;
  bool m_keys_needed = false;
  absl::flat_hash_map<std::string, WorkspaceName> m_keys;
  absl::Time m_as_of = absl::InfinitePast();  // Never decreases.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_WORKSPACE_ACCESS_H_
