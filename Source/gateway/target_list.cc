// Keeps targets whose entries disappeared around an outage of the store for a
// grace period.

#include "Source/gateway/target_list.h"

namespace heatherwick {
namespace {

// Live targets register again within about 2 s after the store is reachable
// again.
constexpr absl::Duration kReregistrationGracePeriod = absl::Milliseconds(2300);
// An entry that disappears within this time after an outage may have expired
// because of it.
constexpr absl::Duration kOutageWindow = absl::Seconds(5);

bool IsOlder(const ListedTarget& entry, const ListedTarget& known) {
  return entry.started_unix_ms < known.started_unix_ms ||
         (entry.started_unix_ms == known.started_unix_ms &&
          entry.sequence < known.sequence);
}

}  // namespace

void TargetList::OnEntry(const ListedTarget& target, absl::Time now) {
  const auto known = m_entries.find(target.id);
  if (known != m_entries.end() && IsOlder(target, known->second.target) &&
      now - m_store_returned <= kOutageWindow) {
    // The copy's entry tells nothing of the target's present run.
    if (!known->second.missing_since) {
      known->second.missing_since = now;
    }
    return;
  }
  m_entries[target.id] = {target, std::nullopt};
}

void TargetList::OnEntryRemoved(const TargetId& id, absl::Time now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  if (found->second.target.draining ||
      now - m_last_store_outage > kOutageWindow) {
    m_entries.erase(found);
  } else if (!found->second.missing_since) {
    found->second.missing_since = now;
  }
}

void TargetList::OnSnapshot(const std::set<TargetId>& present, absl::Time now) {
  std::vector<TargetId> removed;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const TargetId& id : removed) {
    OnEntryRemoved(id, now);
  }
}

void TargetList::OnStoreReturned(absl::Time now) {
  m_last_store_outage = now;
  m_store_returned = now;
}

void TargetList::OnStoreUnavailable(absl::Time now) {
  m_last_store_outage = now;
}

bool TargetList::RemoveExpired(absl::Time now) {
  return std::erase_if(m_entries, [now](const auto& entry) {
           return entry.second.missing_since &&
                  now - *entry.second.missing_since >
                      kReregistrationGracePeriod;
         }) > 0;
}

std::vector<ListedTarget> TargetList::Targets() const {
  std::vector<ListedTarget> targets;
  targets.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    targets.push_back(entry.target);
  }
  return targets;
}

}  // namespace heatherwick
