// Plays random faults of targets, instances and the store on a group whose
// primary acknowledges a commit once `sync_replicas` replicas have received it,
// and checks that each promoted target has every acknowledged commit.

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Tests/gateway/leadership_cluster.h"
#include "Tests/gateway/seed_range.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(1200);
// Entries are written again within this time of the store's return.
constexpr absl::Duration kRegistrationTime = absl::Seconds(2);
// An entry is removed after three heartbeat intervals of silence.
constexpr absl::Duration kEntryLifetime = absl::Milliseconds(3600);
// A deposed primary follows its successor this long after it can reach it.
constexpr absl::Duration kDeposedTime = absl::Seconds(1);
constexpr absl::Duration kLongestCrash = absl::Milliseconds(8670);
constexpr absl::Duration kLongestInstanceOutage = absl::Seconds(2);
// The store returns from a copy that is up to 3 s old.
constexpr size_t kCopies = 60;

class SyncCommitFixture {
 protected:
  void Start(uint32_t seed, uint32_t sync_replicas, size_t databases) {
    m_random.seed(seed);
    m_acknowledged = {};
    m_lost = 0;
    m_databases.clear();
    m_returns.clear();
    m_next_database = 0;
    m_store_back_at = absl::InfinitePast();
    m_cluster = std::make_unique<LeadershipCluster>(3, 1);
    m_cluster->sync_replicas = sync_replicas;
    m_cluster->on_promoted = [this](const TargetId& target) {
      OnPromoted(target);
    };
    for (auto& [id, database] : m_cluster->m_databases) {
      database.status.received = {1, 1};
      m_databases[id] = {};
    }
    while (m_cluster->m_databases.size() < databases) {
      AddDatabase({1, 1}, "");
    }
    m_copies.clear();
    Run(absl::Seconds(4));
    REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  }

  void Run(absl::Duration time) {
    const absl::Time end = Now() + time;
    while (Now() < end) {
      m_cluster->RunFor(kStep);
      Step();
    }
  }

  // One fault, or a pair of faults, at the present moment.
  void InjectFault(bool for_good) {
    switch (Pick(for_good ? 9 : 8)) {
      case 0:
        Crash(RandomDatabase(), RandomTime(kLongestCrash));
        break;
      case 1:
        Crash(Leading(), RandomTime(kLongestCrash));
        break;
      case 2:
        // The most advanced replica fails together with the primary.
        Crash(MostAdvancedReplica(), RandomTime(kLongestCrash));
        Crash(Leading(), RandomTime(kLongestCrash));
        break;
      case 3:
        for (const std::string name : {"i0", "i1", "i2"}) {
          StopInstance(name);
        }
        break;
      case 4: {
        const size_t instance = Pick(3);
        StopInstance(absl::StrCat("i", instance));
        break;
      }
      case 5:
        m_store_back_at = Now() + RandomTime(absl::Seconds(4));
        break;
      case 6:
        ReturnStore();
        break;
      case 7:
        // More lost logs than `sync_replicas` may have been the only ones with
        // a commit, and the group then waits for them.
        LoseLog(for_good ? RandomDatabase() : "g0-db2");
        break;
      default:
        ReplaceForGood(RandomDatabase());
        break;
    }
  }

  // All faults end, except of targets that are gone for good.
  void EndFaults() {
    m_store_back_at = Now();
    for (auto& [name, at] : m_returns) {
      at = Now();
    }
    for (auto& [id, state] : m_databases) {
      state.back_at = std::min(state.back_at, Now());
    }
    Run(absl::Seconds(1));
  }

  bool InUse() {
    return m_cluster->AllUse("g0", Leading()) &&
           m_cluster->m_databases.at(Leading()).alive;
  }

  size_t m_lost = 0;
  std::unique_ptr<LeadershipCluster> m_cluster;
  std::mt19937 m_random;

 private:
  struct DatabaseState {
    absl::Time crashed_at = absl::InfinitePast();
    absl::Time back_at = absl::InfinitePast();  // Infinite: gone for good.
    absl::Time follows_at = absl::InfiniteFuture();
    absl::Time registers_at = absl::InfinitePast();
  };

