// Selection of the updates for one message.

#include "Source/decision/update_queue.h"

#include <algorithm>
#include <utility>

namespace heatherwick {

void UpdateQueue::Add(const MemberRecord& record) {
  m_pending[record.id] = Pending{record, 0};
}

void UpdateQueue::Take(size_t count,
                       size_t send_limit,
                       const InstanceId& except,
                       std::vector<MemberRecord>* out) {
  std::vector<std::pair<size_t, InstanceId>> order;
  order.reserve(m_pending.size());
  for (const auto& [id, pending] : m_pending) {
    if (id != except) {
      order.emplace_back(pending.sent, id);
    }
  }
  count = std::min(count, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<ptrdiff_t>(count), order.end());
  for (size_t i = 0; i < count; ++i) {
    const auto found = m_pending.find(order[i].second);
    out->push_back(found->second.record);
    if (++found->second.sent >= send_limit) {
      m_pending.erase(found);
    }
  }
}

}  // namespace heatherwick
