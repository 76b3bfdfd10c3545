// Serves one stand-in database over gRPC and replicates from the primary.

#include "Tests/StandIns/target_service.h"

#include <algorithm>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace heatherwick {

namespace {

// Metadata key with the id of the calling database. Calls without it come from
// a proxy.
constexpr char kPeerHeader[] = "heatherwick-target";
constexpr absl::Duration kFaultPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kMaxCutHold = absl::Seconds(30);
// Limits the age of a replica's data while the primary has no writes.
constexpr absl::Duration kMaxPullWait = absl::Milliseconds(20);
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(100);
constexpr absl::Duration kNoPrimaryRetryDelay = absl::Milliseconds(20);
// How often a primary checks whether another target leads in a higher term.
constexpr absl::Duration kHigherTermCheckInterval = absl::Milliseconds(100);
constexpr absl::Duration kNewPrimaryRetryDelay = absl::Milliseconds(2);

std::string MakeIncarnation() {
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(absl::BitGen())));
}

}  // namespace

TargetService::TargetService(const TargetOptions& options)
    : m_options(options),
      m_incarnation(MakeIncarnation()),
      m_slots(options.slots),
      m_state(options.id, options.primary_at_start, absl::Now()) {
  m_state.SetLag(options.lag);
  for (const auto& [id, address] : options.peers) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_peers[id] = proto::Target::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
  }
}

bool TargetService::IsCut(const grpc::ServerContext& context) {
  const absl::MutexLock lock(&m_mutex);
  const auto peer = context.client_metadata().find(kPeerHeader);
  if (peer == context.client_metadata().end()) {
    return m_faults.cut_from_proxies();
  }
  const std::string id(peer->second.data(), peer->second.size());
  return std::count(m_faults.cut_from().begin(), m_faults.cut_from().end(),
                    id) > 0;
}

bool TargetService::WaitUntilReachable(grpc::ServerContext* context) {
  const absl::Time hold_deadline = absl::Now() + kMaxCutHold;
  while (IsCut(*context)) {
    if (context->IsCancelled() || absl::Now() > hold_deadline || m_stopping) {
      return false;
    }
    absl::SleepFor(kFaultPollInterval);
  }
  return true;
}

grpc::Status TargetService::RunWithFaults(grpc::ServerContext* context,
                                          const std::function<void()>& call) {
  if (WaitUntilReachable(context)) {
    call();
    if (WaitUntilReachable(context)) {
      return grpc::Status::OK;
    }
  }
  return {grpc::StatusCode::UNAVAILABLE, "cut off"};
}

void TargetService::WaitForChange(grpc::ServerContext* context,
                                  absl::Time deadline) {
  if (context->IsCancelled() || m_stopping) {
    return;
  }
  m_changed.WaitWithDeadline(&m_mutex,
                             std::min(deadline, absl::Now() + kMaxPullWait));
}

bool TargetService::AcquireConnection() {
  const absl::MutexLock lock(&m_mutex);
  if (m_open_connections >= m_options.connections) {
    return false;
  }
  ++m_open_connections;
  return true;
}

grpc::Status TargetService::Connect(grpc::ServerContext* context,
                                    Stream* stream) {
  if (!WaitUntilReachable(context)) {
    return {grpc::StatusCode::UNAVAILABLE, "cut off"};
  }
  if (!AcquireConnection()) {
    stream->SendInitialMetadata();
    proto::StatementRequest request;
    if (stream->Read(&request)) {
      proto::StatementReply reply;
      reply.set_sequence(request.sequence());
      reply.set_refusal(proto::NO_CONNECTION);
      reply.set_message("the connection limit is reached");
      stream->Write(reply);
    }
    return {grpc::StatusCode::RESOURCE_EXHAUSTED, "connection limit"};
  }
  absl::SleepFor(m_options.connect_delay);
  stream->SendInitialMetadata();
  grpc::Status status = ServeStatements(context, stream);
  const absl::MutexLock lock(&m_mutex);
  --m_open_connections;
  return status;
}

