// Queues requests for connections, runs commands on lent connections, and takes
// the connections back.

#include "Source/gateway/connection_lender.h"

#include <algorithm>

#include "Source/base/hash.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {
namespace {

// A request that waits longer is refused, so that its borrower can ask another
// lender, unless this lender expects to serve it in time.
constexpr absl::Duration kMaxWait = absl::Milliseconds(250);
// With more requests waiting for a target, a new one is refused at once.
constexpr size_t kMaxWaiting = 64;
// Of these, requests of one workspace, so that the others find room.
constexpr size_t kMaxWaitingOfWorkspace = 16;
// A request with longer commands is refused while those of all requests take
// kMaxHeldBytes. The smallest machine, 112 MB, has this much for them.
constexpr size_t kLongCommandsBytes = 16 << 10;
constexpr size_t kMaxHeldBytes = 8 << 20;
// Connections that are opened at the same time for a workspace.
constexpr size_t kMaxOpening = 2;
// The upper bits of a loan's number identify the run of the instance.
constexpr int kIncarnationShift = 32;

bool OpensSessionState(StatementKind kind) {
  return kind == StatementKind::kSet || kind == StatementKind::kPrepareRead ||
         kind == StatementKind::kPrepareWrite;
}

size_t CommandBytes(const RunQuery& query) {
  size_t bytes = 0;
  for (const TargetCommand& command : query.commands) {
    bytes +=
        command.text.size() + command.name.size() + command.argument.size();
  }
  return bytes;
}

}  // namespace

ConnectionLender::ConnectionLender(EventLoop* loop,
                                   uint64_t incarnation,
                                   FindPool find_pool)
    : m_loop(loop),
      m_find_pool(std::move(find_pool)),
      m_next_loan((incarnation << kIncarnationShift) + 1) {}

ConnectionLender::~ConnectionLender() {
  *m_alive = false;
}

// Counts refused and withdrawn requests by cause.
void ConnectionLender::Count(absl::string_view cause) const {
  if (m_metrics != nullptr) {
    m_metrics->Count(absl::StrCat("lender_refusals/", cause));
  }
}

void ConnectionLender::Refuse(const Answer& answer,
                              const std::string& cause,
                              RunOutcome outcome) {
  RunResponse response;
  response.outcome = outcome;
  response.cause = cause;
  answer(std::move(response));
}

void ConnectionLender::OnRun(RunQuery query, Answer answer) {
  answer = [this, key = PoolKey(query.group, query.target),
            answer = std::move(answer)](RunResponse response) {
    response.load = LoadOf(key);
    answer(std::move(response));
  };
  if (query.commands.empty()) {
    Refuse(answer, "the request has no commands");
    return;
  }
  if (query.loan != 0) {
    const auto loan = m_loans.find(query.loan);
    if (loan == m_loans.end() || loan->second.answer ||
        loan->second.connection->workspace != query.workspace) {
      Refuse(answer, "the loan has ended or is in use");
      return;
    }
    const uint64_t id = query.loan;
    loan->second.query = std::move(query);
    loan->second.next = 0;
    loan->second.replies.clear();
    loan->second.answer = std::move(answer);
    RunNext(id);
    return;
  }
  if (m_draining) {
    Refuse(answer, "the lender is stopping");
    return;
  }
  const PoolKey key(query.group, query.target);
  if (m_find_pool(query.group, query.target) == nullptr) {
    Refuse(answer, "this instance does not lend connections to the target");
    return;
  }
  const size_t bytes = CommandBytes(query);
  if (bytes > kLongCommandsBytes && HeldBytes() + bytes > kMaxHeldBytes) {
    Refuse(answer, "too many long commands wait", RunOutcome::kNoConnection);
    return;
  }
  Queue& queue = m_waiting[key];
  std::list<Request>& waiting = queue.requests;
  const size_t same_workspace = std::count_if(
      waiting.begin(), waiting.end(), [&query](const Request& request) {
        return request.query.workspace == query.workspace;
      });
  if (waiting.size() >= kMaxWaiting ||
      (!query.workspace.empty() && same_workspace >= kMaxWaitingOfWorkspace)) {
    Count("queue_full");
    Refuse(answer, "too many requests wait for a connection",
           RunOutcome::kNoConnection);
    return;
  }
  const absl::Time now = m_loop->Now();
  WaitTerms terms;
  if (query.terms) {
    terms.priority = query.terms->priority;
    terms.objective = now + query.terms->objective;
    terms.wait_until = now + query.terms->wait;
  }
  if (now >= terms.wait_until) {
    Count("deadline");
    Refuse(answer, "the caller does not wait any longer",
           RunOutcome::kNoConnection);
    return;
  }
  const uint64_t arrival = m_next_arrival++;
  waiting.push_back(
      {std::move(query), std::move(answer), arrival, terms, nullptr});
  const auto request = std::prev(waiting.end());
  StartWaiting(key, request);
  Serve(key);
  // Serve() may have taken the request.
  const auto found = std::find_if(
      waiting.begin(), waiting.end(),
      [arrival](const Request& other) { return other.arrival == arrival; });
  if (found != waiting.end()) {
    RefuseHopeless(&queue, found);
  }
}

