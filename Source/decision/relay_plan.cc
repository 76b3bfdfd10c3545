// Ranks the members and lists the sources of one of them.

#include "Source/decision/relay_plan.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "Source/base/hash.h"

namespace heatherwick {
namespace {

// In an outage of the store, at most about this many members poll it, but at
// least one in each data centre. When all of 82 members did, they made 10,000
// calls in an outage of 6 s.
constexpr size_t kStoreReaders = 8;
// Relays of other data centres that a member turns to when its own path to the
// reader fails.
constexpr size_t kMaxOtherRelays = 4;
// A member without a place among the store's readers polls the store when this
// many sources have not responded.
constexpr size_t kUnresponsiveBeforeStore = 2;

struct Ranked {
  const FleetMember* member;
  uint64_t hash;

  // Lower values rank first.
  auto Key() const {
    return std::tuple(-static_cast<int64_t>(member->capacity), hash,
                      member->id);
  }
};

void Sort(std::vector<Ranked>* ranked) {
  std::sort(ranked->begin(), ranked->end(),
            [](const Ranked& a, const Ranked& b) { return a.Key() < b.Key(); });
}

// Adds `id` unless it is `self` or already listed.
void AddSource(const InstanceId& id, const InstanceId& self, RelayPlan* plan) {
  if (id != self && std::find(plan->sources.begin(), plan->sources.end(),
                              RelaySource{id}) == plan->sources.end()) {
    plan->sources.push_back({id});
  }
}

void AddRelays(const std::vector<Ranked>& relays,
               const InstanceId& self,
               RelayPlan* plan) {
  const size_t count = std::min(relays.size(), kMaxOtherRelays + 1);
  for (size_t index = 0; index < count; ++index) {
    AddSource(relays[index].member->id, self, plan);
  }
}

}  // namespace

RelayPlan PlanRelay(const std::string& table,
                    const std::vector<FleetMember>& members,
                    const InstanceId& self) {
  RelayPlan plan;
  const uint64_t seed = StableHash(table);
  std::map<DataCentreName, std::vector<Ranked>> data_centres;
  const FleetMember* own = nullptr;
  for (const FleetMember& member : members) {
    data_centres[member.data_centre].push_back(
        {&member, StableHash(member.id, seed)});
    own = member.id == self ? &member : own;
  }
  std::vector<Ranked> relays;
  for (auto& [name, ranked] : data_centres) {
    Sort(&ranked);
    relays.push_back(ranked.front());
  }
  Sort(&relays);
  if (own == nullptr) {
    // An instance that has not joined yet follows the relays. Polling the store
    // would wake it for each other member that joins.
    AddRelays(relays, self, &plan);
    plan.sources.push_back({});
    return plan;
  }

  const std::vector<Ranked>& neighbours = data_centres[own->data_centre];
  const size_t rank =
      std::find_if(neighbours.begin(), neighbours.end(),
                   [own](const Ranked& r) { return r.member == own; }) -
      neighbours.begin();
  for (size_t above = rank; above > 0;) {
    above = (above - 1) / kRelayFanOut;
    AddSource(neighbours[above].member->id, self, &plan);
  }
  const size_t readers_here =
      std::max<size_t>(1, kStoreReaders / data_centres.size());
  const bool is_reader = relays.front().member == own;
  if (!is_reader) {
    AddSource(relays.front().member->id, self, &plan);
  }
  if (rank < readers_here) {
    plan.sources.push_back({});
  } else {
    plan.unresponsive_before_store = kUnresponsiveBeforeStore;
  }
  AddRelays(relays, self, &plan);
  return plan;
}

}  // namespace heatherwick
