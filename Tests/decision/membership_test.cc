// Tests the membership state machine over an instant in-process network.

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
  // Instances whose address is their name.
  void Start(const InstanceId& id, const std::string& incarnation = "1") {
    m_nodes[id] = std::make_unique<Membership>(
        Record(id, incarnation), MembershipOptions{}, m_random, m_now);
  }
  void StartAll(int count) {
    for (int i = 0; i < count; ++i) {
      Start(Name(i));
    }
    for (const auto& [id, node] : m_nodes) {
      List(id, Everyone());
    }
    Run(absl::Seconds(10));
  }
  void Stop(const InstanceId& id) { m_nodes.erase(id); }

  static InstanceId Name(int i) {
    return std::string(1, static_cast<char>('a' + i));
  }
  static MemberRecord Record(const InstanceId& id,
                             const std::string& incarnation = "1",
                             MemberState state = MemberState::kAlive,
                             uint64_t generation = 0) {
    return {id, id, "dc-" + id, "region", incarnation, generation, state};
  }
  std::vector<MemberRecord> Everyone() const {
    std::vector<MemberRecord> all;
    for (const auto& [id, node] : m_nodes) {
      all.push_back(Record(id));
    }
    return all;
  }

  void List(const InstanceId& at, const std::vector<MemberRecord>& listed) {
    std::vector<MembershipAction> actions;
    m_nodes.at(at)->OnList(listed, m_now, &actions);
    Perform(at, actions);
  }
  void Tell(const InstanceId& at, const MemberRecord& record) {
    std::vector<MembershipAction> actions;
    m_nodes.at(at)->OnProbe(record, {}, m_now, &actions);
    Perform(at, actions);
  }

  void Run(absl::Duration duration) {
    for (const absl::Time end = m_now + duration; m_now < end;
         m_now += absl::Milliseconds(50)) {
      for (const auto& [id, node] : m_nodes) {
        std::vector<MembershipAction> actions;
        node->OnTick(m_now, &actions);
        Perform(id, actions);
      }
    }
  }

  bool Reaches(const InstanceId& from, const InstanceId& to) const {
    return m_nodes.contains(to) && !m_cut(from, to);
  }
  void Perform(const InstanceId& from,
               const std::vector<MembershipAction>& actions) {
    for (const MembershipAction& action : actions) {
      if (const auto* change = std::get_if<MemberChanged>(&action)) {
        m_changes[{change->member.id, change->member.state}] += 1;
        if (change->member.state == MemberState::kDead) {
          m_deaths_at.insert(from);
        }
      } else if (const auto* send = std::get_if<SendProbe>(&action)) {
        m_most_updates = std::max(m_most_updates, send->updates.size());
        Deliver(from, *send);
      }
    }
  }
  void Deliver(const InstanceId& from, const SendProbe& send) {
    std::vector<MembershipAction> actions;
    Membership& sender = *m_nodes.at(from);
    if (!Reaches(from, send.address)) {
      sender.OnProbeFailed(send.probe, m_now, &actions);
      Perform(from, actions);
      return;
    }
    Membership& receiver = *m_nodes.at(send.address);
    receiver.OnProbe(sender.Self(), send.updates, m_now, &actions);
    Perform(send.address, actions);
    actions.clear();
    const bool alive =
        send.relay_to.empty() || Reaches(send.address, send.relay_to);
    sender.OnProbeReply(send.probe, alive, receiver.Self(),
                        receiver.ReplyUpdates(sender.Self(), send.want_all),
                        m_now, &actions);
    Perform(from, actions);
  }

  MemberState StateAt(const InstanceId& at, const InstanceId& of) const {
    const MemberRecord* record = m_nodes.at(at)->Find(of);
    return record == nullptr ? MemberState::kCandidate : record->state;
  }
  // Whether all other instances hold `of` in `state`.
  bool AllHold(const InstanceId& of, MemberState state) const {
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
  std::function<bool(const InstanceId&, const InstanceId&)> m_cut =
      [](const auto&, const auto&) { return false; };
  // Changes seen anywhere, by member and new state.
  std::map<std::pair<InstanceId, MemberState>, int> m_changes;
  std::set<InstanceId> m_deaths_at;  // Observers that saw any death.
  size_t m_most_updates = 0;
};

// A pause shorter than the suspicion must not cost a member its groups.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_FalseSuspicion_IsRefutedBeforeDeath") {
  StartAll(6);
  m_cut = [](const auto&, const auto& to) { return to == "c"; };
  while (m_changes[{"c", MemberState::kSuspect}] == 0) {
    Run(absl::Milliseconds(50));
  }
  m_cut = [](const auto&, const auto&) { return false; };
  Run(absl::Seconds(10));
  CHECK(AllHold("c", MemberState::kAlive));
  CHECK(m_changes[{"c", MemberState::kDead}] == 0);
  CHECK(m_nodes["c"]->Self().generation >= 1);
}

// Guards against a view that is not published when a member is suspected:
// requests then go to a paused home until it counts as dead.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_SuspicionBegins_VersionGrows") {
  StartAll(3);
  const uint64_t version = m_nodes["a"]->Version();
  m_cut = [](const auto&, const auto& to) { return to == "c"; };
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
  CHECK(AllHold("c", MemberState::kDead));
  CHECK(m_most_updates <= MembershipOptions().max_updates);
}