  absl::Time Now() { return m_cluster->m_loop.Now(); }
  size_t Pick(size_t count) { return m_random() % count; }
  absl::Duration RandomTime(absl::Duration longest) {
    return longest * (static_cast<double>(1 + Pick(100)) / 100);
  }
  const TargetId& Leading() { return m_cluster->Leading("g0"); }
  FakeDatabase& Database(const TargetId& id) {
    return m_cluster->m_databases.at(id);
  }

  TargetId RandomDatabase() {
    std::vector<TargetId> alive;
    for (const auto& [id, database] : m_cluster->m_databases) {
      if (database.alive) {
        alive.push_back(id);
      }
    }
    return alive.empty() ? Leading() : alive[Pick(alive.size())];
  }
  TargetId MostAdvancedReplica() {
    TargetId best = Leading();
    for (const auto& [id, database] : m_cluster->m_databases) {
      if (id != Leading() && database.alive &&
          (best == Leading() ||
           database.status.received > Database(best).status.received)) {
        best = id;
      }
    }
    return best;
  }

  void AddDatabase(Position received, const std::string& address) {
    FakeDatabase database;
    database.group = "g0";
    database.address = address;
    database.started_unix_ms = absl::ToUnixMillis(Now());
    database.status.term = Database(Leading()).status.term;
    database.status.received = received;
    const TargetId id = absl::StrCat("g0-new", ++m_next_database);
    m_cluster->m_databases[id] = database;
    m_databases[id] = {};
  }

  void Crash(const TargetId& id, absl::Duration time) {
    DatabaseState& state = m_databases.at(id);
    if (Database(id).alive) {
      Database(id).alive = false;
      state.crashed_at = Now();
      state.back_at = Now() + time;
    }
  }
  // The replica starts again under its id, with an empty log. An order of a
  // promotion that it was sent cannot be taken back, so that a replica keeps
  // its log until then.
  void LoseLog(const TargetId& id) {
    const bool ordered = !m_cluster->promoted.empty() &&
                         m_cluster->promoted.back() == id &&
                         m_cluster->Leading("g0") != id;
    if (id == Leading() || Database(id).status.primary || ordered) {
      return;
    }
    FakeDatabase& database = Database(id);
    if (!database.registered_start) {
      database.registered_start = database.started_unix_ms;
    }
    m_databases.at(id).registers_at = Now() + RandomTime(kHeartbeatInterval);
    database.started_unix_ms = absl::ToUnixMillis(Now());
    database.status.received = {};
  }
  void ReplaceForGood(const TargetId& id) {
    Crash(id, absl::InfiniteDuration());
    AddDatabase({}, Pick(2) == 0 ? id : "");
  }
  void StopInstance(const std::string& name) {
    m_cluster->Kill(name);
    m_returns[name] = Now() + RandomTime(kLongestInstanceOutage);
  }
  void ReturnStore() {
    m_cluster->m_table.ReturnTo(m_copies[Pick(m_copies.size())]);
    m_copies.clear();
  }

  void Step() {
    StepInstances();
    for (auto& [id, state] : m_databases) {
      StepDatabase(id, &state);
    }
    if (Database(Leading()).alive) {
      Commit();
    }
    m_copies.push_back(m_cluster->m_table);
    if (m_copies.size() > kCopies) {
      m_copies.erase(m_copies.begin());
    }
  }

  void StepInstances() {
    for (auto returning = m_returns.begin(); returning != m_returns.end();) {
      if (Now() < returning->second) {
        ++returning;
        continue;
      }
      m_cluster->AddInstance(returning->first);
      returning = m_returns.erase(returning);
    }
    for (const std::string name : {"i0", "i1", "i2"}) {
      if (m_cluster->Find(name) != nullptr) {
        m_cluster->Find(name)->store.SetDown(Now() < m_store_back_at);
      }
    }
  }