grpc::Status TargetService::ServeStatements(grpc::ServerContext* context,
                                            Stream* stream) {
  const std::string connection = absl::StrCat(m_options.id, "-", m_incarnation,
                                              "-", ++m_connections_opened);
  TargetSession session;
  proto::StatementRequest request;
  for (uint64_t sequence = 1; stream->Read(&request); ++sequence) {
    if (request.sequence() != sequence) {
      return {grpc::StatusCode::INVALID_ARGUMENT,
              absl::StrCat("expected sequence ", sequence)};
    }
    proto::StatementReply reply;
    reply.set_sequence(sequence);
    reply.set_connection(connection);
    if (!WaitUntilReachable(context)) {
      break;
    }
    Execute(context, request, &session, &reply);
    if (!WaitUntilReachable(context) || !stream->Write(reply)) {
      break;
    }
  }
  return grpc::Status::OK;
}

void TargetService::Execute(grpc::ServerContext* context,
                            const proto::StatementRequest& request,
                            TargetSession* session,
                            proto::StatementReply* reply) {
  Statement statement;
  const bool carries_statement =
      request.operation() == proto::READ || request.operation() == proto::WRITE;
  if (carries_statement && !request.resolve()) {
    const auto parsed = ParseStatement(request.statement());
    if (!parsed.has_value() ||
        (request.operation() == proto::READ && !IsReadOnly(*parsed))) {
      reply->set_refusal(proto::BAD_STATEMENT);
      reply->set_message("cannot run '" + request.statement() + "'");
      return;
    }
    statement = *parsed;
  }
  {
    const absl::MutexLock lock(&m_mutex);
    proto::StatementReply check_reply = *reply;
    m_state.Check(request, session, absl::Now(), &check_reply);
    if (check_reply.refusal() != proto::REFUSAL_NONE) {
      *reply = check_reply;
      return;
    }
  }
  RunInSlot(context, request, statement, session, reply);
}

void TargetService::RunInSlot(grpc::ServerContext* context,
                              const proto::StatementRequest& request,
                              const Statement& statement,
                              TargetSession* session,
                              proto::StatementReply* reply) {
  // ROLLBACK takes no slot: the end of a transaction must not wait behind the
  // statements that it would unblock. A proxy also begins each new connection
  // with ROLLBACK, in case a transaction is open on it.
  const bool needs_slot = request.operation() != proto::ROLLBACK;
  if (needs_slot) {
    m_slots.Acquire();
  }
  const absl::Time started = absl::Now();
  if (!statement.empty()) {
    absl::SleepFor(m_options.statement_time +
                   absl::Milliseconds(TotalWorkMs(statement)));
  }
  {
    const absl::MutexLock lock(&m_mutex);
    if (context->IsCancelled()) {
      reply->set_refusal(proto::FAILED);
    } else {
      m_state.Run(request, statement, session, absl::Now(), reply);
      m_changed.SignalAll();
    }
  }
  reply->set_ran_us(
      static_cast<uint32_t>(absl::ToInt64Microseconds(absl::Now() - started)));
  if (needs_slot) {
    m_slots.Release();
  }
}

grpc::Status TargetService::Status(grpc::ServerContext* context,
                                   const proto::StatusRequest* /*request*/,
                                   proto::StatusReply* reply) {
  return RunWithFaults(context, [this, reply] {
    const absl::MutexLock lock(&m_mutex);
    m_state.FillStatus(absl::Now(), reply);
    reply->set_incarnation(m_incarnation);
    reply->set_leaving(m_faults.leaving());
    reply->set_slots(static_cast<uint32_t>(m_options.slots));
    reply->set_busy_slots(m_slots.Busy());
    reply->set_queued(m_slots.Queued());
    reply->set_connections(static_cast<uint32_t>(m_open_connections));
    reply->set_max_connections(static_cast<uint32_t>(m_options.connections));
  });
}

grpc::Status TargetService::WaitPosition(
    grpc::ServerContext* context,
    const proto::WaitPositionRequest* request,
    proto::WaitPositionReply* reply) {
  const absl::Time deadline =
      absl::Now() + absl::Milliseconds(request->timeout_ms());
  return RunWithFaults(context, [this, context, request, reply, deadline] {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t term = m_state.Term();
    // The wait ends when the term changes: a wait for a position of a later
    // term can then be answered, and a wait for a position of an earlier term
    // is no longer useful.
    while (!m_state.Log().Contains(request->position()) &&
           m_state.Term() == term && absl::Now() < deadline &&
           !context->IsCancelled() && !m_stopping) {
      WaitForChange(context, deadline);
    }
    reply->set_contained(m_state.Log().Contains(request->position()));
    reply->set_term(m_state.Term());
    *reply->mutable_last() = m_state.Log().End();
  });
}

