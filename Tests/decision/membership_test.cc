// Tests the membership state machine over an in-process network that delivers
// messages without delay.

#include "Source/decision/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class MembershipFixture {
 protected:
  // Starts an instance. Its address is the same as its name.
  void Start(const InstanceId& id, const std::string& incarnation = "1") {
    m_nodes[id] = std::make_unique<Membership>(
        Record(id, incarnation), MembershipOptions{}, m_random, m_now);
  }
  void StartAll(int count) {
    for (int i = 0; i < count; ++i) {
      Start(NodeName(i));
    }
    for (const auto& [id, node] : m_nodes) {
      DeliverList(id, AllRecords());
    }
    Run(absl::Seconds(10));
  }
  void Stop(const InstanceId& id) { m_nodes.erase(id); }

  static InstanceId NodeName(int i) {
    return std::string(1, static_cast<char>('a' + i));
  }
  static MemberRecord Record(const InstanceId& id,
                             const std::string& incarnation = "1",
                             MemberState state = MemberState::kAlive,
                             uint64_t generation = 0) {
    return {id, id, "dc-" + id, "region", incarnation, generation, state};
  }
  std::vector<MemberRecord> AllRecords() const {
    std::vector<MemberRecord> all;
    for (const auto& [id, node] : m_nodes) {
      all.push_back(Record(id));
    }
    return all;
  }

  void DeliverList(const InstanceId& at,
                   const std::vector<MemberRecord>& listed) {
    std::vector<MembershipAction> actions;
    m_nodes.at(at)->OnInstanceList(listed, m_now, &actions);
    ExecuteActions(at, actions);
  }
  void DeliverRecord(const InstanceId& at, const MemberRecord& record) {
    std::vector<MembershipAction> actions;
    m_nodes.at(at)->OnProbe(record, {}, m_now, &actions);
    ExecuteActions(at, actions);
  }

  void Run(absl::Duration duration) {
    for (const absl::Time end = m_now + duration; m_now < end;
         m_now += absl::Milliseconds(50)) {
      for (const auto& [id, node] : m_nodes) {
        std::vector<MembershipAction> actions;
        node->OnTick(m_now, &actions);
        ExecuteActions(id, actions);
      }
    }
  }

  bool CanReach(const InstanceId& from, const InstanceId& to) const {
    return m_nodes.contains(to) && !m_is_cut(from, to);
  }
  void ExecuteActions(const InstanceId& from,
                      const std::vector<MembershipAction>& actions) {
    for (const MembershipAction& action : actions) {
      if (const auto* change = std::get_if<MemberChanged>(&action)) {
        m_changes[{change->member.id, change->member.state}] += 1;
        if (change->member.state == MemberState::kDead) {
          m_death_observers.insert(from);
        }
      } else if (const auto* send = std::get_if<SendProbe>(&action)) {
        m_max_updates_sent = std::max(m_max_updates_sent, send->updates.size());
        Deliver(from, *send);
      }
    }
  }
  void Deliver(const InstanceId& from, const SendProbe& send) {
    std::vector<MembershipAction> actions;
    Membership& sender = *m_nodes.at(from);
    if (!CanReach(from, send.address)) {
      sender.OnProbeFailed(send.probe, m_now, &actions);
      ExecuteActions(from, actions);
      return;
    }
    Membership& receiver = *m_nodes.at(send.address);
    receiver.OnProbe(sender.Self(), send.updates, m_now, &actions);
    ExecuteActions(send.address, actions);
    actions.clear();
    const bool alive =
        send.relay_to.empty() || CanReach(send.address, send.relay_to);
    sender.OnProbeReply(send.probe, alive, receiver.Self(),
                        receiver.ReplyUpdates(sender.Self(), send.want_all),
                        m_now, &actions);
    ExecuteActions(from, actions);
  }

  MemberState StateAt(const InstanceId& at, const InstanceId& of) const {
    const MemberRecord* record = m_nodes.at(at)->Find(of);
    return record == nullptr ? MemberState::kCandidate : record->state;
  }
  // Whether all other instances see `of` in `state`.
  bool AllSeeState(const InstanceId& of, MemberState state) const {
    for (const auto& [id, node] : m_nodes) {
      if (id != of && StateAt(id, of) != state) {
        return false;
      }
    }
    return true;
  }

  std::mt19937_64 m_random{7};
  absl::Time m_now = absl::UnixEpoch();
  std::map<InstanceId, std::unique_ptr<Membership>> m_nodes;
  std::function<bool(const InstanceId&, const InstanceId&)> m_is_cut =
      [](const auto&, const auto&) { return false; };
  // Number of changes that any instance saw, by member and new state.
  std::map<std::pair<InstanceId, MemberState>, int> m_changes;
  std::set<InstanceId> m_death_observers;  // Saw any member become dead.
  size_t m_max_updates_sent = 0;
};

