// A simulated network for calls between named nodes in virtual time. It can
// inject partitions, lost, delayed and duplicated messages, and nodes that are
// paused or dead.

#ifndef TESTS_SCENARIOS_NETWORK_H_
#define TESTS_SCENARIOS_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Tests/scenarios/event_queue.h"
#include "absl/time/time.h"

namespace heatherwick {

struct NetworkFaults {
  double loss = 0;        // Fraction of messages that are lost.
  double long_delay = 0;  // Fraction of messages that take up to 3 s.
  double repeat = 0;      // Fraction of repeatable requests delivered twice.
};

class Network {
 public:
  Network(EventQueue* queue, uint64_t seed) : m_queue(queue), m_random(seed) {}

  void SetFaults(const NetworkFaults& faults) { m_faults = faults; }
  // Cuts one direction only.
  void Cut(const std::string& from, const std::string& to) {
    m_cuts.insert({from, to});
  }
  void Heal() {
    m_cuts.clear();
    m_delays.clear();
  }
  void Delay(const std::string& from,
             const std::string& to,
             absl::Duration delay) {
    m_delays[{from, to}] = delay;
  }

  void Kill(const std::string& node);
  void Restart(const std::string& node);
  void Pause(const std::string& node) { m_nodes[node].paused = true; }
  void Resume(const std::string& node);
  bool IsRunning(const std::string& node) {
    return m_nodes[node].alive && !m_nodes[node].paused;
  }
  bool IsAlive(const std::string& node) { return m_nodes[node].alive; }
  uint64_t Incarnation(const std::string& node) {
    return m_nodes[node].incarnation;
  }

  // Runs `serve` at `to` and then `done` at `from` with the reply, or with
  // std::nullopt if no reply arrives within `timeout`. `done` runs at most
  // once, and not at all if `from` is dead or has been restarted since.
  template <typename Reply>
  void Call(const std::string& from,
            const std::string& to,
            absl::Duration timeout,
            bool repeatable,
            std::function<Reply()> serve,
            std::function<void(std::optional<Reply>)> done) {
    auto pending = std::make_shared<bool>(true);
    const uint64_t incarnation = Incarnation(from);
    const auto finish = [this, from, incarnation, pending,
                         done](std::optional<Reply> reply) {
      RunAtNode(from, [this, from, incarnation, pending, done, reply] {
        if (*pending && Incarnation(from) == incarnation) {
          *pending = false;
          done(reply);
        }
      });
    };
    const auto request = [this, from, to, serve, finish] {
      RunAtNode(to, [this, from, to, serve, finish] {
        const Reply reply = serve();
        Send(to, from, [finish, reply] { finish(reply); });
      });
    };
    Send(from, to, request);
    if (repeatable && Chance(m_faults.repeat)) {
      Send(from, to, request);
    }
    m_queue->After(timeout, [finish] { finish(std::nullopt); });
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }
  int64_t DrawUniform(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(m_random);
  }

 private:
  struct Node {
    bool alive = true;
    bool paused = false;
    uint64_t incarnation = 1;
    std::vector<std::function<void()>> deferred_events;  // Run on resume.
  };

  void Send(const std::string& from,
            const std::string& to,
            std::function<void()> on_arrival);
  // Runs the event at the node: at once if the node runs, on resume if it is
  // paused, and never if it is dead.
  void RunAtNode(const std::string& node, std::function<void()> event);

  EventQueue* const m_queue;
  std::mt19937_64 m_random;
  NetworkFaults m_faults;
  std::map<std::string, Node> m_nodes;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::map<std::pair<std::string, std::string>, absl::Duration> m_delays;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_NETWORK_H_
