// Queues the member updates that wait to be passed on. Each is sent a bounded
// number of times. Updates sent least often go first, and the newest first
// among these.

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

  // Appends at most `count` updates to `updates`, those sent least often first,
  // and removes those from the queue that have now been sent `send_limit`
  // times. Updates about `excluded` are skipped.
  void Take(size_t count,
            size_t send_limit,
            const InstanceId& excluded,
            std::vector<MemberRecord>* updates);

  size_t Size() const { return m_pending.size(); }
  // Returns the number of updates that were sent fewer than `sends` times.
  size_t CountSentLessThan(size_t sends) const;

 private:
  struct PendingUpdate {
    MemberRecord record;
    size_t sent = 0;
    uint64_t added_order = 0;  // Grows with each Add.
  };

  absl::btree_map<InstanceId, PendingUpdate> m_pending;
  uint64_t m_last_added_order = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_UPDATE_QUEUE_H_