void ConnectionLender::Sort(Queue* queue) {
  const absl::Time now = m_loop->Now();
  queue->requests.sort([now](const Request& first, const Request& second) {
    if (CrowdAdmission::Precedes(first.terms, second.terms, now)) {
      return true;
    }
    return !CrowdAdmission::Precedes(second.terms, first.terms, now) &&
           first.arrival < second.arrival;
  });
  queue->admission.OnWaiting(queue->requests.size(), now);
}

void ConnectionLender::StartWaiting(const PoolKey& key, Entry request) {
  request->wait_timer = m_loop->RunAfter(
      std::min(kMaxWait, request->terms.wait_until - m_loop->Now()),
      [this, key, request]() { OnWaited(key, request); });
}

void ConnectionLender::OnWaited(const PoolKey& key, Entry request) {
  Queue& queue = m_waiting.at(key);
  const absl::Time now = m_loop->Now();
  if (RefuseHopeless(&queue, request)) {
    return;
  }
  const std::optional<absl::Duration> wait =
      queue.admission.ExpectedWait(Ahead(queue, request) + 1, now);
  // Offered to another lender, the request would have to wait behind all that
  // wait there.
  if (request->query.terms && wait && now + *wait < request->terms.wait_until) {
    StartWaiting(key, request);
    return;
  }
  Count(now < request->terms.wait_until ? "no_connection" : "deadline");
  RefuseWaiting(&queue, request, "no connection was free in time");
}

size_t ConnectionLender::Ahead(const Queue& queue, Entry request) {
  return std::count_if(
      queue.requests.begin(), std::list<Request>::const_iterator(request),
      [&request](const Request& other) {
        return other.query.workspace == request->query.workspace;
      });
}

bool ConnectionLender::RefuseHopeless(Queue* queue, Entry request) {
  const std::optional<absl::Duration> retry_after =
      queue->admission.CheckHopeless(
          Ahead(*queue, request), queue->requests.size(),
          request->terms.wait_until,
          StableHash(absl::StrCat(request->query.request)), m_loop->Now());
  if (!retry_after) {
    return false;
  }
  Count("backlog");
  RefuseWaiting(queue, request, "the backlog is too long", retry_after);
  return true;
}

void ConnectionLender::RefuseWaiting(
    Queue* queue,
    Entry request,
    const std::string& cause,
    std::optional<absl::Duration> retry_after) {
  RunResponse response;
  response.outcome = RunOutcome::kNoConnection;
  response.cause = cause;
  response.retry_after = retry_after;
  // Owns the timer that may be running this.
  const Request refused = std::move(*request);
  queue->requests.erase(request);
  Sort(queue);
  refused.answer(std::move(response));
}