// With every peer of a small region gone at once, no relay can confirm a
// failure; the survivor must still notice it.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_AllPeersCrashAtOnce_SurvivorServesAlone") {
  StartAll(3);
  Stop("b");
  Stop("c");
  Run(absl::Seconds(30));
  CHECK(m_nodes["a"]->Serving().size() == 1);
}

// A delayed message about the process that died must not give its groups
// back to an address where nothing runs.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_DeadMembersOldIncarnation_DoesNotComeBack") {
  StartAll(4);
  Stop("c");
  Run(absl::Seconds(12));
  Tell("a", Record("c"));
  Tell("a", Record("c", "0", MemberState::kAlive, 9));
  CHECK(StateAt("a", "c") == MemberState::kDead);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_RestartAtSameAddress_IsAliveEverywhere") {
  StartAll(6);
  Stop("c");
  Run(absl::Seconds(12));
  Start("c", "2");
  List("c", Everyone());
  Run(absl::Seconds(10));
  CHECK(AllHold("c", MemberState::kAlive));
  CHECK(m_nodes["c"]->Serving().size() == 6);
}

// A machine whose clock was set back starts with a smaller incarnation and
// would otherwise be ignored until its tombstone is dropped.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_RestartWithSmallerIncarnation_TakesHigherOne") {
  StartAll(4);
  Stop("c");
  Run(absl::Seconds(12));
  Start("c", "0");
  List("c", Everyone());
  Run(absl::Seconds(10));
  CHECK(AllHold("c", MemberState::kAlive));
  CHECK(m_nodes["c"]->Self().incarnation > "1");
}

// A refutation that is still under way when the member leaves must not give
// it new work.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_Leaving_SpreadsAndIsNotOverriddenByAlive") {
  StartAll(6);
  std::vector<MembershipAction> actions;
  m_nodes["c"]->Leave(1, m_now, &actions);
  Perform("c", actions);
  Run(absl::Seconds(5));
  CHECK(AllHold("c", MemberState::kLeaving));
  Tell("a", Record("c", "1", MemberState::kAlive, 50));
  CHECK(StateAt("a", "c") == MemberState::kLeaving);
  Stop("c");
  Run(absl::Seconds(12));
  CHECK(AllHold("c", MemberState::kDead));
}

// The list names instances for a while after their death and misses new ones
// for a while after their start.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_LaggingList_OnlyAddsCandidates") {
  StartAll(4);
  const auto stale = Everyone();
  Stop("c");
  Run(absl::Seconds(12));
  auto listed = stale;
  listed.push_back(Record("never-started"));
  List("a", listed);
  CHECK(StateAt("a", "c") == MemberState::kDead);
  Run(absl::Seconds(5));
  CHECK(m_nodes["a"]->Serving().size() == 3);
  List("a", {Record("a")});
  CHECK(StateAt("a", "b") == MemberState::kAlive);
  CHECK(m_nodes["a"]->Find("never-started") == nullptr);
}

// An instance that loses its network must not declare the others dead when
// it returns.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_CutOffInstance_ReturnsWithoutHarm") {
  StartAll(20);
  m_cut = [](const auto& from, const auto& to) {
    return from == "c" || to == "c";
  };
  Run(absl::Seconds(20));
  CHECK(AllHold("c", MemberState::kDead));
  m_cut = [](const auto&, const auto&) { return false; };
  m_deaths_at.clear();
  Run(absl::Seconds(40));
  m_deaths_at.erase("c");
  CHECK(m_deaths_at.empty());
  for (int i = 0; i < 20; ++i) {
    CHECK(AllHold(Name(i), MemberState::kAlive));
  }
}

// Both sides declare each other dead; nothing but probes of dead members can
// join them again, since the list never revives one.
TEST_CASE_FIXTURE(MembershipFixture, "Membership_PartitionHeals_ViewsMerge") {
  StartAll(8);
  m_cut = [](const auto& from, const auto& to) {
    return (from < "e") != (to < "e");
  };
  Run(absl::Seconds(60));
  CHECK(m_nodes["a"]->Serving().size() == 4);
  m_cut = [](const auto&, const auto&) { return false; };
  Run(absl::Seconds(60));
  CHECK(m_nodes["a"]->Serving().size() == 8);
  CHECK(m_nodes["h"]->Serving().size() == 8);
}

// A failed forward must not wait for the next random probe.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_UnreachableReport_ProbesAtOnce") {
  StartAll(6);
  std::vector<MembershipAction> actions;
  m_nodes["a"]->OnUnreachable("c", m_now, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SendProbe>(actions[0]).to == "c");
}

// Without the list, a seed is the only way into the cluster.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership_ListDownAtStart_JoinsOverSeed") {
  StartAll(4);
  Start("z");
  m_nodes["z"]->SetSeeds({"b"});
  Run(absl::Seconds(10));
  CHECK(m_nodes["z"]->Serving().size() == 5);
  CHECK(AllHold("z", MemberState::kAlive));
}

}  // namespace
}  // namespace heatherwick
