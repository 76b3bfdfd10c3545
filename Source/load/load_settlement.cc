// Resolves the writes whose outcome is unknown and verifies the rows after a
// load run.

#include "Source/load/load_settlement.h"
#include "Source/base/steady_clock.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(100);

}  // namespace

bool LoadSettlement::SettleOne(const LoadWrite& write) {
  proto::ResolveRequest request;
  request.set_caller(write.caller);
  request.set_group(write.group);
  request.set_request_key(write.Name());
  const proto::ExecuteReply reply = m_context.client->Resolve(
      request, m_context.options->deadline, m_next_choice++);
  const bool done = reply.outcome() == proto::DONE;
  if (!done && reply.outcome() != proto::NOT_RUN) {
    return false;
  }
  m_context.ledger->Settle(
      write, done ? WriteState::kDone : WriteState::kNotRun, SteadyNow());
  m_context.report->AddSettled(done);
  return true;
}

void LoadSettlement::SettleUnknown(absl::Time limit) {
  std::vector<LoadWrite> unknown = m_context.ledger->UnknownWrites();
  while (!unknown.empty() && SteadyNow() < limit) {
    bool all_settled = true;
    for (const LoadWrite& write : unknown) {
      all_settled = SteadyNow() < limit && SettleOne(write) && all_settled;
    }
    if (!all_settled) {
      absl::SleepFor(kRetryDelay);
    }
    unknown = m_context.ledger->UnknownWrites();
  }
}

void LoadSettlement::Verify(absl::Time limit) {
  for (const auto& [block, writes] : m_context.ledger->AllBlocks()) {
    VerifyBlock(block, writes, limit);
  }
}

std::optional<std::string> LoadSettlement::Read(const std::string& group,
                                                const std::string& statement,
                                                absl::Time limit) {
  proto::ExecuteRequest request;
  request.set_caller(m_context.options->callers.front().name);
  request.set_group(group);
  request.set_operation(proto::READ);
  request.set_read_kind(m_context.options->CurrentReadKind()->name);
  request.set_statement(statement);
  while (SteadyNow() < limit) {
    const proto::ExecuteReply reply = m_context.client->Execute(
        request, m_context.options->deadline, m_next_choice++);
    if (reply.outcome() == proto::DONE && reply.error_kind().empty()) {
      return reply.result();
    }
    absl::SleepFor(kRetryDelay);
  }
  return std::nullopt;
}

void LoadSettlement::VerifyBlock(const WriteBlock& block,
                                 const std::vector<LoadWrite>& writes,
                                 absl::Time limit) {
  std::string statement =
      absl::StrCat("GET ", LogRow(block), ";GET pair_a:", block.session,
                   ";GET pair_b:", block.session);
  for (const LoadWrite& write : writes) {
    absl::StrAppend(&statement, ";GET ", OnceRow(write.Name()));
  }
  const std::optional<std::string> result = Read(block.group, statement, limit);
  if (!result.has_value()) {
    m_context.report->AddViolation(
        absl::StrCat("cannot verify ", LogRow(block), " of ", block.group,
                     ": no current read succeeded in time"));
    return;
  }
  const std::vector<std::string> rows = absl::StrSplit(*result, ';');
  if (rows.size() != writes.size() + 3) {
    m_context.report->AddViolation(
        absl::StrCat("incomplete reply to the verification of ", LogRow(block),
                     ": '", *result, "'"));
    return;
  }
  if (rows[1] != rows[2]) {
    m_context.report->AddViolation(absl::StrCat(
        "session ", block.session, " in ", block.group,
        ": a transaction ran in part: ", rows[1], " and ", rows[2]));
  }
  const std::vector<std::string> once(rows.begin() + 3, rows.end());
  for (const std::string& fault :
       WriteLedger::CheckFinalRows(block, writes, rows[0], once)) {
    m_context.report->AddViolation(fault);
  }
}

}  // namespace heatherwick
