// Guards against extending a lease on the replies of peers although a change
// may have been published.

#include "Source/gateway/peer_leases.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/store_version.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class ScriptedPeers : public PeerTransport {
 public:
  void Vouch(const std::string& address,
             const VouchQuery& query,
             absl::Duration,
             std::function<void(Result<VouchResponse>)> done) override {
    ++calls;
    last_query = query;
    if (hold_answers) {
      held.emplace_back(address, std::move(done));
      return;
    }
    done(answers.at(address));
  }

  void Follow(const std::string&,
              const FollowQuery&,
              absl::Duration,
              std::function<void(Result<FollowResponse>)>) override {}

  void Fetch(const std::string&,
             const FetchQuery&,
             absl::Duration,
             std::function<void(Result<std::string>)>) override {}

  std::map<std::string, Result<VouchResponse>> answers;
  bool hold_answers = false;
  // With the addresses that were asked.
  std::vector<
      std::pair<std::string, std::function<void(Result<VouchResponse>)>>>
      held;
  int calls = 0;
  VouchQuery last_query;
};

class PeerLeasesFixture {
 protected:
  PeerLeasesFixture() {
    RowChanges changes;
    uint64_t version = 2;
    for (const char* id : {"self", "p1", "p2"}) {
      changes.rows.push_back({LeadershipView::MemberKey(id),
                              LeadershipView::EncodeMember({7, id, 0}),
                              ++version, false});
    }
    changes.version = version;
    changes.as_of = m_loop.Now();
    m_view.Apply(changes, m_loop.Now());
  }

  void AddLeaderRow() {
    RowChanges changes;
    GroupLeader leader;
    leader.epoch = 1;
    leader.phase = LeaderPhase::kOpen;
    leader.primary = "db0";
    leader.holder = "p1";
    changes.rows = {{LeadershipView::LeaderKey("g"),
                     LeadershipView::EncodeLeader(leader), 9, false}};
    changes.version = 9;
    changes.as_of = m_loop.Now();
    m_view.Apply(changes, m_loop.Now());
  }
  // The answer of a member that knows the same leader rows.
  VouchResponse SameLeaders() const {
    VouchResponse answer = StoreUnreachable();
    answer.leaders_version = m_view.LeadersVersion();
    answer.has_reading = true;
    answer.reading_age = absl::Hours(1);
    answer.member_known = true;
    return answer;
  }
  static VouchResponse StoreUnreachable() {
    VouchResponse answer;
    answer.store_unreachable = true;
    return answer;
  }
  static VouchResponse ReadOfAge(absl::Duration age) {
    VouchResponse answer;
    answer.member_known = true;
    answer.has_reading = true;
    answer.reading_age = age;
    return answer;
  }
  static Error NoAnswer() { return {ErrorKind::kUnavailable, "no answer", ""}; }
  static Error Refused() {
    return {ErrorKind::kNotFound, "connection refused", ""};
  }
  static Result<VouchResponse> From(const InstanceId& responder,
                                    Result<VouchResponse> answer) {
    if (Ok(answer)) {
      ValueOf(answer).responder = responder;
    }
    return answer;
  }

  // The peers answer under their own names.
  void QueryPeers(Result<VouchResponse> first, Result<VouchResponse> second) {
    QueryAddresses(From("p1", std::move(first)), From("p2", std::move(second)));
  }
  void QueryAddresses(Result<VouchResponse> first,
                      Result<VouchResponse> second) {
    m_peers.answers.insert_or_assign("p1", std::move(first));
    m_peers.answers.insert_or_assign("p2", std::move(second));
    m_loop.RunFor(absl::Seconds(1));
    m_leases.Tick();
  }
  bool ValidIn(absl::Duration time) const {
    return m_view.LeaseValid(m_loop.Now() + time);
  }

  VirtualLoop m_loop;
  LeadershipView m_view{"self", 7};
  ScriptedPeers m_peers;
  std::vector<StoredRow> m_rows;
  PeerLeases m_leases{
      "self",
      7,
      &m_loop,
      &m_peers,
      &m_view,
      [this](const RowChanges& changes) {
        m_rows = changes.rows;
        m_view.Apply(changes, m_loop.Now());
      },
      [this](uint64_t era) { m_view.BeginEra(era, m_loop.Now()); }};
};

TEST_CASE_FIXTURE(PeerLeasesFixture, "PeerLeases_ViewCurrent_QueriesNoPeer") {
  m_leases.Tick();
  CHECK(m_peers.calls == 0);
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_PeerHasNewerRead_ExtendsToItsAge") {
  QueryPeers(ReadOfAge(absl::Milliseconds(300)), NoAnswer());
  CHECK(ValidIn(absl::Milliseconds(1600)));
  CHECK_FALSE(ValidIn(absl::Milliseconds(1701)));
}

