// The state machine of the stand-in database: terms, fencing, promotion,
// replication, statements and transactions. It has no threads and reads no
// clock: the owner holds the lock and passes in the time. See docs/design.md,
// sections 2.2 to 2.5.

#ifndef TESTS_STANDINS_TARGET_STATE_H_
#define TESTS_STANDINS_TARGET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Source/proto/target.pb.h"
#include "Tests/StandIns/statement.h"
#include "Tests/StandIns/target_log.h"
#include "absl/time/time.h"

namespace heatherwick {

// State of a connection that is kept between its statements.
struct TargetSession {
  bool in_transaction = false;  // Whether a transaction is open.
  uint64_t term = 0;
  Writes writes;
  // LSN of each row that the transaction has read. The commit fails if another
  // transaction has written such a row since.
  std::map<std::string, uint64_t> reads;
};

class TargetState {
 public:
  TargetState(std::string id, bool primary_at_start, absl::Time now);

  // Sets `reply->refusal` if the statement cannot run now.
  void Check(const proto::StatementRequest& request,
             TargetSession* session,
             absl::Time now,
             proto::StatementReply* reply);
  // Checks and runs the request; `statement` is its parsed text.
  void Run(const proto::StatementRequest& request,
           const Statement& statement,
           TargetSession* session,
           absl::Time now,
           proto::StatementReply* reply);

  void Fence(const proto::FenceRequest& request, proto::FenceReply* reply);
  void Promote(const proto::PromoteRequest& request,
               absl::Time now,
               proto::PromoteReply* reply);
  void FillStatus(absl::Time now, proto::StatusReply* reply);

  proto::PullRequest MakePullRequest() const;
  void AnswerPull(const proto::PullRequest& request,
                  proto::PullReply* reply) const;
  void OnPullReply(const std::string& primary,
                   const proto::PullReply& reply,
                   absl::Time started,
                   absl::Time now);
  // Steps down if this target is primary and the peer is primary in a higher
  // term.
  void OnPeerStatus(const proto::StatusReply& status);

  void SetLag(absl::Duration lag) { m_lag = lag; }
  bool IsPrimary() const { return m_primary; }
  uint64_t Term() const { return m_term; }
  // Id of the primary that this target replicates from, or empty.
  const std::string& FollowedPrimary() const { return m_followed_primary; }
  const TargetLog& Log() const { return m_log; }

 private:
  absl::Duration UpdateDataAge(absl::Time now);
  void ApplyDueEntries(absl::Time now);
  bool CheckPrimary(const proto::StatementRequest& request,
                    proto::StatementReply* reply) const;
  void CheckRead(const proto::StatementRequest& request,
                 absl::Time now,
                 proto::StatementReply* reply);
  // If an entry records the idempotency key, fills the reply with its recorded
  // result and returns true.
  bool ReplyIfKeyKnown(const std::string& key,
                       proto::StatementReply* reply) const;
  void Commit(const std::string& key,
              bool key_refused,
              const std::string& result,
              const Writes& writes,
              absl::Time now,
              proto::StatementReply* reply);
  std::string RunSteps(const Statement& statement, TargetSession* session);
  bool HasConflict(const TargetSession& session) const;
  void RunCommit(const proto::StatementRequest& request,
                 TargetSession* session,
                 absl::Time now,
                 proto::StatementReply* reply);
  void EnterTerm(uint64_t term, const std::string& decider);

  const std::string m_id;
  TargetLog m_log;
  uint64_t m_term = 0;  // Never decreases.
  std::string m_decider;
  bool m_primary = false;
  std::string m_followed_primary;
  absl::Duration m_lag;

  absl::Time m_last_primary_contact;
  // Start of the newest complete pull whose entries are all applied. The data
  // is current as of this time.
  absl::Time m_current_as_of = absl::InfinitePast();
  struct CompletePull {
    absl::Time started;
    uint64_t lsn = 0;
  };
  std::deque<CompletePull> m_complete_pulls;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_STATE_H_
