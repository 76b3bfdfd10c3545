// Tests which sheet comes into force on an instance: only higher versions
// with the right text, found by polls, peers or the store, whichever answers.

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

  static std::string Text(uint64_t version) {
    return absl::StrCat(
        "record,name,group,region,data_centre,address,slots,connections,"
        "max_age,repeatable,share\ngroup,g,,r,,,,,,,\n"
        "target,t,g,,dc1,127.0.0.1:1,2,16,,,\ncaller,c,,,,,,,,,",
        version, "\n");
  }

  static SheetHead Head(uint64_t version) {
    return {version,
            SheetContentHash(Text(version)),
            absl::StrCat("s", version),
            "ana",
            1000,
            version - 1};
  }

  // Passes `time` in ticks of 100 ms and returns the actions.
  std::vector<SheetAction> Pass(absl::Duration time, bool poller = false) {
    std::vector<SheetAction> actions;
    for (const absl::Time end = m_now + time; m_now < end;) {
      m_now += absl::Milliseconds(100);
      m_acceptance.OnTick(poller, m_now, &actions);
    }
    return actions;
  }

  std::vector<SheetAction> Offer(const SheetHead& head,
                                 const std::string& text) {
    std::vector<SheetAction> actions;
    m_acceptance.OnContent(head, text, m_now, &actions);
    return actions;
  }

  std::vector<SheetAction> See(uint64_t version, const std::string& address) {
    std::vector<SheetAction> actions;
    m_acceptance.OnVersionSeen(version, address, m_now, &actions);
    return actions;
  }

  std::vector<SheetAction> ReadHead(const std::optional<SheetHead>& head) {
    std::vector<SheetAction> actions;
    m_acceptance.OnHeadRead(head, m_now, &actions);
    return actions;
  }

  // Brings a version into force, with no read or fetch outstanding.
  void Start(uint64_t version) {
    Pass(absl::Milliseconds(100));
    ReadHead(Head(version));
    Offer(Head(version), Text(version));
    REQUIRE(m_acceptance.InForce() == Head(version));
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

// Guards against an older sheet that replaces a newer one, wherever it comes
// from: a stale peer, a store set back, or a delayed submission.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_OlderSheetFromAnywhere_NeverReverts") {
  Start(5);
  std::vector<SheetAction> actions = Offer(Head(4), Text(4));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "older");
  m_acceptance.OnSubmitted(Head(3), Text(3), &actions);
  CHECK(CountOf<AdoptSheet>(actions) == 0);
  CHECK(See(4, "peer:1").empty());
  Pass(absl::Seconds(11));
  CHECK(ReadHead(Head(2)).empty());
  CHECK(ReadHead(std::nullopt).empty());
  CHECK(m_acceptance.InForce() == Head(5));
}

// Guards against a sheet that was changed on the way or in the store.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_TextWithOtherHash_IsRejectedAndRefetched") {
  Start(5);
  CHECK(CountOf<FetchFromPeer>(See(6, "peer:1")) == 1);
  const std::vector<SheetAction> actions = Offer(Head(6), Text(7));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "wrong_hash");
  CHECK(m_acceptance.InForce() == Head(5));
  CHECK(CountOf<FetchFromPeer>(Pass(absl::Seconds(1))) == 1);
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_MalformedText_KeepsTheSheetInForce") {
  Start(5);
  SheetHead head = Head(6);
  head.content_hash = SheetContentHash("nonsense");
  const std::vector<SheetAction> actions = Offer(head, "nonsense");
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RejectSheet>(actions[0]).reason == "malformed");
  CHECK(m_acceptance.InForce() == Head(5));
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_Poller_ReadsTheHeadEachSecond") {
  Start(5);
  size_t reads = 0;
  for (int second = 0; second < 10; ++second) {
    reads += CountOf<ReadSheetHead>(Pass(absl::Seconds(1), true));
    ReadHead(Head(5));
  }
  CHECK(reads >= 9);
  CHECK(reads <= 10);
  const std::vector<SheetAction> actions = ReadHead(Head(6));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FetchFromStore>(actions[0]).head == Head(6));
  CHECK(CountOf<AdoptSheet>(Offer(Head(6), Text(6))) == 1);
}

