// Chooses candidates for one request, forwards it and repeats it.

#include "Source/runtime/routed_request.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <utility>

#include "Source/proto/peer.grpc.pb.h"
#include "Source/runtime/unary_call.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

// Delay between two rounds over the candidates. It doubles with each round, so
// that a failed home is not flooded with retries.
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(20);
constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(320);
// How long after the deadline the entry instance still waits for the home's
// reply.
constexpr absl::Duration kReplyAllowance = absl::Milliseconds(200);

using Async = proto::Peer::Stub::async_interface;
using ForwardMethod = void (Async::*)(grpc::ClientContext*,
                                      const proto::ForwardRequest*,
                                      proto::ForwardReply*,
                                      std::function<void(grpc::Status)>);

}  // namespace

RoutedRequest::RoutedRequest(RoutingContext* context,
                             absl::Time deadline,
                             Done done)
    : m_context(context),
      m_deadline(deadline),
      m_done(std::move(done)),
      m_retry_delay(kMinRetryDelay) {
  ++m_context->in_flight;
  m_context->last_arrival_us = absl::ToUnixMicros(SteadyNow());
}

RoutedRequest::~RoutedRequest() {
  --m_context->in_flight;
}

void RoutedRequest::Execute(RoutingContext* context,
                            proto::ExecuteRequest request,
                            absl::Time deadline,
                            Done done) {
  const std::shared_ptr<RoutedRequest> routed(
      new RoutedRequest(context, deadline, std::move(done)));
  routed->m_execute = std::move(request);
  routed->Start();
}

void RoutedRequest::Resolve(RoutingContext* context,
                            proto::ResolveRequest request,
                            absl::Time deadline,
                            Done done) {
  const std::shared_ptr<RoutedRequest> routed(
      new RoutedRequest(context, deadline, std::move(done)));
  routed->m_resolve = std::move(request);
  routed->m_resolving = true;
  routed->m_may_have_run = true;
  routed->Start();
}

InstanceId RoutedRequest::TransactionHome() const {
  const std::string& handle = m_execute.transaction();
  return m_resolving ? "" : handle.substr(0, handle.find('/'));
}

std::string RoutedRequest::TransactionIncarnation() const {
  const std::vector<std::string> parts =
      absl::StrSplit(m_execute.transaction(), '/');
  return parts.size() > 1 ? parts[1] : "";
}

const GroupName& RoutedRequest::Group() const {
  return m_resolving ? m_resolve.group() : m_execute.group();
}

const std::string& RoutedRequest::Token() const {
  return m_resolving ? m_resolve.token() : m_execute.token();
}

void RoutedRequest::Start() {
  const Result<SessionToken> token = SessionToken::Decode(Token());
  if (!Ok(token)) {
    FinishError(m_resolving ? proto::UNKNOWN : proto::NOT_RUN, ErrorOf(token));
    return;
  }
  if (!SheetIsNewEnough()) {
    return;
  }
  const SheetSnapshot snapshot = m_context->sheets->Current();
  if (snapshot.sheet == nullptr) {
    RetryLater("no_sheet");
    return;
  }
  if (!m_resolving) {
    const Result<RequestRules> rules = CheckRequest(*snapshot.sheet, m_execute);
    if (!Ok(rules)) {
      FinishError(m_may_have_run ? proto::UNKNOWN : proto::NOT_RUN,
                  ErrorOf(rules));
      return;
    }
  }
  TryCandidates();
}

bool RoutedRequest::SheetIsNewEnough() {
  const Result<SessionToken> token = SessionToken::Decode(Token());
  const uint64_t wanted = ValueOf(token).sheet_version;
  if (wanted <= m_context->sheets->Current().version) {
    return true;
  }
  m_context->sheets->ReportVersion(wanted, "");
  RetryLater("sheet_behind_session");
  return false;
}

