// Tests that a promotion keeps every acknowledged commit although instances
// restart, which then know the targets that have left the list only from the
// record in the store.

#include <memory>
#include <string>

#include "Source/gateway/leadership_view.h"
#include "Tests/gateway/leadership_cluster.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Commits of g0-db0 up to {1, 10} were acknowledged because g0-db1 received
// them. g0-db2 lacks the last ones.
class ReplicaRecordFixture {
 protected:
  void Start() {
    m_cluster = std::make_unique<LeadershipCluster>(3, 1);
    m_cluster->sync_replicas = 1;
    m_cluster->m_databases["g0-db1"].status.received = {1, 10};
    m_cluster->RunFor(absl::Seconds(4));
    REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  }

  FakeDatabase& Database(const TargetId& id) {
    return m_cluster->m_databases.at(id);
  }
  void AddDatabase(const TargetId& id, Position received) {
    FakeDatabase database;
    database.group = "g0";
    database.status.term = 1;
    database.status.received = received;
    m_cluster->m_databases[id] = database;
  }
  void Crash(const TargetId& id) {
    Database(id).alive = false;
    Database(id).listed = false;
  }
  // The target starts again with an empty log.
  void LoseLog(const TargetId& id) {
    Database(id).started_unix_ms = 2;
    Database(id).status.received = {1, 0};
  }
  // The target starts again with an empty log after a crash. Its entry is that
  // of the earlier run for as long as a heartbeat may take.
  void RestartEmpty(const TargetId& id) {
    Database(id).registered_start = Database(id).started_unix_ms;
    LoseLog(id);
    Return(id);
    m_cluster->RunFor(absl::Milliseconds(1200));
    Database(id).registered_start.reset();
  }
  void Return(const TargetId& id) {
    Database(id).alive = true;
    Database(id).listed = true;
  }

  std::string Record() const {
    const auto row =
        m_cluster->m_table.rows.find(LeadershipView::ReplicasKey("g0"));
    return row == m_cluster->m_table.rows.end() ? "" : row->second.value;
  }
  bool ChangeIsAnnounced() const {
    const auto leader =
        m_cluster->m_table.rows.find(LeadershipView::LeaderKey("g0"));
    return leader->second.value.find("\"open\":false") != std::string::npos;
  }
  bool IsRecorded(const TargetId& id) const {
    return Record().find("\"" + id + "\"") != std::string::npos;
  }

  std::unique_ptr<LeadershipCluster> m_cluster;
};

// review/7: restarted instances knew one listed target of three and promoted
// it, without commits that the two others held.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_HoldersUnlistedAtRestart_NoneIsPromoted") {
  Start();
  Crash("g0-db0");
  Crash("g0-db1");
  m_cluster->RunFor(absl::Seconds(4));
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(5));
  CHECK(m_cluster->promoted.empty());
  Return("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted.empty());
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// The same when the replica that holds the commits comes back.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_HolderReturnsAfterRestart_IsPromoted") {
  Start();
  Crash("g0-db0");
  Crash("g0-db1");
  m_cluster->RunFor(absl::Seconds(4));
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(4));
  Return("g0-db1");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted == std::vector<TargetId>{"g0-db1"});
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// The same with a replica that has joined later.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_JoinedTargetUnlistedAtRestart_IsAwaited") {
  Start();
  AddDatabase("g0-db3", {1, 11});
  m_cluster->RunFor(absl::Seconds(1));
  CHECK(IsRecorded("g0-db3"));
  Crash("g0-db0");
  Crash("g0-db3");
  m_cluster->RunFor(absl::Seconds(4));
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->promoted.empty());
}

// The same with a replica that has started again while no instance ran, and has
// lost its log.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_HolderLosesLogDuringRestart_IsNotTrusted") {
  Start();
  Crash("g0-db0");
  for (const std::string name : {"i0", "i1", "i2"}) {
    m_cluster->Kill(name);
  }
  LoseLog("g0-db1");
  m_cluster->RunFor(absl::Seconds(1));
  for (const std::string name : {"i0", "i1", "i2"}) {
    m_cluster->AddInstance(name);
  }
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->promoted.empty());
  Return("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// Guards against changes that wait for targets which are gone for good.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_TargetGone_IsRemovedOnceOthersCaughtUp") {
  Start();
  Crash("g0-db1");
  m_cluster->RunFor(absl::Seconds(15));
  // g0-db2 lacks commits that g0-db1 may be the only replica to hold.
  CHECK(IsRecorded("g0-db1"));
  Database("g0-db2").status.received = {1, 10};
  m_cluster->RunFor(absl::Seconds(3));
  CHECK_FALSE(IsRecorded("g0-db1"));
  CHECK(IsRecorded("g0-db2"));
  Crash("g0-db0");
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->AllUse("g0", "g0-db2"));
}

