// Looks keys up and compares the age of the configuration with the limit.

#include "Source/decision/workspace_access.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

// Allows for clocks of the instance and of the store that do not run at exactly
// the same rate.
constexpr absl::Duration kClockMargin = absl::Milliseconds(100);

}  // namespace

void WorkspaceAccess::SetKeys(
    absl::flat_hash_map<std::string, WorkspaceName> keys) {
  m_keys_needed = true;
  m_keys = std::move(keys);
}

void WorkspaceAccess::AdmitAll() {
  m_keys_needed = false;
  m_keys.clear();
}

void WorkspaceAccess::OnReading(absl::Time as_of) {
  m_as_of = std::max(m_as_of, as_of);
}

bool WorkspaceAccess::Fresh(absl::Time now) const {
  return !m_keys_needed || !m_revocation_limit ||
         now < m_as_of + *m_revocation_limit - kClockMargin;
}

Access WorkspaceAccess::Check(const std::string& key,
                              bool is_public,
                              absl::Time now) const {
  if (!m_keys_needed) {
    return {};
  }
  const auto found = m_keys.find(key);
  const bool known = found != m_keys.end();
  if (known && Fresh(now)) {
    return {AccessOutcome::kGranted, found->second};
  }
  if (is_public) {
    return {};
  }
  return {
      known ? AccessOutcome::kConfigurationStale : AccessOutcome::kUnknownKey,
      ""};
}

}  // namespace heatherwick
