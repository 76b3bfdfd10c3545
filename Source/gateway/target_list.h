// The registered targets. An entry that lapses while the store is away, or
// just after it came back, may belong to a live target that could not renew
// it; such a target stays in use until it has had time to register again.

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
  void OnEntry(const ListedTarget& target);
  // The entry no longer exists, or names no usable target.
  void OnEntryGone(const TargetId& id, absl::Time now);
  // Entries that are not in `present` are gone.
  void OnSnapshot(const std::set<TargetId>& present, absl::Time now);
  // The store could not be read at this moment.
  void OnStoreUnavailable(absl::Time now);
  // Drops lapsed targets whose time is over. Returns true when any was.
  bool Expire(absl::Time now);

  std::vector<ListedTarget> Targets() const;

 private:
  struct Entry {
    ListedTarget target;
    std::optional<absl::Time> lapsed;  // When the entry was seen to be gone.
  };

  std::map<TargetId, Entry> m_entries;
  absl::Time m_store_unavailable = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_LIST_H_