// With two synchronous replicas, one that has caught up is not enough.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_TooFewCaughtUp_TargetStays") {
  Start();
  m_cluster->sync_replicas = 2;
  Crash("g0-db1");
  Database("g0-db2").status.received = {1, 10};
  m_cluster->RunFor(absl::Seconds(20));
  CHECK(IsRecorded("g0-db1"));
  AddDatabase("g0-db3", {1, 10});
  m_cluster->RunFor(absl::Seconds(3));
  CHECK_FALSE(IsRecorded("g0-db1"));
}

// Guards against a removal that rests on a primary which is being replaced.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_PrimaryAway_TargetStays") {
  Start();
  Crash("g0-db1");
  m_cluster->RunFor(absl::Seconds(5));
  Database("g0-db0").alive = false;
  Database("g0-db2").status.received = {1, 10};
  m_cluster->RunFor(absl::Seconds(20));
  CHECK(IsRecorded("g0-db1"));
}

// The record of an earlier version is missing. Until the list has been known
// for long enough, only the old primary's log is certain.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_NoneAtRestart_OnlyOldPrimaryIsUsed") {
  Start();
  Crash("g0-db0");
  Crash("g0-db1");
  m_cluster->RunFor(absl::Seconds(4));
  m_cluster->m_table.rows.erase(LeadershipView::ReplicasKey("g0"));
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(5));
  CHECK(m_cluster->promoted.empty());
  Return("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// The instances that run when the store returns from a copy without the record,
// and those that start then, keep the targets in mind.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_StoreReturnsFromCopy_IsWrittenAgain") {
  Start();
  const FakeTable copy = m_cluster->m_table;
  AddDatabase("g0-db3", {1, 11});
  m_cluster->RunFor(absl::Seconds(2));
  Crash("g0-db3");
  m_cluster->ReturnStore(copy, absl::Seconds(1));
  m_cluster->RunFor(absl::Seconds(4));
  const auto row = m_cluster->m_table.rows.find(
      EraScopedRowStore::StoredKey(1, LeadershipView::ReplicasKey("g0")));
  REQUIRE(row != m_cluster->m_table.rows.end());
  CHECK(row->second.value.find("\"g0-db3\"") != std::string::npos);
  Crash("g0-db0");
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted.empty());
}

// A group without synchronous replicas has no record, which would cost writes.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_NoSyncReplicas_NothingIsWritten") {
  Start();
  m_cluster = std::make_unique<LeadershipCluster>(3, 1);
  m_cluster->RunFor(absl::Seconds(4));
  CHECK(Record().empty());
}

// Guards against a choice from a record that another instance has changed
// meanwhile.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_ChangesBeforeOrder_ChoiceIsRepeated") {
  Start();
  Crash("g0-db0");
  // The holder reads the store 100 ms late.
  for (size_t index = 0; index < 3; ++index) {
    m_cluster->At(index).store.SetPollDelay(absl::Milliseconds(100));
  }
  int changes = 0;
  for (int step = 0; step < 200 && m_cluster->promoted.empty(); ++step) {
    m_cluster->RunFor(absl::Milliseconds(50));
    // An instance that saw a further target writes it just before the order.
    if (changes == 0 && ChangeIsAnnounced()) {
      StoredRow& row =
          m_cluster->m_table.rows[LeadershipView::ReplicasKey("g0")];
      ReplicaSet replicas;
      for (const TargetId id : {"g0-db0", "g0-db1", "g0-db2", "g0-dbx"}) {
        replicas[{id, 1}] = {id, false};
      }
      row.value = LeadershipView::EncodeReplicas(replicas);
      row.version = ++m_cluster->m_table.version;
      ++changes;
    }
  }
  CHECK(changes == 1);
  CHECK(m_cluster->promoted.empty());
}

// The statuses of a choice were taken before a replica started again with an
// empty log. It was then promoted for the log that it had before.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_TargetRestartsBeforeChoice_IsAskedAgain") {
  Start();
  m_cluster->sync_replicas = 2;
  Database("g0-db2").status.received = {1, 10};
  for (size_t index = 0; index < 3; ++index) {
    m_cluster->At(index).status_delay = absl::Milliseconds(300);
  }
  Crash("g0-db0");
  for (int step = 0; step < 1000 && !ChangeIsAnnounced(); ++step) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(5));
    for (size_t index = 0; index < 3; ++index) {
      m_cluster->At(index).ReportUnresponsivePrimaries();
    }
  }
  // The targets have been asked, and their answers are on their way.
  m_cluster->m_loop.RunFor(absl::Milliseconds(200));
  Database("g0-db1").started_unix_ms = 2;
  Database("g0-db1").status.received = {};
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->promoted == std::vector<TargetId>{"g0-db2"});
}

