// Guards against the use of a primary without a valid lease and against
// failures on malformed or outdated rows.

#include "Source/gateway/leadership_view.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/store_version.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class ViewFixture {
 protected:
  RowChanges Rows(std::vector<StoredRow> rows) {
    RowChanges changes;
    changes.rows = std::move(rows);
    for (const StoredRow& row : changes.rows) {
      changes.version = std::max(changes.version, row.version);
    }
    changes.as_of = m_now;
    return changes;
  }
  StoredRow OwnRow(uint64_t incarnation) {
    return {LeadershipView::MemberKey("self"),
            LeadershipView::EncodeMember({incarnation, "p", 0}), 3, false};
  }
  StoredRow LeaderRow(uint64_t epoch, LeaderPhase phase, uint64_t version) {
    GroupLeader leader;
    leader.epoch = epoch;
    leader.phase = phase;
    leader.primary = "db1";
    leader.holder = "x";
    return {LeadershipView::LeaderKey("g"),
            LeadershipView::EncodeLeader(leader), version, false};
  }

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  LeadershipView m_view{"self", 7};
};

TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_OwnRowAbsent_HasNoLease") {
  m_view.Apply(Rows({LeaderRow(1, LeaderPhase::kOpen, 2)}), m_now);
  CHECK_FALSE(m_view.LeaseValid(m_now));
}

// A target's crash must not be forgotten because the record of replicas cannot
// be read.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_ReplicasMalformed_KeepsLastAndItsVersion") {
  const std::string key = LeadershipView::ReplicasKey("g");
  const ReplicaSet replicas = {{{"a", 1}, {"1", false}},
                               {{"a", 2}, {"1", true}}};
  m_view.Apply(
      Rows({{key, LeadershipView::EncodeReplicas(replicas), 3, false}}), m_now);
  REQUIRE(m_view.Replicas("g") != nullptr);
  CHECK(m_view.Replicas("g")->replicas == replicas);
  CHECK(m_view.Replicas("g")->complete);
  uint64_t version = 3;
  for (const std::string value :
       {"", "{", "[]", "7", R"({"runs":7})", R"({"runs":[7]})",
        R"({"runs":[{"started":1}]})",
        R"({"runs":[{"target":"a","started":-1}]})"}) {
    CAPTURE(value);
    m_view.Apply(Rows({{key, value, ++version, false}}), m_now);
    CHECK(m_view.Replicas("g")->replicas == replicas);
    CHECK(m_view.Replicas("g")->row_version == version);
    CHECK_FALSE(m_view.Replicas("g")->complete);
  }
  m_view.BeginEra(1, m_now);
  CHECK(m_view.Replicas("g") == nullptr);
  REQUIRE(m_view.EarlierReplicas("g") != nullptr);
  CHECK(m_view.EarlierReplicas("g")->replicas == replicas);
}

// A record of an earlier era that cannot be read must not pass for one that
// names no target.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_EarlierReplicasMalformed_AreNotKnown") {
  m_view.BeginEra(1, m_now);
  RowChanges changes;
  changes.version = QualifyVersion(1, 1);
  changes.as_of = m_now;
  changes.earlier_rows = {
      {LeadershipView::ReplicasKey("g"), R"({"runs":[7]})", 3, false}};
  m_view.Apply(changes, m_now);
  CHECK(m_view.EarlierReplicas("g") == nullptr);
}

// A peer of the era before announces rows that are no longer in force.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_AnnouncedRowOfOtherEra_IsIgnored") {
  m_view.BeginEra(2, m_now);
  for (const uint64_t era : {1, 3}) {
    CAPTURE(era);
    m_view.Apply({{LeaderRow(4, LeaderPhase::kOpen, QualifyVersion(era, 9))},
                  0,
                  false,
                  absl::InfinitePast()},
                 m_now);
    CHECK(m_view.Leader("g").phase == LeaderPhase::kUnknown);
  }
}

