// The state machine of the stand-in database: terms, fencing, promotion,
// replication, statements and transactions. No threads or clocks; the owner
// holds the lock and gives the time. docs/design.md, sections 2.2 to 2.5.

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

// What a connection remembers between its statements.
struct TargetSession {
  bool open = false;  // A transaction is open.
  uint64_t term = 0;
  Writes writes;
  // LSN of each row that the transaction has read; a commit after another
  // one has written such a row fails.
  std::map<std::string, uint64_t> reads;
};

class TargetState {
 public:
  TargetState(std::string id, bool primary_at_start, absl::Time now);

  // Fills `reply->refusal` when the statement cannot run now.
  void Check(const proto::StatementRequest& request,
             TargetSession* session,
             absl::Time now,
             proto::StatementReply* reply);
  // Checks and runs; `statement` is the parsed text.
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

  proto::PullRequest MakePull() const;
  void AnswerPull(const proto::PullRequest& request,
                  proto::PullReply* reply) const;
  void OnPullReply(const std::string& primary,
                   const proto::PullReply& reply,
                   absl::Time started,
                   absl::Time now);
  // A primary that sees a primary of a higher term stops leading.
  void OnPeerStatus(const proto::StatusReply& status);

  void SetLag(absl::Duration lag) { m_lag = lag; }
  bool Primary() const { return m_primary; }
  uint64_t Term() const { return m_term; }
  // Empty while this target follows no primary.
  const std::string& Following() const { return m_following; }
  const TargetLog& Log() const { return m_log; }

 private:
  absl::Duration Age(absl::Time now);
  void ApplyDue(absl::Time now);
  bool CheckPrimary(const proto::StatementRequest& request,
                    proto::StatementReply* reply) const;
  void CheckRead(const proto::StatementRequest& request,
                 absl::Time now,
                 proto::StatementReply* reply);
  // True when the key is known and the reply holds what is recorded.
  bool AnswerKnownKey(const std::string& key,
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
  std::string m_following;
  absl::Duration m_lag;

  absl::Time m_heard_primary;
  // Start of the newest pull whose entries are all applied.
  absl::Time m_fresh_since = absl::InfinitePast();
  struct CompletePull {
    absl::Time started;
    uint64_t lsn = 0;
  };
  std::deque<CompletePull> m_complete_pulls;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_TARGET_STATE_H_
