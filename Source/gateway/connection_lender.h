// Lends this instance's connections to targets to other instances, for a
// statement or a transaction each. A connection is lent without session values
// or prepared statements.

#ifndef SOURCE_GATEWAY_CONNECTION_LENDER_H_
#define SOURCE_GATEWAY_CONNECTION_LENDER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Source/gateway/event_loop.h"
#include "Source/gateway/lending.h"
#include "Source/gateway/target_pool.h"
#include "absl/time/time.h"

namespace heatherwick {

class ConnectionLender {
 public:
  using Answer = std::function<void(RunResponse)>;
  // Returns the pool for a target if this instance lends its connections, or
  // null.
  using FindPool =
      std::function<TargetPool*(const GroupName&, const TargetId&)>;

  // `incarnation` differs between two runs of the instance, so that loans of an
  // earlier run are not mistaken for others.
  ConnectionLender(EventLoop* loop, uint64_t incarnation, FindPool find_pool);
  ~ConnectionLender();

  void OnRun(RunQuery query, Answer answer);
  void OnReturn(uint64_t loan);
  void OnCancel(uint64_t request);
  // Lends free connections of the pool to those who wait.
  void OnPoolChanged(const TargetPool* pool);
  // Ends loans whose borrower has not used them for `idle_limit`.
  void EndIdleLoans(absl::Duration idle_limit);
  // Refuses new loans from now on.
  void BeginDrain() { m_draining = true; }
  size_t Loans() const { return m_loans.size(); }

 private:
  using PoolKey = std::pair<GroupName, TargetId>;
  struct Request {
    RunQuery query;
    Answer answer;
    std::unique_ptr<Timer> wait_timer;
  };
  struct Loan {
    TargetConnection* connection = nullptr;
    RunQuery query;   // The commands that run, or ran last.
    size_t next = 0;  // The next of the commands.
    std::vector<Reply> replies;
    Answer answer;  // Empty while no commands run.
    bool returned = false;
    absl::Time last_used;
  };

  void Serve(const PoolKey& key);
  // Memory of the commands and replies of all requests.
  size_t HeldBytes() const;
  void StartLoan(TargetConnection* connection, Request request);
  void Reset(uint64_t id);
  void RunNext(uint64_t id);
  void OnReply(uint64_t id, Reply reply);
  void Finish(uint64_t id);
  void OnConnectionLost(uint64_t id, const Error& error);
  static void Refuse(const Answer& answer,
                     const std::string& cause,
                     RunOutcome outcome = RunOutcome::kRefused);

  EventLoop* const m_loop;
  const FindPool m_find_pool;
  uint64_t m_next_loan;
  std::map<uint64_t, Loan> m_loans;
  std::map<PoolKey, std::list<Request>> m_waiting;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CONNECTION_LENDER_H_