// Members of the era before may have leases, which a change waits for.
TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_EraBegins_MembersHaveDeparted") {
  m_view.Apply(Rows({OwnRow(7)}), m_now);
  m_view.BeginEra(1, m_now);
  CHECK(m_view.Members().empty());
  REQUIRE(m_view.Departed().contains("self"));
  // Whom they knew is read from the rows of their own era.
  const DepartedMember& departed = m_view.Departed().at("self");
  REQUIRE(departed.era_members != nullptr);
  CHECK(departed.era_members->at("self").joined == 3);
}

// The logs of incident 38 did not show by what right a statement was sent.
TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_LeaseExtended_NamesItsSource") {
  CHECK(m_view.Source() == LeaseSource::kNone);
  m_view.Apply(Rows({OwnRow(7)}), m_now);
  CHECK(LeaseSourceName(m_view.Source()) == "store");
  m_now += absl::Seconds(1);
  m_view.Apply({{}, 0, false, m_now}, m_now);
  CHECK(LeaseSourceName(m_view.Source()) == "peer");
  m_view.ExtendLease(m_now);  // No newer than the peer's reading.
  CHECK(LeaseSourceName(m_view.Source()) == "peer");
  m_view.ExtendLease(m_now + absl::Seconds(1));
  CHECK(LeaseSourceName(m_view.Source()) == "unanimity");
}

// A restarted instance must not rely on the member row of its previous run.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_RowOfEarlierIncarnation_HasNoLease") {
  m_view.Apply(Rows({OwnRow(6)}), m_now);
  CHECK_FALSE(m_view.LeaseValid(m_now));
}

TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_ReadingTooOld_LosesLease") {
  m_view.Apply(Rows({OwnRow(7)}), m_now);
  CHECK(m_view.LeaseValid(m_now + kLeaderLease - absl::Milliseconds(1)));
  CHECK_FALSE(m_view.LeaseValid(m_now + kLeaderLease));
}

TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_MalformedRows_AppliesOtherRows") {
  m_view.Apply(Rows({{"leader/g", "\xff{", 2, false},
                     {"member/x", "[]", 2, false},
                     {"leader/h", R"({"epoch":"one"})", 2, false},
                     OwnRow(7)}),
               m_now);
  CHECK(m_view.LeaseValid(m_now));
  CHECK(m_view.Leader("g").phase == LeaderPhase::kUnknown);
}

// A number that is converted silently could end all later changes (an epoch
// that wraps to 0) or make a member unreachable by its confirmations.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_FieldOutOfRange_KeepsLastValidRow") {
  m_view.Apply(Rows({OwnRow(7), LeaderRow(4, LeaderPhase::kOpen, 4)}), m_now);
  const std::string deep =
      std::string(30000, '[') + "1" + std::string(30000, ']');
  uint64_t version = 10;
  for (const std::string& value :
       {std::string("-1"), std::string("1e300"), std::string("5.0"),
        std::string("18446744073709551615"), std::string("\"5\""), deep}) {
    CAPTURE(value.substr(0, 30));
    const std::string leader = absl::StrCat(
        R"({"epoch":)", value, R"(,"open":true,"primary":"db9","holder":"x",)",
        R"("incarnation":3,"planned":false})");
    const std::string member =
        absl::StrCat(R"({"incarnation":)", value, R"(,"peer":"p9"})");
    const std::string vote =
        absl::StrCat(R"({"epoch":4,"round":)", value, R"(,"dead":true})");
    const std::string confirmation =
        absl::StrCat(R"({"incarnation":7,"epochs":{"g":)", value, "}}");
    m_view.Apply(Rows({{"leader/g", leader, ++version, false},
                       {"member/self", member, ++version, false},
                       {"vote/g/x", vote, ++version, false},
                       {"confirmed/self", confirmation, ++version, false}}),
                 m_now);
    CHECK(m_view.Leader("g").primary == "db1");
    CHECK(m_view.LeaseValid(m_now));
    CHECK(m_view.Votes("g").empty());
    CHECK_FALSE(m_view.Unconfirmed("g", 5).empty());
  }
}

TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_NamesUnfitForUse_AreSkipped") {
  m_view.Apply(
      Rows({{"member/x", R"({"incarnation":3,"peer":""})", 5, false},
            {"member/a b", R"({"incarnation":3,"peer":"p"})", 5, false},
            {"leader/",
             R"({"epoch":2,"open":true,"primary":"db2","holder":"x",)"
             R"("incarnation":3,"planned":false})",
             6, false},
            {"leader/h",
             R"({"epoch":2,"open":true,"primary":"a\r\nb",)"
             R"("holder":"x","incarnation":3,"planned":false})",
             6, false}}),
      m_now);
  CHECK(m_view.Members().empty());
  CHECK(m_view.Leader("h").phase == LeaderPhase::kUnknown);
  CHECK(m_view.Leader("").phase == LeaderPhase::kUnknown);
}

// After an upgrade the table still holds rows of the previous version.
TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_RowsOfFirstVersion_AreRead") {
  m_view.Apply(Rows({{"member/x", R"({"incarnation":3,"peer":"p"})", 5, false},
                     {"leader/g",
                      R"({"epoch":2,"open":true,"primary":"db2","holder":"x",)"
                      R"("incarnation":3,"planned":false})",
                      6, false}}),
               m_now);
  CHECK(m_view.Members().at("x").joined == 5);
  CHECK(m_view.Leader("g").primary == "db2");
  CHECK(m_view.Leader("g").term == 0);
}

TEST_CASE_FIXTURE(ViewFixture, "LeadershipView_OlderRowArrivesLate_IsIgnored") {
  m_view.Apply(Rows({LeaderRow(3, LeaderPhase::kOpen, 9)}), m_now);
  m_view.Apply(Rows({LeaderRow(2, LeaderPhase::kChanging, 8)}), m_now);
  CHECK(m_view.Leader("g").epoch == 3);
}

// When a second holder takes a change over, its row must not extend the use of
// the old primary, because the first holder may already have promoted another.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_ChangeTakenOver_KeepsFirstUsableUntil") {
  m_view.Apply(Rows({OwnRow(7), LeaderRow(1, LeaderPhase::kOpen, 4)}), m_now);
  const absl::Time before = m_now;
  m_now += absl::Seconds(1);
  m_view.Apply(Rows({LeaderRow(2, LeaderPhase::kChanging, 8)}), m_now);
  m_now += absl::Milliseconds(500);
  m_view.Apply(Rows({LeaderRow(3, LeaderPhase::kChanging, 9)}), m_now);
  CHECK(m_view.Leader("g").usable_until == before + kLeaderLease);
  CHECK(m_view.Leader("g").change_epoch == 2);
}

// Between two changes of which this instance saw only the announcements,
// another primary was open, and others may use it.
TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_OpenEpochMissed_WaitsFromTheLaterChange") {
  m_view.Apply(Rows({OwnRow(7), LeaderRow(2, LeaderPhase::kChanging, 4)}),
               m_now);
  m_now += absl::Seconds(5);
  m_view.Apply(Rows({LeaderRow(4, LeaderPhase::kChanging, 8)}), m_now);
  CHECK(m_view.Leader("g").change_seen == m_now);
  CHECK(m_view.Leader("g").change_epoch == 2);
}

TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_ChangeRead_EndsUseWithEarlierLease") {
  m_view.Apply(Rows({OwnRow(7)}), m_now);
  const absl::Time before = m_now;
  m_now += absl::Seconds(1);
  m_view.Apply(Rows({LeaderRow(2, LeaderPhase::kChanging, 8)}), m_now);
  CHECK(m_view.Leader("g").usable_until == before + kLeaderLease);
}