std::optional<TargetLoad> ConnectionLender::LoadOf(const PoolKey& key) const {
  const TargetPool* const pool = m_find_pool(key.first, key.second);
  if (pool == nullptr) {
    return std::nullopt;
  }
  const auto waiting = m_waiting.find(key);
  return TargetLoad{
      static_cast<uint32_t>(pool->RunningCount()),
      waiting == m_waiting.end()
          ? 0
          : static_cast<uint32_t>(waiting->second.requests.size()),
      pool->Latency()};
}

void ConnectionLender::OnPoolChanged(const TargetPool* pool) {
  Serve({pool->Target().group, pool->Target().id});
}

size_t ConnectionLender::HeldBytes() const {
  size_t bytes = 0;
  for (const auto& [key, queue] : m_waiting) {
    for (const Request& request : queue.requests) {
      bytes += CommandBytes(request.query);
    }
  }
  for (const auto& [id, loan] : m_loans) {
    if (!loan.answer) {
      continue;
    }
    bytes += CommandBytes(loan.query);
    for (const Reply& reply : loan.replies) {
      for (const std::string& row : reply.rows) {
        bytes += row.size();
      }
    }
  }
  return bytes;
}

void ConnectionLender::Serve(const PoolKey& key) {
  const auto waiting = m_waiting.find(key);
  if (waiting == m_waiting.end() || waiting->second.requests.empty()) {
    return;
  }
  TargetPool* const pool = m_find_pool(key.first, key.second);
  if (pool == nullptr) {
    return;
  }
  // Workspaces whose oldest request found no connection, in the order of these
  // requests, with their numbers of requests; later ones wait too.
  std::vector<std::pair<WorkspaceName, size_t>> unserved;
  Queue& queue = waiting->second;
  std::list<Request>& requests = queue.requests;
  Sort(&queue);
  for (auto entry = requests.begin(); entry != requests.end();) {
    const auto request = entry++;
    const WorkspaceName workspace = request->query.workspace;
    const auto earlier = std::find_if(
        unserved.begin(), unserved.end(),
        [&workspace](const auto& each) { return each.first == workspace; });
    if (earlier != unserved.end()) {
      ++earlier->second;
      continue;
    }
    TargetConnection* const connection = pool->AcquireToLend(workspace);
    if (connection != nullptr) {
      Request served = std::move(*request);
      requests.erase(request);
      queue.admission.OnServed(m_loop->Now());
      StartLoan(connection, std::move(served));
    } else if (pool->OwnOpenCount() == 0 && pool->AtLimit()) {
      const Answer refused = std::move(request->answer);
      requests.erase(request);
      Refuse(refused, "the target accepts no connection",
             RunOutcome::kNoConnection);
    } else {
      unserved.emplace_back(workspace, 1);
    }
  }
  queue.admission.OnWaiting(requests.size(), m_loop->Now());
  for (const auto& [workspace, count] : unserved) {
    pool->EnsureOpening(workspace, std::min(kMaxOpening, count));
  }
}

void ConnectionLender::StartLoan(TargetConnection* connection,
                                 Request request) {
  const uint64_t id = m_next_loan++;
  Loan& loan = m_loans[id];
  loan.connection = connection;
  loan.query = std::move(request.query);
  loan.answer = std::move(request.answer);
  connection->on_lost = [this, id, alive = m_alive](const Error& error) {
    if (*alive) {
      OnConnectionLost(id, error);
    }
  };
  if (connection->needs_reset || !connection->values.empty() ||
      !connection->prepared.empty()) {
    Reset(id);
  } else {
    RunNext(id);
  }
}

void ConnectionLender::Reset(uint64_t id) {
  TargetConnection* const connection = m_loans.at(id).connection;
  connection->values.clear();
  connection->prepared.clear();
  connection->needs_reset = false;
  TargetCommand reset;
  reset.kind = StatementKind::kReset;
  connection->pool->Send(
      connection, reset, [this, id, alive = m_alive](const Reply& reply) {
        if (!*alive || !m_loans.contains(id)) {
          return;
        }
        if (reply.code == ReplyCode::kComplete && !m_loans.at(id).cancelled) {
          RunNext(id);
          return;
        }
        Loan loan = std::move(m_loans.at(id));
        m_loans.erase(id);
        if (reply.code == ReplyCode::kComplete) {
          loan.connection->pool->Release(loan.connection);
          Refuse(loan.answer, "the request was withdrawn");
          return;
        }
        loan.connection->pool->CloseAndNotify(loan.connection);
        Refuse(loan.answer, "the target refused to reset the connection");
      });
}

