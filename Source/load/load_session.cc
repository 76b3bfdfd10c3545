// Reads, keyed writes and transactions of one session.

#include "Source/load/load_session.h"
#include "Source/base/steady_clock.h"

#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

constexpr int kRepeats = 2;

RequestEnd EndOf(const proto::ExecuteReply& reply) {
  if (reply.outcome() == proto::NOT_RUN) {
    return RequestEnd::kNotRun;
  }
  if (reply.outcome() == proto::DONE) {
    return reply.error_kind().empty() ? RequestEnd::kDone : RequestEnd::kFailed;
  }
  return RequestEnd::kUnknown;
}

// A failed statement was rolled back by its target.
WriteState StateOf(RequestEnd end) {
  switch (end) {
    case RequestEnd::kDone:
      return WriteState::kDone;
    case RequestEnd::kNotRun:
    case RequestEnd::kFailed:
      return WriteState::kNotRun;
    case RequestEnd::kUnknown:
      break;
  }
  return WriteState::kUnknown;
}

std::string AppendStatement(const LoadWrite& write) {
  const WriteBlock block = {write.group, write.session,
                            write.number / WriteLedger::kWritesInBlock};
  return absl::StrCat("APPEND ", LogRow(block), " ", write.Name(), ",");
}

// Adds the write's mark and reads it back, so that the reply names it.
std::string MarkStatement(const LoadWrite& write) {
  const std::string tag = absl::StrCat("tag:", write.session);
  return absl::StrCat("ADD ", OnceRow(write.Name()), " 1;PUT ", tag, " ",
                      write.Name(), ";GET ", tag);
}