TEST_CASE_FIXTURE(ViewFixture,
                  "LeadershipView_MemberOfOtherIncarnation_IsUnconfirmed") {
  m_view.Apply(
      Rows({OwnRow(7),
            {LeadershipView::ConfirmationKey("self"),
             LeadershipView::EncodeConfirmation(6, {{"g", 9}}), 4, false}}),
      m_now);
  CHECK(m_view.Unconfirmed("g", 5).size() == 1);
  m_view.Apply(
      Rows({{LeadershipView::ConfirmationKey("self"),
             LeadershipView::EncodeConfirmation(7, {{"g", 9}}), 5, false}}),
      m_now);
  CHECK(m_view.Unconfirmed("g", 5).empty());
  CHECK(m_view.Unconfirmed("g", 10).size() == 1);
}

class PendingOrdersFixture : public ViewFixture {
 protected:
  static GroupLeader Changing(uint64_t epoch, uint64_t recorded_after) {
    GroupLeader leader;
    leader.epoch = epoch;
    leader.phase = LeaderPhase::kChanging;
    leader.primary = "db1";
    leader.holder = "x";
    leader.orders = {"db2", 1, 4, recorded_after};
    return leader;
  }
  void Read(const GroupLeader& leader) {
    ReadText(LeadershipView::EncodeLeader(leader));
  }
  void ReadText(const std::string& value) {
    m_view.Apply(
        Rows({{LeadershipView::LeaderKey("g"), value, ++m_version, false}}),
        m_now);
  }
  // A row as versions before PendingOrders wrote it.
  void ReadEarlierVersion(uint64_t epoch, bool open) {
    ReadText(absl::StrCat(R"({"epoch":)", epoch, R"(,"open":)",
                          open ? "true" : "false",
                          R"(,"primary":"db1","term":1,"holder":"x",)",
                          R"("incarnation":3,"planned":false})"));
  }

  uint64_t m_version = 10;
};

// An order that is lost on the way through the store could be contradicted.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_PendingOrders_AreReadAsWritten") {
  for (const LeaderPhase phase : {LeaderPhase::kChanging, LeaderPhase::kOpen}) {
    GroupLeader leader = Changing(m_version, 9);
    leader.phase = phase;
    leader.orders = {"db2", 3, 7, m_version};
    Read(leader);
    const GroupLeader& read = m_view.Leader("g");
    CHECK(read.phase == phase);
    CHECK(read.orders.target == "db2");
    CHECK(read.orders.count == 3);
    CHECK(read.orders.term_before == 7);
    CHECK(read.orders.recorded_after == m_version - 1);
    CHECK(read.orders_seen == m_now);
  }
}

// A holder of an earlier version does not show its order, which has to be
// awaited. An open row of that version has none to show.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_RowsWithoutOrders_CountOneOrderPerChange") {
  ReadEarlierVersion(1, true);
  CHECK(m_view.Leader("g").orders.count == 0);
  m_now += absl::Seconds(1);
  ReadEarlierVersion(2, false);
  CHECK(m_view.Leader("g").orders.count == 1);
  CHECK(m_view.Leader("g").orders.target.empty());
  CHECK(m_view.Leader("g").orders.recorded_after == 0);
  CHECK(m_view.Leader("g").orders_seen == m_now);
  m_now += absl::Seconds(1);
  ReadEarlierVersion(3, false);
  CHECK(m_view.Leader("g").orders.count == 1);
  CHECK(m_view.Leader("g").orders_seen == m_now);
}

