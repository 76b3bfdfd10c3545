// Guards against extending a lease on the replies of peers although a change
// may have been published.

#include "Source/gateway/peer_leases.h"

#include <map>
#include <string>

#include "Tests/gateway/virtual_loop.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class ScriptedPeers : public PeerTransport {
 public:
  void Vouch(const std::string& address,
             const VouchQuery&,
             absl::Duration,
             std::function<void(Result<VouchResponse>)> done) override {
    ++calls;
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
  int calls = 0;
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
  static Error NotRunning() { return {ErrorKind::kNotFound, "refused", ""}; }

  void QueryPeers(Result<VouchResponse> first, Result<VouchResponse> second) {
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
  PeerLeases m_leases{"self",
                      7,
                      &m_loop,
                      &m_peers,
                      &m_view,
                      [this](const RowChanges& changes) {
                        m_rows = changes.rows;
                        m_view.Apply(changes, m_loop.Now());
                      }};
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

TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_OneMemberNotRunning_ExtendsByUnanimity") {
  QueryPeers(StoreUnreachable(), NotRunning());
  CHECK(ValidIn(absl::Milliseconds(1900)));
}

// Corresponds to NO_CONTINUOUS_LEASE in lease.pml. The member no longer runs,
// but it may have promoted another primary after this instance's lease expired
// and before the member ended.
TEST_CASE_FIXTURE(PeerLeasesFixture,
                  "PeerLeases_MemberNotRunningAfterExpiry_DoesNotExtend") {
  m_loop.RunFor(absl::Seconds(2));
  QueryPeers(StoreUnreachable(), NotRunning());
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
  RowChanges known;
  known.rows = {{LeadershipView::LeaderKey("g"),
                 LeadershipView::EncodeLeader(leader), 60, false}};
  m_view.Apply(known, m_loop.Now());
  QueryPeers(ReadOfAge(absl::ZeroDuration()), StoreUnreachable());
  CHECK_FALSE(ValidIn(absl::Milliseconds(1001)));
}

}  // namespace
}  // namespace heatherwick
