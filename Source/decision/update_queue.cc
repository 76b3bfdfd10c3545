// Selection of the updates for one message.

#include "Source/decision/update_queue.h"

#include <algorithm>
#include <utility>

namespace heatherwick {

void UpdateQueue::Add(const MemberRecord& record) {
  m_pending[record.id] = Pending{record, 0, ++m_last_order};
}

void UpdateQueue::Take(size_t count,
                       size_t send_limit,
                       const InstanceId& except,
                       std::vector<MemberRecord>* out) {
  struct Choice {
    size_t sent;
    uint64_t order;
    InstanceId id;
  };
  std::vector<Choice> choices;
  choices.reserve(m_pending.size());
  for (const auto& [id, pending] : m_pending) {
    if (id != except) {
      choices.push_back({pending.sent, pending.order, id});
    }
  }
  count = std::min(count, choices.size());
  std::partial_sort(choices.begin(),
                    choices.begin() + static_cast<ptrdiff_t>(count),
                    choices.end(), [](const Choice& left, const Choice& right) {
                      return left.sent != right.sent ? left.sent < right.sent
                                                     : left.order > right.order;
                    });
  for (size_t i = 0; i < count; ++i) {
    const auto found = m_pending.find(choices[i].id);
    out->push_back(found->second.record);
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