  void StepDatabase(const TargetId& id, DatabaseState* state) {
    FakeDatabase& database = Database(id);
    if (!database.alive) {
      database.listed =
          database.listed && Now() < state->crashed_at + kEntryLifetime;
      if (Now() < state->back_at) {
        return;
      }
      database.alive = true;
      state->follows_at = absl::InfiniteFuture();
    }
    database.listed = database.listed || Now() >= m_store_back_at;
    if (Now() >=
        std::max(state->registers_at, m_store_back_at + kRegistrationTime)) {
      database.registered_start.reset();
    }
    if (id == Leading() || !Database(Leading()).alive) {
      return;
    }
    // Follows the primary, and discards what it does not have.
    const uint64_t term = Database(Leading()).status.term;
    if (database.status.term != term) {
      state->follows_at = std::min(state->follows_at, Now() + kDeposedTime);
      if (Now() < state->follows_at) {
        return;
      }
      state->follows_at = absl::InfiniteFuture();
      database.status.primary = false;
      database.status.term = term;
    }
    database.status.received =
        std::min(database.status.received, Database(Leading()).status.received);
    if (database.status.received.term < term) {
      database.status.received =
          std::min(database.status.received, m_promoted_log);
    }
    if (Pick(4) == 0) {
      database.status.received = Database(Leading()).status.received;
    }
  }

  // The primary commits, and replicas that follow it receive the commit. It is
  // acknowledged if an instance may do so.
  void Commit() {
    Position& end = Database(Leading()).status.received;
    end = {Database(Leading()).status.term, end.lsn + 1};
    std::vector<TargetId> followers;
    for (const auto& [id, database] : m_cluster->m_databases) {
      if (id != Leading() && database.alive && !database.status.primary &&
          database.status.term == end.term) {
        followers.push_back(id);
      }
    }
    if (followers.size() < m_cluster->sync_replicas) {
      return;
    }
    std::shuffle(followers.begin(), followers.end(), m_random);
    for (size_t index = 0; index < m_cluster->sync_replicas; ++index) {
      Database(followers[index]).status.received = end;
    }
    for (const std::string name : {"i0", "i1", "i2"}) {
      LeadershipCluster::Instance* const instance = m_cluster->Find(name);
      if (instance != nullptr &&
          instance->Manager().MayAcknowledge("g0", Leading())) {
        m_acknowledged = end;
      }
    }
  }

  void OnPromoted(const TargetId& target) {
    m_promoted_log = Database(target).status.received;
    if (m_promoted_log < m_acknowledged) {
      ++m_lost;
      MESSAGE(target, " is promoted with ", m_promoted_log.term, ".",
              m_promoted_log.lsn, ", acknowledged: ", m_acknowledged.term, ".",
              m_acknowledged.lsn);
    }
  }

  std::map<TargetId, DatabaseState> m_databases;
  std::map<std::string, absl::Time> m_returns;  // Of stopped instances.
  std::vector<FakeTable> m_copies;
  absl::Time m_store_back_at = absl::InfinitePast();
  Position m_acknowledged;
  Position m_promoted_log;  // Of the primary, when it was promoted.
  int m_next_database = 0;
};

// Guards against the loss of acknowledged commits when several targets,
// instances and the store fail within seconds. A group whose targets all return
// has a primary again.
TEST_CASE_FIXTURE(SyncCommitFixture,
                  "SyncCommit_RandomFaults_PromotedTargetHasAllCommits") {
  const SeedRange seeds = SeedsFromEnvironment();
  for (uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    const bool two_replicas = seed % 3 == 0;
    const bool for_good = seed % 2 == 0;
    Start(seed, two_replicas ? 2 : 1, two_replicas ? 4 : 3);
    for (int fault = 0; fault < 25; ++fault) {
      InjectFault(for_good);
      Run(absl::Milliseconds(100 + m_random() % 3000));
    }
    EndFaults();
    Run(absl::Seconds(40));
    CHECK(m_lost == 0);
    CHECK(m_cluster->wrong_acknowledgements == 0);
    CHECK((for_good || InUse()));
  }
}

}  // namespace
}  // namespace heatherwick
