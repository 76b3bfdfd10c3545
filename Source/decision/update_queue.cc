// Selects the updates for one message.

#include "Source/decision/update_queue.h"

#include <algorithm>
#include <utility>

namespace heatherwick {

void UpdateQueue::Add(const MemberRecord& record) {
  m_pending[record.id] = PendingUpdate{record, 0, ++m_last_added_order};
}

void UpdateQueue::Take(size_t count,
                       size_t send_limit,
                       const InstanceId& excluded,
                       std::vector<MemberRecord>* updates) {
  struct Candidate {
    size_t sent;
    uint64_t added_order;
    InstanceId id;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(m_pending.size());
  for (const auto& [id, pending] : m_pending) {
    if (id != excluded) {
      candidates.push_back({pending.sent, pending.added_order, id});
    }
  }
  count = std::min(count, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count),
      candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.sent != right.sent ? left.sent < right.sent
                                       : left.added_order > right.added_order;
      });
  for (size_t i = 0; i < count; ++i) {
    const auto found = m_pending.find(candidates[i].id);
    updates->push_back(found->second.record);
    if (++found->second.sent >= send_limit) {
      m_pending.erase(found);
    }
  }
}

size_t UpdateQueue::CountSentLessThan(size_t sends) const {
  size_t count = 0;
  for (const auto& [id, pending] : m_pending) {
    count += pending.sent < sends ? 1 : 0;
  }
  return count;
}

}  // namespace heatherwick