// Guards against a member that loses its groups through a pause shorter than
// the suspicion timeout.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_FalseSuspicion_IsRefutedBeforeDeath") {
  StartAll(6);
  m_is_cut = [](const auto&, const auto& to) { return to == "c"; };
  while (m_changes[{"c", MemberState::kSuspect}] == 0) {
    Run(absl::Milliseconds(50));
  }
  m_is_cut = [](const auto&, const auto&) { return false; };
  Run(absl::Seconds(10));
  CHECK(AllSeeState("c", MemberState::kAlive));
  CHECK(m_changes[{"c", MemberState::kDead}] == 0);
  CHECK(m_nodes["c"]->Self().generation >= 1);
}

// Guards against a view that is not published when a member is suspected.
// Requests would then go to a paused home until it is considered dead.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_SuspicionBegins_VersionGrows") {
  StartAll(3);
  const uint64_t version = m_nodes["a"]->Version();
  m_is_cut = [](const auto&, const auto& to) { return to == "c"; };
  while (m_nodes["a"]->Find("c")->state != MemberState::kSuspect) {
    Run(absl::Milliseconds(50));
  }
  CHECK(m_nodes["a"]->Version() > version);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_MemberCrashes_IsDeadEverywhere") {
  StartAll(6);
  Stop("c");
  Run(absl::Seconds(12));
  CHECK(AllSeeState("c", MemberState::kDead));
  CHECK(m_max_updates_sent <= MembershipOptions().max_updates);
}

// When all peers of a small region crash at once, no relay can confirm the
// failures. The survivor must still detect them.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_AllPeersCrashAtOnce_SurvivorServesAlone") {
  StartAll(3);
  Stop("b");
  Stop("c");
  Run(absl::Seconds(30));
  CHECK(m_nodes["a"]->ServingMembers().size() == 1);
}

// Guards against a delayed message about a process that has died: it must not
// give the groups back to an address where no process runs.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_DeadMembersOldIncarnation_DoesNotComeBack") {
  StartAll(4);
  Stop("c");
  Run(absl::Seconds(12));
  DeliverRecord("a", Record("c"));
  DeliverRecord("a", Record("c", "0", MemberState::kAlive, 9));
  CHECK(StateAt("a", "c") == MemberState::kDead);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_RestartAtSameAddress_IsAliveEverywhere") {
  StartAll(6);
  Stop("c");
  Run(absl::Seconds(12));
  Start("c", "2");
  DeliverList("c", AllRecords());
  Run(absl::Seconds(10));
  CHECK(AllSeeState("c", MemberState::kAlive));
  CHECK(m_nodes["c"]->ServingMembers().size() == 6);
}

// A machine whose clock was set back starts with a smaller incarnation. Without
// a higher one it would be ignored until the tombstone of its previous process
// is dropped.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_RestartWithSmallerIncarnation_TakesHigherOne") {
  StartAll(4);
  Stop("c");
  Run(absl::Seconds(12));
  Start("c", "0");
  DeliverList("c", AllRecords());
  Run(absl::Seconds(10));
  CHECK(AllSeeState("c", MemberState::kAlive));
  CHECK(m_nodes["c"]->Self().incarnation > "1");
}