void RoutedRequest::TryCandidates() {
  m_next_candidate = 0;
  m_candidates = *m_context->homes->Candidates(Group());
  const InstanceId transaction_home = TransactionHome();
  if (!transaction_home.empty()) {
    // Only the home that runs the transaction can serve it, even if that home
    // is leaving and therefore no longer a candidate.
    m_candidates.clear();
    proto::ListMembersReply members;
    m_context->members->ListMembers(&members);
    for (const proto::MemberUpdate& member : members.members()) {
      // A record of another incarnation says nothing about the process that
      // runs the transaction.
      const bool is_dead = member.state() == proto::DEAD &&
                           member.incarnation() == TransactionIncarnation();
      if (member.id() == transaction_home && !is_dead) {
        // The handle names the incarnation that runs the transaction; the list
        // of members of this instance may still have an older incarnation.
        m_candidates.push_back({member.id(), member.address(),
                                member.data_centre(), member.region(),
                                TransactionIncarnation(), false});
      }
    }
    if (m_candidates.empty()) {
      FinishError(proto::NOT_RUN, Error{ErrorKind::kTransactionLost,
                                        "the transaction's home has stopped; "
                                        "the transaction was rolled back",
                                        "begin a new transaction"});
      return;
    }
  }
  TryNextCandidate();
}

void RoutedRequest::TryNextCandidate() {
  if (SteadyNow() >= m_deadline) {
    FinishError(
        m_may_have_run ? proto::UNKNOWN : proto::NOT_RUN,
        Error{ErrorKind::kDeadlineExceeded,
              absl::StrCat("the request was not completed in time",
                           m_last_refusal.empty() ? "" : ": ", m_last_refusal),
              "repeat it with a longer deadline"});
    return;
  }
  if (m_next_candidate >= m_candidates.size()) {
    // All candidates refused or failed. In the next rounds they must serve the
    // request even if they cannot reach the primary or a majority.
    m_forced = true;
    RetryLater("no_candidate_took_it");
    return;
  }
  const MemberInfo candidate = m_candidates[m_next_candidate++];
  if (candidate.id == m_context->self.id) {
    RunLocally(m_forced);
  } else {
    Send(candidate, m_forced);
  }
}

void RoutedRequest::RunLocally(bool forced) {
  const bool in_transaction = !TransactionHome().empty();
  const auto home = in_transaction ? m_context->homes->Find(Group())
                                   : m_context->homes->FindOrCreate(Group());
  const bool leaving = m_context->homes->Draining() && !in_transaction;
  if (home == nullptr || leaving || (!forced && !home->CanServe())) {
    m_last_refusal =
        home == nullptr ? "this instance is not the home of the group"
        : leaving       ? "this instance is leaving"
                  : "this instance cannot reach the primary or a majority";
    TryNextCandidate();
    return;
  }
  Log("serve", "is_home", m_context->self.id);
  const auto self = shared_from_this();
  const auto done = [self](proto::ExecuteReply reply) {
    self->Finish(std::move(reply));
  };
  if (m_resolving) {
    home->Resolve(m_resolve, m_deadline, done);
  } else {
    home->Execute(m_execute, m_deadline, done);
  }
}

void RoutedRequest::Send(const MemberInfo& candidate, bool forced) {
  Log("forward", m_next_candidate == 1 ? "is_home" : "successor", candidate.id);
  const auto channel = m_context->channels->Get(candidate.address);
  if (channel->GetState(/*try_to_connect=*/true) ==
      GRPC_CHANNEL_TRANSIENT_FAILURE) {
    // The channel cannot connect, so a request would not be sent.
    m_context->members->ReportUnreachable(candidate.id);
    m_last_refusal = absl::StrCat(candidate.id, " cannot be reached");
    TryNextCandidate();
    return;
  }
  proto::ForwardRequest forward;
  forward.set_home_incarnation(candidate.incarnation);
  forward.set_sheet_version(m_context->sheets->Current().version);
  forward.set_entry(m_context->self.id);
  forward.set_candidate(static_cast<uint32_t>(m_next_candidate - 1));
  forward.set_forced(forced);
  forward.set_deadline_ms(static_cast<uint32_t>(std::max<int64_t>(
      1, absl::ToInt64Milliseconds(m_deadline - SteadyNow()))));
  if (m_resolving) {
    *forward.mutable_resolve() = m_resolve;
  } else {
    *forward.mutable_execute() = m_execute;
  }
  const PeerCallTracker::CallId call =
      m_context->peer_calls.OnSent(candidate.id, SteadyNow());
  const ForwardMethod method = &Async::Forward;
  CancelCall cancel =
      StartUnaryCall<proto::Peer, proto::ForwardRequest, proto::ForwardReply>(
          channel, method, std::move(forward), m_deadline + kReplyAllowance,
          [self = shared_from_this(), candidate,
           call](Result<proto::ForwardReply> result) {
            self->m_context->peer_calls.OnEnded(candidate.id, call,
                                                SteadyNow());
            self->OnReply(candidate, std::move(result));
          });
  m_context->peer_calls.OnStarted(candidate.id, call, std::move(cancel));
}

