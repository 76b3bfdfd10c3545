// Tests which sheet comes into force on an instance: only a higher version
// whose text has the right hash, from the store or from a peer, whichever
// answers.

#include "Source/decision/sheet_acceptance.h"

#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class SheetAcceptanceFixture {
 protected:
  SheetAcceptanceFixture() : m_acceptance({}, m_random) {}

  static std::string MakeText(uint64_t version) {
    return absl::StrCat(
        "record,name,group,region,data_centre,address,slots,connections,"
        "max_age,repeatable,share\ngroup,g,,r,,,,,,,\n"
        "target,t,g,,dc1,127.0.0.1:1,2,16,,,\ncaller,c,,,,,,,,,",
        version, "\n");
  }

  static SheetHead MakeHead(uint64_t version) {
    return {version,
            SheetContentHash(MakeText(version)),
            absl::StrCat("s", version),
            "ana",
            1000,
            version - 1};
  }

  // Advances the time in ticks of 100 ms and returns the actions.
  std::vector<SheetAction> AdvanceTime(absl::Duration time,
                                       bool poller = false) {
    std::vector<SheetAction> actions;
    for (const absl::Time end = m_now + time; m_now < end;) {
      m_now += absl::Milliseconds(100);
      m_acceptance.OnTick(poller, m_now, &actions);
    }
    return actions;
  }

  std::vector<SheetAction> DeliverContent(const SheetHead& head,
                                          const std::string& text) {
    std::vector<SheetAction> actions;
    m_acceptance.OnContent(head, text, m_now, &actions);
    return actions;
  }

  std::vector<SheetAction> SeeVersion(uint64_t version,
                                      const std::string& address) {
    std::vector<SheetAction> actions;
    m_acceptance.OnVersionSeen(version, address, m_now, &actions);
    return actions;
  }

  std::vector<SheetAction> DeliverHead(const std::optional<SheetHead>& head) {
    std::vector<SheetAction> actions;
    m_acceptance.OnHeadRead(head, m_now, &actions);
    return actions;
  }

  // Brings a version into force, with no read or fetch outstanding.
  void PutInForce(uint64_t version) {
    AdvanceTime(absl::Milliseconds(100));
    DeliverHead(MakeHead(version));
    DeliverContent(MakeHead(version), MakeText(version));
    REQUIRE(m_acceptance.InForce() == MakeHead(version));
  }

  template <typename Action>
  static size_t CountOf(const std::vector<SheetAction>& actions) {
    size_t count = 0;
    for (const SheetAction& action : actions) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }

  std::mt19937 m_random{7};
  SheetAcceptance m_acceptance;
  absl::Time m_now = absl::FromUnixSeconds(1000);
};

// Guards against an older sheet that replaces a newer one. It may come from a
// peer that is behind, from a store that was reset to an older state, or from a
// delayed submission.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_OlderSheetFromAnySource_IsNotAdopted") {
  PutInForce(5);
  std::vector<SheetAction> actions = DeliverContent(MakeHead(4), MakeText(4));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "older");
  m_acceptance.OnSubmitted(MakeHead(3), MakeText(3), &actions);
  CHECK(CountOf<AdoptSheet>(actions) == 0);
  CHECK(SeeVersion(4, "peer:1").empty());
  AdvanceTime(absl::Seconds(11));
  CHECK(DeliverHead(MakeHead(2)).empty());
  CHECK(DeliverHead(std::nullopt).empty());
  CHECK(m_acceptance.InForce() == MakeHead(5));
}

// Guards against a sheet whose text was corrupted in transit or in the store.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_TextWithWrongHash_IsRejectedAndRefetched") {
  PutInForce(5);
  CHECK(CountOf<FetchFromPeer>(SeeVersion(6, "peer:1")) == 1);
  const std::vector<SheetAction> actions =
      DeliverContent(MakeHead(6), MakeText(7));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "wrong_hash");
  CHECK(m_acceptance.InForce() == MakeHead(5));
  CHECK(CountOf<FetchFromPeer>(AdvanceTime(absl::Seconds(1))) == 1);
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_MalformedText_KeepsTheSheetInForce") {
  PutInForce(5);
  SheetHead head = MakeHead(6);
  head.content_hash = SheetContentHash("nonsense");
  const std::vector<SheetAction> actions = DeliverContent(head, "nonsense");
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "malformed");
  CHECK(m_acceptance.InForce() == MakeHead(5));
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_Poller_ReadsTheHeadEachSecond") {
  PutInForce(5);
  size_t reads = 0;
  for (int second = 0; second < 10; ++second) {
    reads += CountOf<ReadSheetHead>(AdvanceTime(absl::Seconds(1), true));
    DeliverHead(MakeHead(5));
  }
  CHECK(reads >= 9);
  CHECK(reads <= 10);
  const std::vector<SheetAction> actions = DeliverHead(MakeHead(6));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FetchFromStore>(actions[0]).head == MakeHead(6));
  CHECK(CountOf<AdoptSheet>(DeliverContent(MakeHead(6), MakeText(6))) == 1);
}

