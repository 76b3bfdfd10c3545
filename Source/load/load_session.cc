// Executes and checks the reads, the writes with an idempotency key and the
// transactions of one session.

#include "Source/load/load_session.h"
#include "Source/base/steady_clock.h"

#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

constexpr int kResends = 2;

RequestOutcome OutcomeOf(const proto::ExecuteReply& reply) {
  if (reply.outcome() == proto::NOT_RUN) {
    return RequestOutcome::kNotRun;
  }
  if (reply.outcome() == proto::DONE) {
    return reply.error_kind().empty() ? RequestOutcome::kDone
                                      : RequestOutcome::kFailed;
  }
  return RequestOutcome::kUnknown;
}

// A failed statement counts as not run because its target rolled it back.
WriteState WriteStateOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kDone:
      return WriteState::kDone;
    case RequestOutcome::kNotRun:
    case RequestOutcome::kFailed:
      return WriteState::kNotRun;
    case RequestOutcome::kUnknown:
      break;
  }
  return WriteState::kUnknown;
}

std::string AppendStatement(const LoadWrite& write) {
  const WriteBlock block = {write.group, write.session,
                            write.number / WriteLedger::kWritesInBlock};
  return absl::StrCat("APPEND ", LogRow(block), " ", write.Name(), ",");
}

// Adds 1 to the write's once row, so that a second execution is detected. Also
// stores the write's name and reads it back, so that the reply shows which
// write was executed.
std::string CountStatement(const LoadWrite& write) {
  const std::string tag = absl::StrCat("tag:", write.session);
  return absl::StrCat("ADD ", OnceRow(write.Name()), " 1;PUT ", tag, " ",
                      write.Name(), ";GET ", tag);
}

std::string CountResult(const LoadWrite& write) {
  return absl::StrCat("1;OK;", write.Name());
}

}  // namespace

LoadSession::LoadSession(const LoadContext& context,
                         uint64_t number,
                         std::string caller)
    : m_context(context), m_number(number), m_caller(std::move(caller)) {}

void LoadSession::Run(const LoadArrival& arrival) {
  m_random.seed(arrival.seed);
  const ProcessLoadOptions& options = *m_context.options;
  const uint64_t draw = m_random() % 100;
  if (draw < options.write_percent) {
    RunWrite(arrival);
  } else if (draw < options.write_percent + options.transaction_percent) {
    RunTransaction(arrival);
  } else {
    RunRead(arrival);
  }
}

std::string LoadSession::MaybeLongWork() {
  return WithProbability(m_context.options->long_percent)
             ? absl::StrCat("WORK ", m_context.options->long_work_ms, ";")
             : "";
}

proto::ExecuteRequest LoadSession::MakeRequest(proto::Operation operation,
                                               const std::string& group) const {
  proto::ExecuteRequest request;
  request.set_caller(m_caller);
  request.set_group(group);
  request.set_operation(operation);
  return request;
}

LoadSession::Response LoadSession::Send(const proto::ExecuteRequest& request) {
  proto::ExecuteRequest sent = request;
  sent.set_token(m_token);
  Response response;
  response.reply =
      m_context.client->Execute(sent, m_context.options->deadline, m_random());
  response.outcome = OutcomeOf(response.reply);
  if (!response.reply.token().empty()) {
    m_token = response.reply.token();
  }
  return response;
}

void LoadSession::Expect(const std::string& what,
                         const std::string& expected,
                         const proto::ExecuteReply& reply) {
  if (reply.result() != expected) {
    m_context.report->AddViolation(
        absl::StrCat(what, ": expected '", expected, "', the reply has '",
                     reply.result(), "' from ", reply.served_by()));
  }
}

