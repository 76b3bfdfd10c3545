// Checks that the stand-in database keeps the rules that the proxy's safety
// depends on. If it broke them, a passing process test would prove nothing.

#include "Tests/StandIns/target_state.h"

#include "doctest/doctest.h"

namespace heatherwick {

namespace {

class TargetGroup {
  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);

 public:
  TargetState a{"a", true, m_now};
  TargetState b{"b", false, m_now};
  TargetState c{"c", false, m_now};

  absl::Time Now() const { return m_now; }
  void AdvanceTime(absl::Duration time) { m_now += time; }

  void Pull(TargetState* from, const std::string& name, TargetState* to) {
    proto::PullReply reply;
    from->AnswerPull(to->MakePullRequest(), &reply);
    to->OnPullReply(name, reply, m_now, m_now);
  }

  bool Fence(TargetState* target, uint64_t term, const std::string& decider) {
    proto::FenceRequest request;
    request.set_term(term);
    request.set_decider(decider);
    proto::FenceReply reply;
    target->Fence(request, &reply);
    return reply.granted();
  }

  bool Promote(TargetState* target, uint64_t term, const std::string& decider) {
    proto::PromoteRequest request;
    request.set_term(term);
    request.set_decider(decider);
    proto::PromoteReply reply;
    target->Promote(request, m_now, &reply);
    return reply.promoted();
  }

  proto::StatementReply Run(TargetState* target,
                            proto::Operation operation,
                            const std::string& text,
                            uint64_t term,
                            const std::string& key = "",
                            TargetSession* session = nullptr) {
    proto::StatementRequest request;
    request.set_operation(operation);
    request.set_term(term);
    request.set_key(key);
    request.set_resolve(text == "RESOLVE");
    TargetSession new_session;
    proto::StatementReply reply;
    target->Run(request, ParseStatement(text).value_or(Statement()),
                session == nullptr ? &new_session : session, m_now, &reply);
    return reply;
  }
};

}  // namespace

TEST_CASE_FIXTURE(TargetGroup, "TargetState_Fenced_RefusesWritesAndPulls") {
  Pull(&a, "a", &b);
  CHECK(Fence(&a, 2, "d"));
  CHECK_FALSE(Fence(&a, 2, "other"));
  CHECK(Run(&a, proto::WRITE, "PUT k v", 1).refusal() == proto::NOT_PRIMARY);
  proto::PullReply reply;
  a.AnswerPull(b.MakePullRequest(), &reply);
  CHECK_FALSE(reply.primary());
}

TEST_CASE_FIXTURE(TargetGroup, "TargetState_FencedReplica_IgnoresLowerTerm") {
  proto::PullReply reply;
  a.AnswerPull(b.MakePullRequest(), &reply);
  CHECK(Fence(&b, 2, "d"));
  b.OnPullReply("a", reply, Now(), Now());
  CHECK(b.Log().End().lsn() == 0);
}

TEST_CASE_FIXTURE(TargetGroup,
                  "TargetState_OldPrimary_TruncatesUnreplicatedEntries") {
  Run(&a, proto::WRITE, "PUT k old", 1);
  Pull(&a, "a", &b);
  Run(&a, proto::WRITE, "PUT k lost", 1, "x/key");
  CHECK(Fence(&b, 2, "d"));
  CHECK(Fence(&c, 2, "d"));
  CHECK(Promote(&b, 2, "d"));
  Pull(&b, "b", &c);
  CHECK_FALSE(Promote(&c, 2, "d"));
  Pull(&b, "b", &a);
  CHECK(a.Log().End().lsn() == b.Log().End().lsn());
  CHECK(a.Log().End().term() == 2);
  CHECK(a.Log().FindKey("x/key") == nullptr);
  CHECK(Run(&a, proto::READ, "GET k", 0).result() == "old");
}

TEST_CASE_FIXTURE(TargetGroup, "TargetState_RepeatedKey_DoesNotRunAgain") {
  CHECK(Run(&a, proto::WRITE, "ADD n 1", 1, "x/1").result() == "1");
  const auto repeated_reply = Run(&a, proto::WRITE, "ADD n 1", 1, "x/1");
  CHECK(repeated_reply.repeated());
  CHECK(repeated_reply.result() == "1");
  CHECK(Run(&a, proto::READ, "GET n", 0).result() == "1");
}

TEST_CASE_FIXTURE(TargetGroup,
                  "TargetState_KeySettledAsNotRun_RefusesLaterWrite") {
  CHECK(Run(&a, proto::WRITE, "RESOLVE", 1, "x/1").refusal() ==
        proto::KEY_REFUSED);
  CHECK(Run(&a, proto::WRITE, "ADD n 1", 1, "x/1").refusal() ==
        proto::KEY_REFUSED);
  CHECK(Run(&a, proto::READ, "GET n", 0).result().empty());
}

TEST_CASE_FIXTURE(TargetGroup,
                  "TargetState_Transaction_AppliesWritesAtCommit") {
  TargetSession session;
  Run(&a, proto::BEGIN, "", 1, "", &session);
  Run(&a, proto::WRITE, "PUT k v", 1, "", &session);
  CHECK(Run(&a, proto::READ, "GET k", 1, "", &session).result() == "v");
  CHECK(Run(&a, proto::READ, "GET k", 0).result().empty());
  CHECK(Run(&a, proto::COMMIT, "", 1, "x/1", &session).result() == "OK");
  CHECK(Run(&a, proto::READ, "GET k", 0).result() == "v");
}

TEST_CASE_FIXTURE(TargetGroup,
                  "TargetState_CommitAfterConflictingWrite_IsRolledBack") {
  TargetSession session;
  Run(&a, proto::BEGIN, "", 1, "", &session);
  Run(&a, proto::WRITE, "ADD n 1", 1, "", &session);
  Run(&a, proto::WRITE, "ADD n 5", 1);
  CHECK(Run(&a, proto::COMMIT, "", 1, "", &session).refusal() == proto::FAILED);
  CHECK(Run(&a, proto::READ, "GET n", 0).result() == "5");
}

TEST_CASE_FIXTURE(TargetGroup, "TargetState_LaggingReplica_ReportsItsAge") {
  b.SetLag(absl::Milliseconds(100));
  Run(&a, proto::WRITE, "PUT k v", 1);
  Pull(&a, "a", &b);
  AdvanceTime(absl::Milliseconds(50));
  const auto early = Run(&b, proto::READ, "GET k", 0);
  CHECK(early.result().empty());
  CHECK(early.age_ms() > 1000);
  CHECK(b.Log().End().lsn() == 2);
  AdvanceTime(absl::Milliseconds(60));
  const auto late = Run(&b, proto::READ, "GET k", 0);
  CHECK(late.result() == "v");
  CHECK(late.age_ms() == 110);
}

}  // namespace heatherwick
