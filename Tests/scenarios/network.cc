// Delivers messages and applies the injected faults.

#include "Tests/scenarios/network.h"

namespace heatherwick {

namespace {

constexpr int64_t kMinDelayUs = 500;
constexpr int64_t kMaxDelayUs = 3000;
constexpr int64_t kMaxFaultyDelayUs = 3000000;

}  // namespace

void Network::Kill(const std::string& node) {
  m_nodes[node].alive = false;
  m_nodes[node].paused = false;
  m_nodes[node].deferred_events.clear();
  ++m_nodes[node].incarnation;
}

void Network::Restart(const std::string& node) {
  m_nodes[node].alive = true;
}

void Network::Resume(const std::string& node) {
  m_nodes[node].paused = false;
  const auto deferred_events = std::exchange(m_nodes[node].deferred_events, {});
  for (const auto& event : deferred_events) {
    RunAtNode(node, event);
  }
}

void Network::Send(const std::string& from,
                   const std::string& to,
                   std::function<void()> on_arrival) {
  if (m_cuts.contains({from, to}) || Chance(m_faults.loss)) {
    return;
  }
  int64_t delay = DrawUniform(kMinDelayUs, kMaxDelayUs);
  if (Chance(m_faults.long_delay)) {
    delay = DrawUniform(kMinDelayUs, kMaxFaultyDelayUs);
  }
  const auto extra_delay = m_delays.find({from, to});
  m_queue->After(absl::Microseconds(delay) + (extra_delay == m_delays.end()
                                                  ? absl::ZeroDuration()
                                                  : extra_delay->second),
                 std::move(on_arrival));
}

void Network::RunAtNode(const std::string& node, std::function<void()> event) {
  Node& state = m_nodes[node];
  if (!state.alive) {
    return;
  }
  if (state.paused) {
    state.deferred_events.push_back(std::move(event));
  } else {
    event();
  }
}

}  // namespace heatherwick