std::string MarkResult(const LoadWrite& write) {
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

std::string LoadSession::MaybeWork() {
  return Percent(m_context.options->long_percent)
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

LoadSession::Outcome LoadSession::Send(const proto::ExecuteRequest& request) {
  proto::ExecuteRequest sent = request;
  sent.set_token(m_token);
  Outcome outcome;
  outcome.reply =
      m_context.client->Execute(sent, m_context.options->deadline, m_random());
  outcome.end = EndOf(outcome.reply);
  if (!outcome.reply.token().empty()) {
    m_token = outcome.reply.token();
  }
  return outcome;
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
      Percent(50) ? m_number : m_random() % options.sessions;
  const WriteBlock block = m_context.ledger->LastBlock(read_session, group)
                               .value_or(WriteBlock{group, read_session, 0});
  // The session's own writes have to be seen whatever their age; those of
  // others once they are older than the kind allows.
  const absl::Time visible_from =
      read_session == m_number ? SteadyNow() : SteadyNow() - kind.max_age;
  const std::vector<std::string> required =
      m_context.ledger->AcknowledgedUntil(block, visible_from);
  proto::ExecuteRequest request = MakeRequest(proto::READ, group);
  request.set_read_kind(kind.name);
  request.set_statement(absl::StrCat(MaybeWork(), "GET ", LogRow(block),
                                     ";GET pair_a:", read_session,
                                     ";GET pair_b:", read_session));
  const Outcome outcome = Send(request);
  // A read without an answer changes nothing: it failed.
  const RequestEnd end =
      outcome.end == RequestEnd::kUnknown ? RequestEnd::kFailed : outcome.end;
  m_context.report->AddRequest("read/" + kind.name, end, outcome.reply,
                               SteadyNow() - arrival.due);
  if (end == RequestEnd::kDone) {
    m_context.report->AddServedRead(group, outcome.reply.served_by(),
                                    kind.name);
    CheckRead(block, kind, required, outcome.reply);
  }
}

void LoadSession::CheckRead(const WriteBlock& block,
                            const LoadReadKind& kind,
                            const std::vector<std::string>& required,
                            const proto::ExecuteReply& reply) {
  std::vector<std::string> results = absl::StrSplit(reply.result(), ';');
  if (results.size() == 4) {
    results.erase(results.begin());  // Of WORK.
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
        absl::StrCat("a part of a transaction of session ", block.session,
                     " is visible: ", results[1], " and ", results[2], where));
  }
  if (absl::Milliseconds(reply.age_ms()) > kind.max_age) {
    m_context.report->AddViolation(absl::StrCat("too old", where));
  }
}

void LoadSession::RunWrite(const LoadArrival& arrival) {
  const ProcessLoadOptions& options = *m_context.options;
  const std::string& group = options.groups[m_random() % options.groups.size()];
  const LoadWrite write = m_context.ledger->Begin(m_number, group, m_caller);
  proto::ExecuteRequest request = MakeRequest(proto::WRITE, group);
  request.set_request_key(write.Name());
  request.set_request_kind(Percent(50) ? options.once_kind
                                       : options.repeatable_kind);
  const std::string work = MaybeWork();
  request.set_statement(
      absl::StrCat(work, AppendStatement(write), ";", MarkStatement(write)));
  Outcome outcome = Send(request);
  if (outcome.end == RequestEnd::kUnknown) {
    outcome = Clarify(request, outcome);
  }
  if (outcome.end == RequestEnd::kDone) {
    Expect("write " + write.Name(),
           absl::StrCat(work.empty() ? "OK;" : "OK;OK;", MarkResult(write)),
           outcome.reply);
  }
  FinishWrite("write", write, outcome, arrival.due);
}

LoadSession::Outcome LoadSession::Clarify(const proto::ExecuteRequest& request,
                                          const Outcome& first) {
  if (request.request_kind() == m_context.options->repeatable_kind) {
    for (int i = 0; i < kRepeats; ++i) {
      Outcome again = Send(request);
      // Not run says nothing about the first copy.
      if (again.end == RequestEnd::kDone) {
        return again;
      }
    }
    return first;
  }
  // Half of the others stay unknown until the end of the run.
  if (Percent(50)) {
    return first;
  }
  proto::ResolveRequest resolve;
  resolve.set_caller(m_caller);
  resolve.set_group(request.group());
  resolve.set_request_key(request.request_key());
  resolve.set_token(m_token);
  Outcome outcome;
  outcome.reply = m_context.client->Resolve(
      resolve, m_context.options->deadline, m_random());
  outcome.end = EndOf(outcome.reply);
  return outcome;
}

bool LoadSession::RunSteps(const LoadWrite& write,
                           const std::string& transaction,
                           proto::ExecuteReply* failed) {
  const std::string pair = absl::StrCat(write.session);
  const std::pair<std::string, std::string> steps[] = {
      {absl::StrCat(MarkStatement(write), ";ADD pair_a:", pair, " 1"),
       MarkResult(write)},
      {absl::StrCat(AppendStatement(write), ";ADD pair_b:", pair, " 1"), "OK"}};
  for (const auto& [statement, result] : steps) {
    proto::ExecuteRequest request = MakeRequest(proto::WRITE, write.group);
    request.set_transaction(transaction);
    request.set_statement(statement);
    const Outcome outcome = Send(request);
    if (outcome.end != RequestEnd::kDone) {
      *failed = outcome.reply;
      return false;
    }
    if (!absl::StartsWith(outcome.reply.result(), result + ";")) {
      Expect("transaction " + write.Name(), result + ";...", outcome.reply);
    }
  }
  proto::ExecuteRequest request = MakeRequest(proto::READ, write.group);
  request.set_transaction(transaction);
  request.set_read_kind(m_context.options->CurrentKind()->name);
  request.set_statement("GET " + OnceRow(write.Name()));
  const Outcome outcome = Send(request);
  if (outcome.end != RequestEnd::kDone) {
    *failed = outcome.reply;
    return false;
  }
  Expect("read in transaction " + write.Name(), "1", outcome.reply);
  return true;
}

void LoadSession::RunTransaction(const LoadArrival& arrival) {
  const ProcessLoadOptions& options = *m_context.options;
  const std::string& group = options.groups[m_random() % options.groups.size()];
  const LoadWrite write = m_context.ledger->Begin(m_number, group, m_caller);
  Outcome outcome = Send(MakeRequest(proto::BEGIN, group));
  const std::string transaction = outcome.reply.transaction();
  if (outcome.end != RequestEnd::kDone) {
    // Without a handle nothing can run in it.
    outcome.end = RequestEnd::kNotRun;
  } else if (!RunSteps(write, transaction, &outcome.reply)) {
    proto::ExecuteRequest request = MakeRequest(proto::ROLLBACK, group);
    request.set_transaction(transaction);
    Send(request);
    // Without a COMMIT the transaction must leave nothing behind.
    outcome.end = RequestEnd::kNotRun;
  } else {
    proto::ExecuteRequest request = MakeRequest(proto::COMMIT, group);
    request.set_transaction(transaction);
    request.set_request_key(write.Name());
    request.set_request_kind(options.once_kind);
    outcome = Send(request);
    if (outcome.end == RequestEnd::kUnknown) {
      outcome = Clarify(request, outcome);
    }
  }
  FinishWrite("transaction", write, outcome, arrival.due);
}

void LoadSession::FinishWrite(const std::string& request_class,
                              const LoadWrite& write,
                              const Outcome& outcome,
                              absl::Time due) {
  const absl::Time now = SteadyNow();
  m_context.ledger->Settle(write, StateOf(outcome.end), now);
  m_context.report->AddRequest(request_class, outcome.end, outcome.reply,
                               now - due);
  if (outcome.end == RequestEnd::kDone) {
    m_context.report->AddAcknowledgedWrite(write.group,
                                           outcome.reply.served_by(), now);
  }
}

}  // namespace heatherwick
