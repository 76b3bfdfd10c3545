// Delivery of messages under faults.

#include "Tests/scenarios/network.h"

namespace heatherwick {

namespace {

constexpr int64_t kShortestDelayUs = 500;
constexpr int64_t kLongestDelayUs = 3000;
constexpr int64_t kLongestFaultyDelayUs = 3000000;

}  // namespace

void Network::Kill(const std::string& node) {
  m_nodes[node].alive = false;
  m_nodes[node].paused = false;
  m_nodes[node].waiting.clear();
  ++m_nodes[node].incarnation;
}

void Network::Restart(const std::string& node) {
  m_nodes[node].alive = true;
}

void Network::Resume(const std::string& node) {
  m_nodes[node].paused = false;
  const auto waiting = std::exchange(m_nodes[node].waiting, {});
  for (const auto& event : waiting) {
    AtNode(node, event);
  }
}

void Network::Send(const std::string& from,
                   const std::string& to,
                   std::function<void()> arrival) {
  if (m_cuts.contains({from, to}) || Chance(m_faults.loss)) {
    return;
  }
  int64_t delay = Draw(kShortestDelayUs, kLongestDelayUs);
  if (Chance(m_faults.long_delay)) {
    delay = Draw(kShortestDelayUs, kLongestFaultyDelayUs);
  }
  const auto extra = m_delays.find({from, to});
  m_queue->After(
      absl::Microseconds(delay) +
          (extra == m_delays.end() ? absl::ZeroDuration() : extra->second),
      std::move(arrival));
}

void Network::AtNode(const std::string& node, std::function<void()> event) {
  Node& state = m_nodes[node];
  if (!state.alive) {
    return;
  }
  if (state.paused) {
    state.waiting.push_back(std::move(event));
  } else {
    event();
  }
}

}  // namespace heatherwick
