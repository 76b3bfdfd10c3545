// Grace for entries that lapsed around an outage of the store.

#include "Source/gateway/target_list.h"

namespace heatherwick {
namespace {

// Live targets register again within about 2 s of the store's return.
constexpr absl::Duration kReturnGrace = absl::Milliseconds(2300);
// An outage this recent may have made an entry lapse.
constexpr absl::Duration kOutageMemory = absl::Seconds(5);

}  // namespace

void TargetList::OnEntry(const ListedTarget& target) {
  m_entries[target.id] = {target, std::nullopt};
}

void TargetList::OnEntryGone(const TargetId& id, absl::Time now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  if (found->second.target.draining ||
      now - m_store_unavailable > kOutageMemory) {
    m_entries.erase(found);
  } else if (!found->second.lapsed) {
    found->second.lapsed = now;
  }
}

void TargetList::OnSnapshot(const std::set<TargetId>& present, absl::Time now) {
  std::vector<TargetId> gone;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const TargetId& id : gone) {
    OnEntryGone(id, now);
  }
}

void TargetList::OnStoreUnavailable(absl::Time now) {
  m_store_unavailable = now;
}

bool TargetList::Expire(absl::Time now) {
  return std::erase_if(m_entries, [now](const auto& entry) {
           return entry.second.lapsed &&
                  now - *entry.second.lapsed > kReturnGrace;
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