void ConnectionLender::RunNext(uint64_t id) {
  Loan& loan = m_loans.at(id);
  const TargetCommand& command = loan.query.commands[loan.next];
  ++loan.next;
  loan.connection->needs_reset |= OpensSessionState(command.kind);
  loan.connection->pool->Send(loan.connection, command,
                              [this, id, alive = m_alive](Reply reply) {
                                if (*alive && m_loans.contains(id)) {
                                  OnReply(id, std::move(reply));
                                }
                              });
}

void ConnectionLender::OnReply(uint64_t id, Reply reply) {
  Loan& loan = m_loans.at(id);
  const bool failed = reply.code != ReplyCode::kComplete;
  loan.replies.push_back(std::move(reply));
  if (failed || loan.cancelled || loan.next == loan.query.commands.size()) {
    Finish(id);
  } else {
    RunNext(id);
  }
}

void ConnectionLender::Finish(uint64_t id) {
  Loan& loan = m_loans.at(id);
  RunResponse response;
  response.replies = std::move(loan.replies);
  const Answer answer = std::exchange(loan.answer, nullptr);
  const bool idle = response.replies.back().state == TransactionState::kIdle;
  TargetConnection* const connection = loan.connection;
  if (idle || loan.returned || loan.cancelled) {
    m_loans.erase(id);
    if (idle) {
      connection->pool->Release(connection);
    } else {
      connection->pool->CloseAndNotify(connection);
    }
  } else {
    response.loan = id;
    loan.last_used = m_loop->Now();
  }
  answer(std::move(response));
}

void ConnectionLender::OnConnectionLost(uint64_t id, const Error& error) {
  const auto found = m_loans.find(id);
  if (found == m_loans.end()) {
    return;
  }
  Loan loan = std::move(found->second);
  m_loans.erase(found);
  if (!loan.answer) {
    return;
  }
  if (loan.next == 0) {
    Refuse(loan.answer, "the connection was lost while it was reset");
    return;
  }
  RunResponse response;
  response.outcome = RunOutcome::kConnectionLost;
  response.replies = std::move(loan.replies);
  response.cause = error.message;
  loan.answer(std::move(response));
}

void ConnectionLender::OnReturn(uint64_t loan) {
  const auto found = m_loans.find(loan);
  if (found == m_loans.end()) {
    return;
  }
  if (found->second.answer) {
    found->second.returned = true;
    return;
  }
  TargetConnection* const connection = found->second.connection;
  m_loans.erase(found);
  connection->pool->CloseAndNotify(connection);
}

void ConnectionLender::OnCancel(uint64_t request) {
  for (auto& [key, queue] : m_waiting) {
    std::list<Request>& waiting = queue.requests;
    const auto found = std::find_if(waiting.begin(), waiting.end(),
                                    [request](const Request& waiter) {
                                      return waiter.query.request == request;
                                    });
    if (found != waiting.end()) {
      const Answer answer = std::move(found->answer);
      waiting.erase(found);
      Sort(&queue);
      Count("withdrawn");
      Refuse(answer, "the request was withdrawn");
      return;
    }
  }
  for (auto& [id, loan] : m_loans) {
    if (loan.answer && loan.query.request == request) {
      // The command that runs cannot be stopped; those after it can.
      loan.cancelled = true;
      return;
    }
  }
}

void ConnectionLender::EndIdleLoans(absl::Duration idle_limit) {
  const absl::Time now = m_loop->Now();
  std::vector<uint64_t> idle;
  for (const auto& [id, loan] : m_loans) {
    if (!loan.answer && now - loan.last_used > idle_limit) {
      idle.push_back(id);
    }
  }
  for (const uint64_t id : idle) {
    OnReturn(id);
  }
}

}  // namespace heatherwick