// Guards against a lease that ends in the far future.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_ReadingOfNegativeAge_DoesNotExtend") {
  QueryPeers(ReadOfAge(-absl::Hours(1)), NoAnswer());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

// A peer that has read a later era of the store knows that this instance's rows
// are no longer in force.
TEST_CASE_FIXTURE(PeerLeasesFixture, "PeerLeases_PeerIsInLaterEra_LeaseEnds") {
  VouchResponse answer = ReadOfAge(absl::ZeroDuration());
  answer.leaders_version = QualifyVersion(1, 0);
  QueryPeers(answer, NoAnswer());
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
  CHECK(m_view.Era() == 1);
}

// The members that were asked are those of the era before. One that has joined
// in the new era was not asked, and may carry out a change.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_AnswersOfRoundBeforeTheEra_DoNotExtend") {
  m_loop.RunFor(absl::Seconds(1));
  const absl::Time read_at = m_loop.Now();
  m_loop.RunFor(absl::Milliseconds(100));
  m_peers.hold_answers = true;
  m_leases.Tick();
  REQUIRE(m_peers.held.size() == 2);
  m_view.BeginEra(1, m_loop.Now());
  // Another instance read the new era before the round.
  RowChanges changes;
  changes.snapshot = true;
  uint64_t number = 2;
  for (const char* id : {"self", "p1", "p2", "p3"}) {
    changes.rows.push_back({LeadershipView::MemberKey(id),
                            LeadershipView::EncodeMember({7, id, 0}),
                            QualifyVersion(1, ++number), false});
  }
  changes.version = QualifyVersion(1, number);
  changes.as_of = read_at;
  m_view.Apply(changes, m_loop.Now());
  REQUIRE(ValidIn(absl::Milliseconds(1899)));
  for (const auto& [address, answer] : m_peers.held) {
    answer(From(address, StoreUnreachable()));
  }
  CHECK_FALSE(ValidIn(absl::Milliseconds(1901)));
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_PeerDoesNotKnowMember_DoesNotExtend") {
  VouchResponse answer = ReadOfAge(absl::ZeroDuration());
  answer.member_known = false;
  QueryPeers(answer, NoAnswer());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_NoMemberReadsTheStore_ExtendsByUnanimity") {
  QueryPeers(StoreUnreachable(), StoreUnreachable());
  CHECK(ValidIn(absl::Milliseconds(1900)));
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_OneMemberUnresponsive_DoesNotExtend") {
  QueryPeers(StoreUnreachable(), NoAnswer());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

// A refused connection does not show that no process runs: the way to the
// member may refuse, or the transport may repeat an earlier error.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_OneMemberRefuses_DoesNotExtend") {
  QueryPeers(StoreUnreachable(), Refused());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

// The address of a member has passed to another instance, so that one instance
// would count for two, or one that reads another store for a member.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_OtherInstanceAnswers_DoesNotExtend") {
  QueryAddresses(From("p1", StoreUnreachable()),
                 From("p1", StoreUnreachable()));
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
  CHECK(m_leases.DescribeLastRound() ==
        "members=2 other_instance=1:p2 read_nothing=1:p1");
  QueryAddresses(NoAnswer(), From("p1", ReadOfAge(absl::ZeroDuration())));
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
}

// Instances of earlier versions do not tell their names. Their readings name
// this run of the instance, but their agreement names nobody.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_AnswerWithoutName_OnlyItsReadingExtends") {
  QueryAddresses(StoreUnreachable(), StoreUnreachable());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
  QueryAddresses(ReadOfAge(absl::ZeroDuration()), NoAnswer());
  CHECK(ValidIn(absl::Milliseconds(1900)));
}

// On-call engineers must be able to tell by whose replies a lease was extended.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_RoundEnds_DescriptionNamesEachReply") {
  CHECK(m_leases.DescribeLastRound().empty());
  QueryPeers(SameLeaders(), NoAnswer());
  CHECK(m_leases.DescribeLastRound() ==
        "members=2 no_answer=1:p2 same_rows=1:p1");
}

// Guards against primaries that cannot be used because instances restart while
// the store is away.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_OneMemberHasReadNothing_ExtendsByUnanimity") {
  VouchResponse restarted = StoreUnreachable();
  REQUIRE_FALSE(restarted.has_reading);
  AddLeaderRow();
  QueryPeers(SameLeaders(), restarted);
  CHECK(ValidIn(absl::Milliseconds(1900)));
}

