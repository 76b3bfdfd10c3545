// Keeps the sum of what the holders report, and the order of their messages.

#include "Source/decision/memory_budget.h"

#include <algorithm>
#include <utility>

namespace heatherwick {

MemoryBudget::HolderId MemoryBudget::Add() {
  m_holders[m_next_id];
  return m_next_id++;
}

void MemoryBudget::Remove(HolderId id, absl::Time now) {
  Report(id, {}, now);
  m_holders.erase(id);
}

void MemoryBudget::Report(HolderId id, const MemoryUse& use, absl::Time now) {
  const auto found = m_holders.find(id);
  if (found == m_holders.end()) {
    return;
  }
  Holder& holder = found->second;
  m_total = m_total - holder.use.Total() + use.Total();
  m_long_running -= holder.use.running > m_limits.small ? 1 : 0;
  m_long_running += use.running > m_limits.small ? 1 : 0;
  holder.use = use;
  const bool has_turn = use.message_unfinished && use.input > m_limits.small;
  if (has_turn && holder.turn == 0) {
    holder.turn = m_next_turn++;
    m_turns[holder.turn] = id;
  } else if (!has_turn && holder.turn != 0) {
    m_turns.erase(holder.turn);
    holder.turn = 0;
  }
  const HolderId favoured = m_turns.empty() ? 0 : m_turns.begin()->second;
  if (!Pressed() || m_turns.size() < 2) {
    m_favoured = 0;
    m_favoured_since = absl::InfiniteFuture();
  } else if (favoured != m_favoured) {
    m_favoured = favoured;
    m_favoured_since = now;
  }
}

bool MemoryBudget::MayReceive(HolderId id) const {
  const auto found = m_holders.find(id);
  if (found == m_holders.end() || !Pressed()) {
    return true;
  }
  return found->second.use.Total() <= m_limits.small ||
         (!m_turns.empty() && m_turns.begin()->second == id);
}

bool MemoryBudget::MayRun(HolderId id, size_t bytes) const {
  if (bytes <= m_limits.small || m_long_running == 0) {
    return true;
  }
  const auto found = m_holders.find(id);
  return found == m_holders.end() ||
         m_total + bytes <= m_limits.total - m_limits.total / 4;
}

std::vector<MemoryBudget::HolderId> MemoryBudget::ToClose(absl::Time now) {
  std::vector<HolderId> closed;
  size_t remaining = m_total;
  if (m_favoured != 0 && now - m_favoured_since > m_limits.turn) {
    closed.push_back(m_favoured);
    remaining -= m_holders.at(m_favoured).use.Total();
  }
  if (remaining <= m_limits.total) {
    return closed;
  }
  std::vector<std::pair<HolderId, const MemoryUse*>> largest;
  for (const auto& [id, holder] : m_holders) {
    if (holder.use.Total() > 0 && (closed.empty() || closed.front() != id)) {
      largest.emplace_back(id, &holder.use);
    }
  }
  std::stable_sort(
      largest.begin(), largest.end(), [](const auto& left, const auto& right) {
        if (left.second->in_transaction != right.second->in_transaction) {
          return right.second->in_transaction;
        }
        return left.second->Total() > right.second->Total();
      });
  for (const auto& [id, use] : largest) {
    if (remaining <= m_limits.total) {
      break;
    }
    closed.push_back(id);
    remaining -= use->Total();
  }
  return closed;
}

}  // namespace heatherwick