// Guards against thousands of instances that all read the head each second, and
// against an instance that never gets a newer sheet once both pollers are gone.
TEST_CASE_FIXTURE(
    SheetAcceptanceFixture,
    "SheetAcceptance_NotPoller_ReadsTheHeadOnlyWithoutPeerReports") {
  PutInForce(5);
  for (int second = 0; second < 30; ++second) {
    SeeVersion(5, "peer:1");
    CHECK(CountOf<ReadSheetHead>(AdvanceTime(absl::Seconds(1))) == 0);
  }
  CHECK(CountOf<ReadSheetHead>(AdvanceTime(absl::Milliseconds(4900))) == 0);
  CHECK(CountOf<ReadSheetHead>(AdvanceTime(absl::Milliseconds(5200))) == 1);
  m_acceptance.OnHeadReadFailed(m_now);
  CHECK(CountOf<ReadSheetHead>(AdvanceTime(absl::Milliseconds(4900))) == 0);
}

// Guards against giving up the search for a newer sheet when a peer has none or
// does not answer.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_PeerHasNothingNewer_AsksElsewhere") {
  PutInForce(5);
  std::vector<SheetAction> actions = SeeVersion(7, "peer:1");
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FetchFromPeer>(actions[0]).at_least_version == 6);
  CHECK(SeeVersion(7, "peer:2").empty());  // One fetch at a time.
  m_acceptance.OnNoNewerSheet(m_now);
  actions = AdvanceTime(absl::Milliseconds(300));
  REQUIRE(CountOf<FetchFromPeer>(actions) == 1);
  CHECK(std::get<FetchFromPeer>(actions[0]).address == "peer:2");
  m_acceptance.OnFetchFailed(m_now);
  actions = AdvanceTime(absl::Seconds(1));
  CHECK(CountOf<ReadSheetHead>(actions) >= 1);
  CHECK(CountOf<FetchFromPeer>(actions) == 1);  // Its address is empty.
  DeliverHead(MakeHead(7));
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromStore>(AdvanceTime(absl::Seconds(3))) == 1);
  CHECK(CountOf<AdoptSheet>(DeliverContent(MakeHead(7), MakeText(7))) == 1);
}

// Guards against waiting for a text that the store has lost although peers have
// it.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StoreLacksTheText_AsksPeersNext") {
  PutInForce(5);
  CHECK(CountOf<FetchFromStore>(DeliverHead(MakeHead(6))) == 1);
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromPeer>(AdvanceTime(absl::Milliseconds(300))) == 1);
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromStore>(AdvanceTime(absl::Milliseconds(600))) == 1);
}

// Guards against an instance that cannot start during a store outage although
// its peers have the sheet.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StartWithStoreDown_TakesThePeersSheet") {
  const std::vector<SheetAction> actions = AdvanceTime(absl::Milliseconds(100));
  CHECK(CountOf<ReadSheetHead>(actions) == 1);
  CHECK(CountOf<FetchFromPeer>(actions) == 1);
  m_acceptance.OnHeadReadFailed(m_now);
  CHECK(CountOf<AdoptSheet>(DeliverContent(MakeHead(9), MakeText(9))) == 1);
  CHECK(m_acceptance.InForce() == MakeHead(9));
}

// Guards against an instance that, at its start, gives up or floods its peers
// with requests while neither the store nor a peer answers.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StartWithoutAnyReply_KeepsRetrying") {
  size_t fetches = 0;
  size_t reads = 0;
  for (int tick = 0; tick < 600; ++tick) {
    const std::vector<SheetAction> actions =
        AdvanceTime(absl::Milliseconds(100));
    fetches += CountOf<FetchFromPeer>(actions);
    reads += CountOf<ReadSheetHead>(actions);
    m_acceptance.OnFetchFailed(m_now);
    m_acceptance.OnHeadReadFailed(m_now);
  }
  CHECK(fetches >= 25);
  CHECK(fetches <= 40);
  CHECK(reads >= 50);
  CHECK(reads <= 61);
}

// Guards against an instance that searches without end because a caller's token
// names a version that never existed.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_VersionThatNeverExisted_IsForgotten") {
  PutInForce(5);
  SeeVersion(1000, "");
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<ReadSheetHead>(AdvanceTime(absl::Seconds(1))) == 1);
  DeliverHead(MakeHead(5));
  m_acceptance.OnFetchFailed(m_now);
  CHECK(AdvanceTime(absl::Milliseconds(4500)).empty());
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_SubmittedHere_IsInForceAtOnce") {
  PutInForce(5);
  std::vector<SheetAction> actions;
  m_acceptance.OnSubmitted(MakeHead(6), MakeText(6), &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AdoptSheet>(actions[0]).sheet->callers.at("c").share == 6);
}

}  // namespace
}  // namespace heatherwick