// A row that was announced to both shows nothing about older changes, which the
// member has forgotten and this instance has missed.
TEST_CASE_FIXTURE(
    PeerLeasesFixture,
    "PeerLeases_MemberKnowsAnnouncedRowOnlyAfterExpiry_DoesNotExtend") {
  AddLeaderRow();
  m_loop.RunFor(absl::Seconds(2));
  VouchResponse restarted = SameLeaders();
  restarted.has_reading = false;
  restarted.member_known = false;
  QueryPeers(SameLeaders(), restarted);
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
}

// As NO_CONTINUOUS_LEASE below: it may have ended after it promoted.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MemberHasReadNothingAfterExpiry_DoesNotExtend") {
  AddLeaderRow();
  m_loop.RunFor(absl::Seconds(2));
  QueryPeers(SameLeaders(), StoreUnreachable());
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
}

// Corresponds to NO_CONTINUOUS_LEASE in lease.pml. The member may no longer
// run, but it may have promoted another primary after this instance's lease
// expired and before the member ended.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MemberRefusesAfterExpiry_DoesNotExtend") {
  m_loop.RunFor(absl::Seconds(2));
  QueryPeers(StoreUnreachable(), Refused());
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_StoreUnreachableBeyondLimit_EndsExtensions") {
  const absl::Time began = m_loop.Now();
  while (m_loop.Now() < began + kUnanimityLimit) {
    QueryPeers(StoreUnreachable(), StoreUnreachable());
  }
  CHECK(m_view.LeaseValid(began + kUnanimityLimit));
  QueryPeers(StoreUnreachable(), StoreUnreachable());
  QueryPeers(StoreUnreachable(), StoreUnreachable());
  QueryPeers(StoreUnreachable(), StoreUnreachable());
  CHECK_FALSE(ValidIn(absl::ZeroDuration()));
}

// A member that carries out a change may order a promotion without access to
// the store, so it must not agree.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MemberCarriesOutChange_DoesNotAgree") {
  CHECK(m_leases.Answer({"p1", 7, 0, {}, {}}, false, false).store_unreachable);
  CHECK_FALSE(
      m_leases.Answer({"p1", 7, 0, {}, {}}, false, true).store_unreachable);
  CHECK_FALSE(
      m_leases.Answer({"p1", 7, 0, {}, {}}, true, false).store_unreachable);
}

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_PeerHasNewerLeaderRow_AppliesIt") {
  GroupLeader leader;
  leader.epoch = 2;
  leader.phase = LeaderPhase::kChanging;
  leader.primary = "db0";
  leader.holder = "p1";
  VouchResponse answer = ReadOfAge(absl::ZeroDuration());
  answer.leaders_version = 50;
  answer.leaders = {{LeadershipView::LeaderKey("g"),
                     LeadershipView::EncodeLeader(leader), 50, false}};
  QueryPeers(answer, NoAnswer());
  CHECK(m_rows.size() == 1);
  CHECK(m_view.Leader("g").phase == LeaderPhase::kChanging);
}

// The peer has not yet seen a change that this instance knows of.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_PeerBehindOwnView_DoesNotExtend") {
  GroupLeader leader;
  leader.primary = "db0";
  leader.holder = "p1";
  RowChanges known;
  known.rows = {{LeadershipView::LeaderKey("g"),
                 LeadershipView::EncodeLeader(leader), 60, false}};
  m_view.Apply(known, m_loop.Now());
  QueryPeers(ReadOfAge(absl::ZeroDuration()), StoreUnreachable());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

// Members of a large fleet, of which each asks its peers by itself.
class LargeFleetLeasesFixture {
 protected:
  static constexpr size_t kMembers = 80;

  struct Member : PeerTransport {
    Member(LargeFleetLeasesFixture* fixture, const InstanceId& name)
        : owner(fixture),
          view(name, 7),
          leases(
              name,
              7,
              &fixture->m_loop,
              this,
              &view,
              [this](const auto& c) { view.Apply(c, owner->m_loop.Now()); },
              [](uint64_t) {}) {}
    void Vouch(const std::string& address,
               const VouchQuery& query,
               absl::Duration timeout,
               std::function<void(Result<VouchResponse>)> done) override {
      ++queries;
      Member& peer = *owner->m_members.at(address);
      if (peer.dark) {
        owner->m_loop.Add(timeout, [done]() {
          done(Error{ErrorKind::kUnavailable, "no answer", ""});
        });
        return;
      }
      owner->m_loop.Add(absl::Milliseconds(2), [&peer, query, done]() {
        done(peer.leases.Answer(query, false, false));
      });
    }
    void Follow(const std::string&,
                const FollowQuery&,
                absl::Duration,
                std::function<void(Result<FollowResponse>)>) override {}
    void Fetch(const std::string&,
               const FetchQuery&,
               absl::Duration,
               std::function<void(Result<std::string>)>) override {}

    LargeFleetLeasesFixture* const owner;
    LeadershipView view;
    PeerLeases leases;
    size_t queries = 0;
    bool dark = false;
  };