void LoadSession::RunRead(const LoadArrival& arrival) {
  const ProcessLoadOptions& options = *m_context.options;
  std::vector<double> weights;
  for (const LoadReadKind& read_kind : options.read_kinds) {
    weights.push_back(static_cast<double>(read_kind.weight));
  }
  const LoadReadKind& kind =
      options.read_kinds[std::discrete_distribution<size_t>(
          weights.begin(), weights.end())(m_random)];
  const std::string& group = options.groups[m_random() % options.groups.size()];
  const uint64_t read_session =
      WithProbability(50) ? m_number : m_random() % options.sessions;
  const WriteBlock block = m_context.ledger->LastBlock(read_session, group)
                               .value_or(WriteBlock{group, read_session, 0});
  // A session must see all of its own acknowledged writes. It must see those of
  // another session once they are older than the read kind's greatest age.
  const absl::Time visible_from =
      read_session == m_number ? SteadyNow() : SteadyNow() - kind.max_age;
  const std::vector<std::string> required =
      m_context.ledger->AcknowledgedUntil(block, visible_from);
  proto::ExecuteRequest request = MakeRequest(proto::READ, group);
  request.set_read_kind(kind.name);
  request.set_statement(absl::StrCat(MaybeLongWork(), "GET ", LogRow(block),
                                     ";GET pair_a:", read_session,
                                     ";GET pair_b:", read_session));
  const Response response = Send(request);
  // A read changes nothing, so a read with an unknown outcome counts as failed.
  const RequestOutcome outcome = response.outcome == RequestOutcome::kUnknown
                                     ? RequestOutcome::kFailed
                                     : response.outcome;
  m_context.report->AddRequest("read/" + kind.name, outcome, response.reply,
                               SteadyNow() - arrival.due);
  if (outcome == RequestOutcome::kDone) {
    m_context.report->AddServedRead(group, response.reply.served_by(),
                                    kind.name);
    CheckRead(block, kind, required, response.reply);
  }
}

void LoadSession::CheckRead(const WriteBlock& block,
                            const LoadReadKind& kind,
                            const std::vector<std::string>& required,
                            const proto::ExecuteReply& reply) {
  std::vector<std::string> results = absl::StrSplit(reply.result(), ';');
  if (results.size() == 4) {
    results.erase(results.begin());  // The result of WORK.
  }
  const std::string where =
      absl::StrCat(" (", kind.name, " read by session ", m_number, " from ",
                   reply.served_by(), ", age ", reply.age_ms(), " ms)");
  if (results.size() != 3) {
    m_context.report->AddViolation(
        absl::StrCat("incomplete reply '", reply.result(), "'", where));
    return;
  }
  const auto fault = WriteLedger::CheckLogRow(block, results[0], required);
  if (fault.has_value()) {
    m_context.report->AddViolation(absl::StrCat(*fault, where));
  }
  if (results[1] != results[2]) {
    m_context.report->AddViolation(
        absl::StrCat("only a part of a transaction of session ", block.session,
                     " is visible: ", results[1], " and ", results[2], where));
  }
  if (absl::Milliseconds(reply.age_ms()) > kind.max_age) {
    m_context.report->AddViolation(
        absl::StrCat("data is older than the read kind allows", where));
  }
}

void LoadSession::RunWrite(const LoadArrival& arrival) {
  const ProcessLoadOptions& options = *m_context.options;
  const std::string& group = options.groups[m_random() % options.groups.size()];
  const LoadWrite write = m_context.ledger->Begin(m_number, group, m_caller);
  proto::ExecuteRequest request = MakeRequest(proto::WRITE, group);
  request.set_request_key(write.Name());
  request.set_request_kind(WithProbability(50) ? options.once_kind
                                               : options.repeatable_kind);
  const std::string work = MaybeLongWork();
  request.set_statement(
      absl::StrCat(work, AppendStatement(write), ";", CountStatement(write)));
  Response response = Send(request);
  if (response.outcome == RequestOutcome::kUnknown) {
    response = ResolveUnknown(request, response);
  }
  if (response.outcome == RequestOutcome::kDone) {
    Expect("write " + write.Name(),
           absl::StrCat(work.empty() ? "OK;" : "OK;OK;", CountResult(write)),
           response.reply);
  }
  FinishWrite("write", write, response, arrival.due);
}