// Guards against a leaving member that gets new work because a refutation that
// it sent earlier arrives late.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_Leaving_SpreadsAndIsNotOverriddenByAlive") {
  StartAll(6);
  std::vector<MembershipAction> actions;
  m_nodes["c"]->Leave(1, m_now, &actions);
  ExecuteActions("c", actions);
  Run(absl::Seconds(5));
  CHECK(AllSeeState("c", MemberState::kLeaving));
  DeliverRecord("a", Record("c", "1", MemberState::kAlive, 50));
  CHECK(StateAt("a", "c") == MemberState::kLeaving);
  Stop("c");
  Run(absl::Seconds(12));
  CHECK(AllSeeState("c", MemberState::kDead));
}

// The platform's list still names instances for a while after their death, and
// lacks new ones for a while after their start.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_LaggingList_OnlyAddsCandidates") {
  StartAll(4);
  const auto stale = AllRecords();
  Stop("c");
  Run(absl::Seconds(12));
  auto listed = stale;
  listed.push_back(Record("never-started"));
  DeliverList("a", listed);
  CHECK(StateAt("a", "c") == MemberState::kDead);
  Run(absl::Seconds(5));
  CHECK(m_nodes["a"]->ServingMembers().size() == 3);
  DeliverList("a", {Record("a")});
  CHECK(StateAt("a", "b") == MemberState::kAlive);
  CHECK(m_nodes["a"]->Find("never-started") == nullptr);
}

// Guards against an instance that lost its network and, when it returns, makes
// other instances consider working members dead.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_CutOffInstanceReturns_CausesNoDeaths") {
  StartAll(20);
  m_is_cut = [](const auto& from, const auto& to) {
    return from == "c" || to == "c";
  };
  Run(absl::Seconds(20));
  CHECK(AllSeeState("c", MemberState::kDead));
  m_is_cut = [](const auto&, const auto&) { return false; };
  m_death_observers.clear();
  Run(absl::Seconds(40));
  m_death_observers.erase("c");
  CHECK(m_death_observers.empty());
  for (int i = 0; i < 20; ++i) {
    CHECK(AllSeeState(NodeName(i), MemberState::kAlive));
  }
}

// In a partition both sides consider each other dead. Only probes of dead
// members can bring them together again, since the list never revives a member.
TEST_CASE_FIXTURE(MembershipFixture, "Membership_PartitionHeals_ViewsMerge") {
  StartAll(8);
  m_is_cut = [](const auto& from, const auto& to) {
    return (from < "e") != (to < "e");
  };
  Run(absl::Seconds(60));
  CHECK(m_nodes["a"]->ServingMembers().size() == 4);
  m_is_cut = [](const auto&, const auto&) { return false; };
  Run(absl::Seconds(60));
  CHECK(m_nodes["a"]->ServingMembers().size() == 8);
  CHECK(m_nodes["h"]->ServingMembers().size() == 8);
}

// Guards against a member whose failure is noticed only by the next random
// probe, although forwarding a request to it has already failed.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_UnreachableReport_ProbesAtOnce") {
  StartAll(6);
  std::vector<MembershipAction> actions;
  m_nodes["a"]->OnUnreachable("c", m_now, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SendProbe>(actions[0]).to == "c");
}

// While the platform's list can't be read, a new instance can only join through
// a seed.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_ListDownAtStart_JoinsThroughSeed") {
  StartAll(4);
  Start("z");
  m_nodes["z"]->SetSeeds({"b"});
  Run(absl::Seconds(10));
  CHECK(m_nodes["z"]->ServingMembers().size() == 5);
  CHECK(AllSeeState("z", MemberState::kAlive));
}

}  // namespace
}  // namespace heatherwick
