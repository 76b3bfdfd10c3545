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
#include <optional>
#include <string>
#include <utility>

#include "Source/base/metrics.h"
#include "Source/decision/crowd_admission.h"
#include "Source/decision/target_load.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/lending.h"
#include "Source/gateway/target_pool.h"
#include "absl/strings/string_view.h"
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

  // Without this, nothing is counted.
  void SetMetrics(Metrics* metrics) { m_metrics = metrics; }

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
    uint64_t arrival = 0;  // Increases with each request.
    WaitTerms terms;
    std::unique_ptr<Timer> wait_timer;
  };
  // Requests for connections to one target, in the order of service as of the
  // last change.
  struct Queue {
    std::list<Request> requests;
    CrowdAdmission admission;
  };
  using Entry = std::list<Request>::iterator;
  struct Loan {
    TargetConnection* connection = nullptr;
    RunQuery query;   // The commands that run, or ran last.
    size_t next = 0;  // The next of the commands.
    std::vector<Reply> replies;
    Answer answer;  // Empty while no commands run.
    bool returned = false;
    bool cancelled = false;  // Nobody awaits the commands that run.
    absl::Time last_used;
  };

  void Count(absl::string_view cause) const;
  // What this instance knows of the target; nothing if it does not lend.
  std::optional<TargetLoad> LoadOf(const PoolKey& key) const;
  void Serve(const PoolKey& key);
  // Requests of the same workspace that are served before `request`. Those of
  // other workspaces may be too, but need not.
  static size_t Ahead(const Queue& queue, Entry request);
  // To be called after each change of the queue.
  void Sort(Queue* queue);
  // Waits for as long as a request may at a time.
  void StartWaiting(const PoolKey& key, Entry request);
  // Keeps the request if it will be served in time, and refuses it otherwise.
  void OnWaited(const PoolKey& key, Entry request);
  void RefuseWaiting(Queue* queue,
                     Entry request,
                     const std::string& cause,
                     std::optional<absl::Duration> retry_after = {});
  // Refuses the request if it clearly cannot be served in time.
  bool RefuseHopeless(Queue* queue, Entry request);
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
  Metrics* m_metrics = nullptr;
  uint64_t m_next_loan;
  std::map<uint64_t, Loan> m_loans;
  std::map<PoolKey, Queue> m_waiting;
  uint64_t m_next_arrival = 0;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CONNECTION_LENDER_H_
