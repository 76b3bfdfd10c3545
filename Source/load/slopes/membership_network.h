// Drives many Membership objects over a queue of messages in virtual time. It
// is only meant for measurements: it models latency, message loss and network
// partitions, and nothing else.

#ifndef SOURCE_LOAD_SLOPES_MEMBERSHIP_NETWORK_H_
#define SOURCE_LOAD_SLOPES_MEMBERSHIP_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Source/decision/membership.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace heatherwick {

struct NetworkOptions {
  size_t regions = 1;
  size_t nodes_per_region = 6;
  // One way, within a region and between regions.
  absl::Duration latency = absl::Microseconds(1500);
  absl::Duration cross_latency = absl::Milliseconds(60);
  // Fraction of the probes whose message or reply does not arrive in time.
  double loss = 0;
  uint64_t seed = 1;
  MembershipOptions membership;
};

class MembershipNetwork {
 public:
  explicit MembershipNetwork(NetworkOptions options);
  ~MembershipNetwork();

  void Run(absl::Duration duration);
  absl::Time Now() const { return m_now; }

  size_t Size() const { return m_nodes.size(); }
  size_t RegionOf(size_t node) const {
    return node / m_options.nodes_per_region;
  }
  bool IsUp(size_t node) const { return m_nodes[node]->up; }
  void Crash(size_t node) { m_nodes[node]->up = false; }
  void Leave(size_t node);
  void Restart(size_t node);
  // Partitions the region from all others, or heals the partition.
  void PartitionRegion(size_t region, bool partitioned) {
    m_partitioned[region] = partitioned;
  }
  void SetSheet(size_t node, uint64_t version);
  uint64_t Sheet(size_t node) const { return m_nodes[node]->sheet; }

  // The state that `observer` has recorded for `member`; kCandidate if it does
  // not know the member.
  MemberState StateAt(size_t observer, size_t member) const;
  const Membership& MembershipAt(size_t node) const {
    return *m_nodes[node]->membership;
  }

  // Totals of all nodes since the last reset.
  struct Traffic {
    uint64_t messages = 0;
    uint64_t bytes = 0;   // Encoded size without headers.
    uint64_t deaths = 0;  // Changes to the state dead, by all observers.
  };
  const Traffic& TrafficSinceReset() const { return m_traffic; }
  void ResetTraffic() { m_traffic = {}; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool up = true;
    uint64_t starts = 1;
    uint64_t sheet = 1;
  };
  struct Event {
    absl::Time at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  using Actions = std::vector<MembershipAction>;

  MemberRecord RecordOf(size_t node) const;
  void JoinAll();
  void Join(size_t node, const std::vector<MemberRecord>& all);
  void Schedule(absl::Duration after, std::function<void()> run);
  void ScheduleTick(size_t node, absl::Duration after);
  bool Connected(size_t from, size_t to) const;
  bool Arrives(size_t from, size_t to);
  absl::Duration Latency(size_t from, size_t to) const;
  void Perform(size_t node, const Actions& actions);
  void Send(size_t from, const SendProbe& send);
  void Receive(size_t from, size_t to, const SendProbe& send);
  void Reply(size_t from, size_t to, const SendProbe& send, bool alive);
  void FailProbe(size_t from, ProbeId probe);
  // Encodes and decodes the updates as the runtime does, counts the message and
  // returns the decoded updates.
  std::vector<MemberRecord> Transfer(const MemberRecord& sender,
                                     const std::vector<MemberRecord>& updates);
  // Lets node `to` fetch the sheet from `from` if `version` is newer than its
  // own.
  void FetchNewerSheet(size_t to, size_t from, uint64_t version);

  const NetworkOptions m_options;
  std::mt19937_64 m_random;
  absl::Time m_now = absl::UnixEpoch();
  uint64_t m_last_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<std::unique_ptr<Node>> m_nodes;
  absl::flat_hash_map<std::string, size_t> m_index;  // By id and by address.
  std::vector<bool> m_partitioned;
  Traffic m_traffic;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_MEMBERSHIP_NETWORK_H_