// After the store has lost the row of a promotion, a deposed primary that was
// the only listed target was published as the group's first leader.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_OnlyDeposedPrimaryListed_IsNotPublished") {
  Start();
  const FakeTable copy = m_cluster->m_table;
  Database("g0-db2").status.received = {1, 10};
  Crash("g0-db0");
  m_cluster->RunFor(absl::Seconds(5));
  REQUIRE(m_cluster->Leading("g0") == "g0-db1");
  Crash("g0-db1");
  Crash("g0-db2");
  Return("g0-db0");
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->m_table.rows.erase(LeadershipView::LeaderKey("g0"));
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted == std::vector<TargetId>{"g0-db1"});
  CHECK(m_cluster->wrong_acknowledgements == 0);
  Return("g0-db1");
  Return("g0-db2");
  m_cluster->RunFor(absl::Seconds(12));
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// The same without synchronous replicas, of which there is no record. The
// instances remember the order.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "FirstLeader_OrderedTargetUnlisted_OtherIsNotPublished") {
  m_cluster = std::make_unique<LeadershipCluster>(3, 1);
  m_cluster->RunFor(absl::Seconds(4));
  const FakeTable copy = m_cluster->m_table;
  Crash("g0-db0");
  while (m_cluster->promoted.empty()) {
    m_cluster->RunFor(absl::Milliseconds(50));
  }
  m_cluster->RunFor(absl::Milliseconds(200));
  m_cluster->ReturnStore(copy, absl::ZeroDuration());
  m_cluster->m_table.rows.erase(LeadershipView::LeaderKey("g0"));
  m_cluster->RunFor(absl::Seconds(2));
  REQUIRE(m_cluster->Leading("g0") == "g0-db1");
  Crash("g0-db1");
  Crash("g0-db2");
  Return("g0-db0");
  m_cluster->RunFor(absl::Seconds(12));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// A primary that had started again with an empty log, and claimed to lead in
// the first term, was kept while the replica with the commits was busy.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_OldPrimaryLosesLog_IsNotKept") {
  Start();
  Database("g0-db1").busy_statuses = 40;
  Crash("g0-db0");
  m_cluster->RunFor(absl::Milliseconds(1500));
  Return("g0-db0");
  LoseLog("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted == std::vector<TargetId>{"g0-db1"});
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// A replica that had started again answered with its empty log before its new
// entry was read. The log counted as known, and the other replica was promoted
// without commits that the old primary held.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_RestartNotYetListed_EmptyLogIsNotTrusted") {
  Start();
  Crash("g0-db0");
  m_cluster->RunFor(absl::Milliseconds(800));
  RestartEmpty("g0-db1");
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->promoted.empty());
  Return("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// The same with the old primary, which was kept with its empty log.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_OldPrimaryRestartNotYetListed_IsNotKept") {
  Start();
  Database("g0-db1").busy_statuses = 40;
  Crash("g0-db0");
  m_cluster->RunFor(absl::Milliseconds(1500));
  RestartEmpty("g0-db0");
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->promoted == std::vector<TargetId>{"g0-db1"});
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// The same with the log that the replicas must have received before the record
// forgets a departed target.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_PrimaryRestartNotYetListed_TargetStays") {
  Start();
  Crash("g0-db1");
  m_cluster->RunFor(absl::Milliseconds(11900));
  REQUIRE(IsRecorded("g0-db1"));
  RestartEmpty("g0-db0");
  m_cluster->RunFor(absl::Seconds(3));
  CHECK(IsRecorded("g0-db1"));
}

// Guards against a group without any commit that never has a primary again.
TEST_CASE_FIXTURE(ReplicaRecordFixture,
                  "ReplicaRecord_AllLogsEmpty_ReplicaIsPromoted") {
  Start();
  for (const TargetId id : {"g0-db0", "g0-db1", "g0-db2"}) {
    Database(id).status.received = {1, 0};
  }
  Crash("g0-db0");
  m_cluster->RunFor(absl::Seconds(12));
  CHECK(m_cluster->promoted.size() == 1);
  CHECK(m_cluster->AllUse("g0", m_cluster->Leading("g0")));
}

}  // namespace
}  // namespace heatherwick