  LargeFleetLeasesFixture() {
    RowChanges changes;
    for (size_t index = 0; index < kMembers; ++index) {
      const InstanceId id = absl::StrCat("m", index);
      m_members[id] = std::make_unique<Member>(this, id);
      changes.rows.push_back({LeadershipView::MemberKey(id),
                              LeadershipView::EncodeMember({7, id, 0, 0}),
                              index + 1, false});
    }
    changes.version = kMembers;
    changes.as_of = m_loop.Now();
    for (auto& [id, member] : m_members) {
      member->view.Apply(changes, m_loop.Now());
    }
  }
  // The store answers nobody for `time`.
  void Outage(absl::Duration time) {
    for (absl::Duration passed; passed < time;
         passed += absl::Milliseconds(50)) {
      m_loop.RunFor(absl::Milliseconds(50));
      for (auto& [id, member] : m_members) {
        member->leases.Tick();
      }
    }
  }

  VirtualLoop m_loop;
  std::map<InstanceId, std::unique_ptr<Member>> m_members;
};

// Guards against a fleet that stops 2 s after the store goes away although all
// of its members answer, and against calls that grow with the square.
TEST_CASE_FIXTURE(LargeFleetLeasesFixture,
                  "PeerLeases_LargeFleetWithoutStore_CollectorsExtendForAll") {
  Outage(absl::Seconds(10));
  std::vector<size_t> queries;
  for (const auto& [id, member] : m_members) {
    CHECK(member->view.LeaseValid(m_loop.Now()));
    queries.push_back(member->queries);
  }
  std::sort(queries.begin(), queries.end());
  CHECK(queries[kMembers / 2] <= 10 * 4 * 3);
  CHECK(queries.back() <= kMembers * 10 * 2);
}

TEST_CASE_FIXTURE(LargeFleetLeasesFixture,
                  "PeerLeases_LargeFleetMemberDark_DoesNotExtend") {
  m_members.at("m40")->dark = true;
  Outage(absl::Seconds(10));
  for (const auto& [id, member] : m_members) {
    CHECK_FALSE(member->view.LeaseValid(m_loop.Now()));
  }
}

// An announced row does not show that older rows are known. An instance that
// had missed the change of one group and was told of another's kept its lease,
// as no peer sent it the first one.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_RowAnnounced_AsksForAllSinceTheLastReading") {
  const uint64_t read = m_view.Version();
  GroupLeader leader;
  leader.epoch = 2;
  leader.phase = LeaderPhase::kChanging;
  leader.primary = "db0";
  leader.holder = "p1";
  RowChanges announced;
  announced.rows = {{LeadershipView::LeaderKey("h"),
                     LeadershipView::EncodeLeader(leader), 60, false}};
  m_view.Apply(announced, m_loop.Now());
  VouchResponse answer = StoreUnreachable();
  answer.member_known = true;
  answer.has_reading = true;
  answer.reading_age = absl::Hours(1);
  answer.leaders_version = 60;
  answer.leaders = {{LeadershipView::LeaderKey("g"),
                     LeadershipView::EncodeLeader(leader), 50, false}};
  QueryPeers(answer, answer);
  CHECK(m_peers.last_query.leaders_version == read);
  CHECK(m_view.Leader("g").phase == LeaderPhase::kChanging);
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

// The rows of members are removed with an update of a leader row. An instance
// that has that update from a peer, and not from the store, does not know which
// members are left.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MembersOlderThanLeaderRow_KnowsNoMember") {
  const VouchQuery query{"p1", 7, 0, {}, {}};
  CHECK(m_leases.Answer(query, false, false).member_known);
  GroupLeader leader;
  leader.epoch = 3;
  leader.primary = "db1";
  leader.holder = "p2";
  RowChanges from_peer;
  from_peer.rows = {{LeadershipView::LeaderKey("g"),
                     LeadershipView::EncodeLeader(leader), 60, false}};
  m_view.Apply(from_peer, m_loop.Now());
  CHECK_FALSE(m_leases.Answer(query, false, false).member_known);
}

// A peer that has read the removal of this instance's row does not count as
// agreeing, even if it cannot read the store any more.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MemberRemovedAtPeer_DoesNotExtendByUnanimity") {
  VouchResponse answer = SameLeaders();
  answer.has_reading = true;
  answer.reading_age = absl::Hours(1);
  answer.member_known = true;
  QueryPeers(answer, answer);
  CHECK(ValidIn(absl::Milliseconds(1900)));
  answer.member_known = false;
  QueryPeers(answer, answer);
  CHECK_FALSE(ValidIn(absl::Milliseconds(1900)));
}

}  // namespace
}  // namespace heatherwick
