// The registered targets. An entry that disappears during an outage of the
// store, or shortly after, may belong to a live target that could not renew it.
// Such a target stays in use until it has had time to register again. So does
// one whose entry is older than the one that was known, after the store has
// returned from a copy.

#ifndef SOURCE_GATEWAY_TARGET_LIST_H_
#define SOURCE_GATEWAY_TARGET_LIST_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/gateway/configuration.h"
#include "absl/time/time.h"

namespace heatherwick {

class TargetList {
 public:
  void OnEntry(const ListedTarget& target, absl::Time now);
  // The entry was removed, or no longer describes a usable target.
  void OnEntryRemoved(const TargetId& id, absl::Time now);
  // Treats all entries that are not in `present` as removed.
  void OnSnapshot(const std::set<TargetId>& present, absl::Time now);
  // Records that the store could not be read at `now`.
  void OnStoreUnavailable(absl::Time now);
  // The store has returned from an older copy. Live targets write their entries
  // again.
  void OnStoreReturned(absl::Time now);
  // Drops the missing targets whose grace period has ended. Returns true if any
  // was dropped.
  bool RemoveExpired(absl::Time now);

  std::vector<ListedTarget> Targets() const;

 private:
  struct Entry {
    ListedTarget target;
    // When the entry was found missing.
    std::optional<absl::Time> missing_since;
  };

  std::map<TargetId, Entry> m_entries;
  absl::Time m_last_store_outage = absl::InfinitePast();
  absl::Time m_store_returned = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_LIST_H_