// Forgetting a change because of one malformed field could end the wait for an
// order in flight.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_MalformedOrders_KeepLastValidRow") {
  Read(Changing(5, 9));
  const absl::Time seen = m_now;
  for (const char* const field :
       {"orders", "ordered", "ordered_after", "recorded_after"}) {
    for (const char* const value :
         {"-1", "1e300", "5.0", "18446744073709551615", "true", "null", "[]",
          "{}", "\"a\\r\\nb\""}) {
      CAPTURE(field);
      CAPTURE(value);
      m_now += absl::Milliseconds(1);
      std::string row = LeadershipView::EncodeLeader(Changing(6, 11));
      const std::string key = absl::StrCat("\"", field, "\":");
      const size_t start = row.find(key) + key.size();
      row.replace(start, row.find_first_of(",}", start) - start, value);
      m_view.Apply(Rows({{"leader/g", row, ++m_version, false}, OwnRow(7)}),
                   m_now);
      CHECK(m_view.Leader("g").epoch == 5);
      CHECK(m_view.Leader("g").orders.target == "db2");
      CHECK(m_view.Leader("g").orders.count == 1);
      CHECK(m_view.Leader("g").orders.recorded_after == 9);
      CHECK(m_view.Leader("g").orders_seen == seen);
      CHECK(m_view.LeaseValid(m_now));
    }
  }
}

// The end of an order counts from its record. Counting from each later row
// would prolong the wait; counting a new order from an earlier one would end it
// too soon.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_OrdersSeen_IsRenewedByEachOrder") {
  Read(Changing(5, 9));
  const absl::Time first = m_now;
  m_now += absl::Seconds(1);
  Read(Changing(6, 9));  // Another holder takes the change over.
  CHECK(m_view.Leader("g").orders_seen == first);
  m_now += absl::Seconds(1);
  Read(Changing(6, 12));  // It repeats the order.
  const absl::Time second = m_now;
  CHECK(m_view.Leader("g").orders_seen == second);
  m_now += absl::Seconds(1);
  GroupLeader open = Changing(7, 12);
  open.phase = LeaderPhase::kOpen;
  open.primary = "db2";
  Read(open);
  CHECK(m_view.Leader("g").orders_seen == second);
  m_now += absl::Seconds(1);
  Read(Changing(10, 20));  // Epochs 8 and 9 were missed.
  CHECK(m_view.Leader("g").orders_seen == m_now);
}

// The wait for the leases of unresponsive members counts from the first sight
// of the change, which the record of an order does not repeat.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_OrderRecorded_KeepsChangeSeen") {
  ReadEarlierVersion(4, true);
  m_now += absl::Seconds(1);
  GroupLeader announced = Changing(5, 0);
  announced.orders = {};
  Read(announced);
  const absl::Time change_seen = m_now;
  const absl::Time usable_until = m_view.Leader("g").usable_until;
  m_now += absl::Seconds(1);
  Read(Changing(5, 12));
  CHECK(m_view.Leader("g").change_seen == change_seen);
  CHECK(m_view.Leader("g").usable_until == usable_until);
  CHECK(m_view.Leader("g").change_epoch == 5);
  CHECK(m_view.Leader("g").orders_seen == m_now);
}

// An instance of this version takes over a change that an earlier version began
// and passes its order on without the version of a record. Whoever has not read
// the earlier version's row has not seen that order before.
TEST_CASE_FIXTURE(PendingOrdersFixture,
                  "LeadershipView_UnrecordedOrderOfMissedEpoch_IsSeenNow") {
  for (const bool known_open : {true, false}) {
    CAPTURE(known_open);
    const uint64_t known_epoch = known_open ? 1 : 11;
    ReadEarlierVersion(known_epoch, known_open);
    m_now += absl::Minutes(1);
    GroupLeader taken_over = Changing(known_epoch + 2, 0);
    taken_over.orders = {"", 1, 0, 0};
    Read(taken_over);
    CHECK(m_view.Leader("g").orders_seen == m_now);
    const absl::Time seen = m_now;
    m_now += absl::Seconds(1);
    ++taken_over.epoch;  // Another instance takes over at once.
    Read(taken_over);
    CHECK(m_view.Leader("g").orders_seen == seen);
  }
}

}  // namespace
}  // namespace heatherwick
