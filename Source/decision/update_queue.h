// Member updates that wait to be passed on. Each is sent a bounded number of
// times; those sent least often go first, the newest first among them.

#ifndef SOURCE_DECISION_UPDATE_QUEUE_H_
#define SOURCE_DECISION_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/member_record.h"
#include "absl/container/btree_map.h"

namespace heatherwick {

class UpdateQueue {
 public:
  // Replaces an older update of the same member.
  void Add(const MemberRecord& record);

  // Appends at most `count` updates, those sent least often first, and
  // forgets the ones that have now been sent `send_limit` times. Updates
  // about `except` are passed over.
  void Take(size_t count,
            size_t send_limit,
            const InstanceId& except,
            std::vector<MemberRecord>* out);

  size_t Size() const { return m_pending.size(); }
  // Updates that were sent fewer than `sends` times.
  size_t CountSentLessThan(size_t sends) const;

 private:
  struct Pending {
    MemberRecord record;
    size_t sent = 0;
    uint64_t order = 0;  // Grows with each Add.
  };

  absl::btree_map<InstanceId, Pending> m_pending;
  uint64_t m_last_order = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_UPDATE_QUEUE_H_