grpc::Status TargetService::Fence(grpc::ServerContext* context,
                                  const proto::FenceRequest* request,
                                  proto::FenceReply* reply) {
  return RunWithFaults(context, [this, request, reply] {
    const absl::MutexLock lock(&m_mutex);
    m_state.Fence(*request, reply);
    m_changed.SignalAll();
  });
}

grpc::Status TargetService::Promote(grpc::ServerContext* context,
                                    const proto::PromoteRequest* request,
                                    proto::PromoteReply* reply) {
  return RunWithFaults(context, [this, request, reply] {
    const absl::MutexLock lock(&m_mutex);
    m_state.Promote(*request, absl::Now(), reply);
    m_changed.SignalAll();
  });
}

grpc::Status TargetService::Pull(grpc::ServerContext* context,
                                 const proto::PullRequest* request,
                                 proto::PullReply* reply) {
  return RunWithFaults(context, [this, context, request, reply] {
    const absl::Time deadline = absl::Now() + kMaxPullWait;
    const absl::MutexLock lock(&m_mutex);
    m_state.AnswerPull(*request, reply);
    while (reply->primary() && reply->entries().empty() &&
           absl::Now() < deadline && !context->IsCancelled() && !m_stopping) {
      WaitForChange(context, deadline);
      reply->Clear();
      m_state.AnswerPull(*request, reply);
    }
  });
}

grpc::Status TargetService::SetFaults(grpc::ServerContext* /*context*/,
                                      const proto::TargetFaults* request,
                                      proto::TargetFaultsReply* /*reply*/) {
  const absl::MutexLock lock(&m_mutex);
  m_faults = *request;
  m_state.SetLag(absl::Milliseconds(request->lag_ms()));
  return grpc::Status::OK;
}

void TargetService::PrepareCall(absl::Duration timeout,
                                grpc::ClientContext* context) const {
  context->AddMetadata(kPeerHeader, m_options.id);
  context->set_deadline(absl::ToChronoTime(absl::Now() + timeout));
}

std::string TargetService::FindPrimary() {
  std::string primary;
  uint64_t term = 0;
  for (const auto& [id, stub] : m_peers) {
    grpc::ClientContext context;
    PrepareCall(kPeerTimeout, &context);
    proto::StatusReply status;
    if (!stub->Status(&context, proto::StatusRequest(), &status).ok()) {
      continue;
    }
    const absl::MutexLock lock(&m_mutex);
    m_state.OnPeerStatus(status);
    if (status.primary() && status.term() >= m_state.Term() &&
        status.term() >= term) {
      primary = id;
      term = status.term();
    }
  }
  return primary;
}

bool TargetService::PullFrom(const std::string& primary) {
  const absl::Time started = absl::Now();
  proto::PullRequest request;
  {
    const absl::MutexLock lock(&m_mutex);
    request = m_state.MakePullRequest();
  }
  grpc::ClientContext context;
  PrepareCall(kPeerTimeout, &context);
  proto::PullReply reply;
  if (!m_peers[primary]->Pull(&context, request, &reply).ok()) {
    return false;
  }
  const absl::MutexLock lock(&m_mutex);
  m_state.OnPullReply(primary, reply, started, absl::Now());
  m_changed.SignalAll();
  return m_state.FollowedPrimary() == primary;
}

void TargetService::Replicate() {
  while (!m_stopping) {
    std::string primary;
    bool is_primary = false;
    {
      const absl::MutexLock lock(&m_mutex);
      is_primary = m_state.IsPrimary();
      primary = m_state.FollowedPrimary();
    }
    if (is_primary) {
      FindPrimary();
      absl::SleepFor(kHigherTermCheckInterval);
      continue;
    }
    if (primary.empty()) {
      primary = FindPrimary();
    }
    if (primary.empty()) {
      absl::SleepFor(kNoPrimaryRetryDelay);
    } else if (!PullFrom(primary)) {
      // The pull may have failed because another target is primary now.
      const std::string next = FindPrimary();
      absl::SleepFor(next.empty() ? kNoPrimaryRetryDelay
                                  : kNewPrimaryRetryDelay);
      if (!next.empty()) {
        PullFrom(next);
      }
    }
  }
}

}  // namespace heatherwick