LoadSession::Response LoadSession::ResolveUnknown(
    const proto::ExecuteRequest& request,
    const Response& first) {
  if (request.request_kind() == m_context.options->repeatable_kind) {
    for (int i = 0; i < kResends; ++i) {
      Response again = Send(request);
      // If the repeated request was not run, the first one may still have run.
      if (again.outcome == RequestOutcome::kDone) {
        return again;
      }
    }
    return first;
  }
  // Half of the writes that must not be repeated stay unknown until the
  // settlement at the end of the run.
  if (WithProbability(50)) {
    return first;
  }
  proto::ResolveRequest resolve;
  resolve.set_caller(m_caller);
  resolve.set_group(request.group());
  resolve.set_request_key(request.request_key());
  resolve.set_token(m_token);
  Response response;
  response.reply = m_context.client->Resolve(
      resolve, m_context.options->deadline, m_random());
  response.outcome = OutcomeOf(response.reply);
  return response;
}

bool LoadSession::RunSteps(const LoadWrite& write,
                           const std::string& transaction,
                           proto::ExecuteReply* failed) {
  const std::string pair = absl::StrCat(write.session);
  const std::pair<std::string, std::string> steps[] = {
      {absl::StrCat(CountStatement(write), ";ADD pair_a:", pair, " 1"),
       CountResult(write)},
      {absl::StrCat(AppendStatement(write), ";ADD pair_b:", pair, " 1"), "OK"}};
  for (const auto& [statement, result] : steps) {
    proto::ExecuteRequest request = MakeRequest(proto::WRITE, write.group);
    request.set_transaction(transaction);
    request.set_statement(statement);
    const Response response = Send(request);
    if (response.outcome != RequestOutcome::kDone) {
      *failed = response.reply;
      return false;
    }
    if (!absl::StartsWith(response.reply.result(), result + ";")) {
      Expect("transaction " + write.Name(), result + ";...", response.reply);
    }
  }
  proto::ExecuteRequest request = MakeRequest(proto::READ, write.group);
  request.set_transaction(transaction);
  request.set_read_kind(m_context.options->CurrentReadKind()->name);
  request.set_statement("GET " + OnceRow(write.Name()));
  const Response response = Send(request);
  if (response.outcome != RequestOutcome::kDone) {
    *failed = response.reply;
    return false;
  }
  Expect("read in transaction " + write.Name(), "1", response.reply);
  return true;
}

void LoadSession::RunTransaction(const LoadArrival& arrival) {
  const ProcessLoadOptions& options = *m_context.options;
  const std::string& group = options.groups[m_random() % options.groups.size()];
  const LoadWrite write = m_context.ledger->Begin(m_number, group, m_caller);
  Response response = Send(MakeRequest(proto::BEGIN, group));
  const std::string transaction = response.reply.transaction();
  if (response.outcome != RequestOutcome::kDone) {
    // Without a transaction handle no statement can run in the transaction.
    response.outcome = RequestOutcome::kNotRun;
  } else if (!RunSteps(write, transaction, &response.reply)) {
    proto::ExecuteRequest request = MakeRequest(proto::ROLLBACK, group);
    request.set_transaction(transaction);
    Send(request);
    // Without a COMMIT the transaction must leave no changes behind.
    response.outcome = RequestOutcome::kNotRun;
  } else {
    proto::ExecuteRequest request = MakeRequest(proto::COMMIT, group);
    request.set_transaction(transaction);
    request.set_request_key(write.Name());
    request.set_request_kind(options.once_kind);
    response = Send(request);
    if (response.outcome == RequestOutcome::kUnknown) {
      response = ResolveUnknown(request, response);
    }
  }
  FinishWrite("transaction", write, response, arrival.due);
}

void LoadSession::FinishWrite(const std::string& request_class,
                              const LoadWrite& write,
                              const Response& response,
                              absl::Time due) {
  const absl::Time now = SteadyNow();
  m_context.ledger->Settle(write, WriteStateOf(response.outcome), now);
  m_context.report->AddRequest(request_class, response.outcome, response.reply,
                               now - due);
  if (response.outcome == RequestOutcome::kDone) {
    m_context.report->AddAcknowledgedWrite(write.group,
                                           response.reply.served_by(), now);
  }
}

}  // namespace heatherwick