// Guards against thousands of instances that read the head each second, and
// against one that stays behind for ever when both pollers are gone.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_NotPoller_ReadsTheHeadOnlyWithoutNews") {
  Start(5);
  for (int second = 0; second < 30; ++second) {
    See(5, "peer:1");
    CHECK(CountOf<ReadSheetHead>(Pass(absl::Seconds(1))) == 0);
  }
  CHECK(CountOf<ReadSheetHead>(Pass(absl::Milliseconds(4900))) == 0);
  CHECK(CountOf<ReadSheetHead>(Pass(absl::Milliseconds(5200))) == 1);
  m_acceptance.OnHeadReadFailed(m_now);
  CHECK(CountOf<ReadSheetHead>(Pass(absl::Milliseconds(4900))) == 0);
}

// Guards against a peer whose stale answer, or silence, ends the search.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_PeerHasNothingNewer_AsksElsewhere") {
  Start(5);
  std::vector<SheetAction> actions = See(7, "peer:1");
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FetchFromPeer>(actions[0]).at_least_version == 6);
  CHECK(See(7, "peer:2").empty());  // One fetch at a time.
  m_acceptance.OnNothingNewer(m_now);
  actions = Pass(absl::Milliseconds(300));
  REQUIRE(CountOf<FetchFromPeer>(actions) == 1);
  CHECK(std::get<FetchFromPeer>(actions[0]).address == "peer:2");
  m_acceptance.OnFetchFailed(m_now);
  actions = Pass(absl::Seconds(1));
  CHECK(CountOf<ReadSheetHead>(actions) >= 1);
  CHECK(CountOf<FetchFromPeer>(actions) == 1);  // Some peers.
  ReadHead(Head(7));
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromStore>(Pass(absl::Seconds(3))) == 1);
  CHECK(CountOf<AdoptSheet>(Offer(Head(7), Text(7))) == 1);
}

// Guards against waiting for a text that the store has lost while peers have
// it.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StoreLacksTheText_AsksPeersNext") {
  Start(5);
  CHECK(CountOf<FetchFromStore>(ReadHead(Head(6))) == 1);
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromPeer>(Pass(absl::Milliseconds(300))) == 1);
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<FetchFromStore>(Pass(absl::Milliseconds(600))) == 1);
}

// Guards against an instance that cannot start during a store outage although
// its peers have the sheet.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StartWithStoreDown_TakesThePeersSheet") {
  const std::vector<SheetAction> actions = Pass(absl::Milliseconds(100));
  CHECK(CountOf<ReadSheetHead>(actions) == 1);
  CHECK(CountOf<FetchFromPeer>(actions) == 1);
  m_acceptance.OnHeadReadFailed(m_now);
  CHECK(CountOf<AdoptSheet>(Offer(Head(9), Text(9))) == 1);
  CHECK(m_acceptance.InForce() == Head(9));
}

// Guards against a start that gives up, or floods its peers, while neither
// the store nor a peer answers.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_StartWithNobodyAnswering_KeepsAsking") {
  size_t fetches = 0;
  size_t reads = 0;
  for (int tick = 0; tick < 600; ++tick) {
    const std::vector<SheetAction> actions = Pass(absl::Milliseconds(100));
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

// Guards against a caller's token that names a version which never existed:
// it must not keep the instance searching.
TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_VersionThatNeverExisted_IsForgotten") {
  Start(5);
  See(1000, "");
  m_acceptance.OnFetchFailed(m_now);
  CHECK(CountOf<ReadSheetHead>(Pass(absl::Seconds(1))) == 1);
  ReadHead(Head(5));
  m_acceptance.OnFetchFailed(m_now);
  CHECK(Pass(absl::Milliseconds(4500)).empty());
}

TEST_CASE_FIXTURE(SheetAcceptanceFixture,
                  "SheetAcceptance_SubmittedHere_IsInForceAtOnce") {
  Start(5);
  std::vector<SheetAction> actions;
  m_acceptance.OnSubmitted(Head(6), Text(6), &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AdoptSheet>(actions[0]).sheet->callers.at("c").share == 6);
}

}  // namespace
}  // namespace heatherwick