void RoutedRequest::OnReply(const MemberInfo& candidate,
                            Result<proto::ForwardReply> result) {
  if (!Ok(result)) {
    m_context->members->ReportUnreachable(candidate.id);
    Log("lost_call", ErrorKindName(ErrorOf(result).kind), candidate.id);
    OnCallFailed(ErrorOf(result));
    return;
  }
  proto::ForwardReply& reply = ValueOf(result);
  if (reply.sheet_version() > m_context->sheets->Current().version) {
    m_context->sheets->ReportVersion(reply.sheet_version(), candidate.address);
  }
  if (reply.not_taken()) {
    m_last_refusal = absl::StrCat(candidate.id, ": ", reply.reason());
    if (!TransactionHome().empty()) {
      FinishError(
          proto::NOT_RUN,
          Error{ErrorKind::kTransactionLost,
                absl::StrCat("the transaction's home did not accept the "
                             "statement: ",
                             m_last_refusal),
                "begin a new transaction"});
      return;
    }
    TryNextCandidate();
    return;
  }
  Finish(std::move(*reply.mutable_reply()));
}

void RoutedRequest::OnCallFailed(const Error& error) {
  const proto::Operation operation = m_execute.operation();
  const bool is_transaction_step = !m_resolving &&
                                   !m_execute.transaction().empty() &&
                                   operation != proto::COMMIT;
  if (is_transaction_step) {
    // Any effect of the statement is rolled back, because the transaction is
    // never committed.
    FinishError(proto::NOT_RUN,
                Error{ErrorKind::kTransactionLost,
                      "the transaction's home does not answer; the "
                      "transaction is rolled back",
                      "begin a new transaction"});
    return;
  }
  const bool may_commit =
      !m_resolving && (operation == proto::WRITE || operation == proto::COMMIT);
  if (!may_commit) {
    TryNextCandidate();
    return;
  }
  m_may_have_run = true;
  if (m_execute.request_key().empty()) {
    FinishError(proto::UNKNOWN,
                Error{error.kind, error.message,
                      "send a request_key to be able to resolve the outcome"});
    return;
  }
  const SheetSnapshot snapshot = m_context->sheets->Current();
  const Result<RequestRules> rules = CheckRequest(*snapshot.sheet, m_execute);
  const bool repeatable = Ok(rules) && ValueOf(rules).repeatable &&
                          operation == proto::WRITE &&
                          m_execute.transaction().empty();
  if (!repeatable) {
    m_resolving = true;
    m_resolve.set_caller(m_execute.caller());
    m_resolve.set_group(m_execute.group());
    m_resolve.set_request_key(m_execute.request_key());
    m_resolve.set_token(m_execute.token());
    TryCandidates();
    return;
  }
  TryNextCandidate();
}

void RoutedRequest::RetryLater(absl::string_view reason) {
  const absl::Time now = SteadyNow();
  if (now >= m_deadline) {
    FinishError(
        m_may_have_run ? proto::UNKNOWN : proto::NOT_RUN,
        Error{ErrorKind::kUnavailable,
              absl::StrCat("the request could not be served: ", reason,
                           m_last_refusal.empty() ? "" : "; ", m_last_refusal),
              "repeat it later"});
    return;
  }
  m_context->metrics->Count("entry_retries");
  const absl::Time at = std::min(now + m_retry_delay, m_deadline);
  m_retry_delay = std::min(m_retry_delay * 2, kMaxRetryDelay);
  m_context->timers->RunAt(at, [self = shared_from_this()] { self->Start(); });
}

void RoutedRequest::Finish(proto::ExecuteReply reply) {
  Done done = std::exchange(m_done, nullptr);
  if (done != nullptr) {
    done(std::move(reply));
  }
}

void RoutedRequest::FinishError(proto::Outcome outcome, const Error& error) {
  proto::ExecuteReply reply;
  reply.set_outcome(outcome);
  reply.set_error_kind(std::string(ErrorKindName(error.kind)));
  reply.set_error_message(error.Describe());
  reply.set_token(Token());
  Finish(std::move(reply));
}

void RoutedRequest::Log(absl::string_view decision,
                        absl::string_view reason,
                        const InstanceId& candidate) const {
  m_context->decision_log->Write(
      {decision, reason, {{"group", Group()}, {"instance", candidate}}},
      SteadyNow());
}

}  // namespace heatherwick
