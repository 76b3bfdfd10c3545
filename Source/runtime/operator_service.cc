// Implements the calls that operators make to an instance.

#include "Source/runtime/operator_service.h"
#include "Source/runtime/grpc_deadline.h"

#include <memory>
#include <utility>

#include "Source/runtime/request_rules.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/client_context.h"

namespace heatherwick {

namespace {

// A home that does not reply within this time is reported as unreachable.
constexpr absl::Duration kHomeTimeout = absl::Seconds(1);

std::string ClassText(const RequestRules& rules) {
  switch (rules.request_class) {
    case RequestClass::kWrite:
      return absl::StrCat(
          "a write or a step of a transaction; ",
          rules.repeatable ? "it may be repeated" : "it is never sent twice");
    case RequestClass::kCurrentRead:
      return "a read of current data: only the primary serves it, and a "
             "majority confirms it";
    case RequestClass::kBoundedStalenessRead:
      return absl::StrCat("a read that accepts an age of ",
                          absl::FormatDuration(rules.max_age));
  }
  return "";
}

}  // namespace

OperatorService::OperatorService(RoutingContext* context,
                                 std::function<void()> drain)
    : m_context(context), m_drain(std::move(drain)) {}

grpc::Status OperatorService::CheckSheet(
    grpc::ServerContext* /*context*/,
    const proto::CheckSheetRequest* request,
    proto::CheckSheetReply* reply) {
  m_context->sheets->CheckSheet(*request, reply);
  return grpc::Status::OK;
}

grpc::Status OperatorService::SubmitSheet(
    grpc::ServerContext* /*context*/,
    const proto::SubmitSheetRequest* request,
    proto::SubmitSheetReply* reply) {
  m_context->sheets->SubmitSheet(*request, reply);
  return grpc::Status::OK;
}

grpc::Status OperatorService::GetSheet(grpc::ServerContext* /*context*/,
                                       const proto::GetSheetRequest* request,
                                       proto::GetSheetReply* reply) {
  m_context->sheets->GetSheet(*request, reply);
  return grpc::Status::OK;
}

grpc::Status OperatorService::SheetHistory(
    grpc::ServerContext* /*context*/,
    const proto::SheetHistoryRequest* request,
    proto::SheetHistoryReply* reply) {
  m_context->sheets->SheetHistory(*request, reply);
  return grpc::Status::OK;
}

grpc::Status OperatorService::ListGroups(
    grpc::ServerContext* /*context*/,
    const proto::ListGroupsRequest* request,
    proto::ListGroupsReply* reply) {
  if (!request->group().empty()) {
    DescribeGroup(request->group(), request->at_home(), reply->add_groups());
    return grpc::Status::OK;
  }
  const SheetSnapshot snapshot = m_context->sheets->Current();
  if (snapshot.sheet != nullptr) {
    for (const auto& [group, row] : snapshot.sheet->groups) {
      DescribeGroup(group, false, reply->add_groups());
    }
  }
  return grpc::Status::OK;
}

void OperatorService::DescribeGroup(const GroupName& group,
                                    bool at_home,
                                    proto::GroupState* state) const {
  state->set_group(group);
  const HomeDirectory::Ranking candidates = m_context->homes->Candidates(group);
  if (candidates->empty()) {
    state->set_error_message(
        absl::StrCat("group \"", group,
                     "\" is not in the sheet; see: heatherwick sheet show"));
    return;
  }
  const MemberInfo& first = candidates->front();
  state->set_home(first.id);
  if (at_home || first.id == m_context->self.id) {
    if (const auto home = m_context->homes->Find(group)) {
      home->Describe(state);
    } else {
      state->set_error_message("the home has not started yet; try again");
    }
    return;
  }
  const auto stub =
      proto::Operator::NewStub(m_context->channels->Get(first.address));
  grpc::ClientContext context;
  context.set_deadline(GrpcDeadlineIn(kHomeTimeout));
  proto::ListGroupsRequest request;
  request.set_group(group);
  request.set_at_home(true);
  proto::ListGroupsReply reply;
  const grpc::Status status = stub->ListGroups(&context, request, &reply);
  if (status.ok() && reply.groups_size() == 1) {
    *state = reply.groups(0);
  } else {
    state->set_error_message(absl::StrCat(
        "the home ", first.id, " does not answer: ", status.error_message()));
  }
}

grpc::Status OperatorService::ListMembers(
    grpc::ServerContext* /*context*/,
    const proto::ListMembersRequest* /*request*/,
    proto::ListMembersReply* reply) {
  m_context->members->ListMembers(reply);
  reply->set_sheet_version(m_context->sheets->Current().version);
  reply->set_self(m_context->self.id);
  return grpc::Status::OK;
}

grpc::Status OperatorService::Drain(grpc::ServerContext* /*context*/,
                                    const proto::DrainRequest* /*request*/,
                                    proto::DrainReply* /*reply*/) {
  m_drain();
  return grpc::Status::OK;
}

grpc::Status OperatorService::Explain(grpc::ServerContext* /*context*/,
                                      const proto::ExplainRequest* request,
                                      proto::ExplainReply* reply) {
  const proto::ExecuteRequest& execute = request->request();
  const SheetSnapshot snapshot = m_context->sheets->Current();
  if (snapshot.sheet == nullptr) {
    reply->set_error_message(
        "no sheet is in force; submit one: heatherwick sheet submit FILE");
    return grpc::Status::OK;
  }
  const Result<RequestRules> rules = CheckRequest(*snapshot.sheet, execute);
  if (!Ok(rules)) {
    reply->set_error_message(ErrorOf(rules).Describe());
    return grpc::Status::OK;
  }
  reply->add_lines(absl::StrCat("sheet version ", snapshot.version, ": ",
                                ClassText(ValueOf(rules))));
  size_t rank = 0;
  for (const MemberInfo& member :
       *m_context->homes->Candidates(execute.group())) {
    reply->add_lines(
        absl::StrCat(rank == 0 ? "home: " : "successor: ", member.id, " (",
                     member.data_centre, ", ", member.address, ")",
                     member.id == m_context->self.id ? ", this instance" : ""));
    ++rank;
  }
  proto::GroupState state;
  DescribeGroup(execute.group(), false, &state);
  ExplainTargets(execute, state, reply);
  return grpc::Status::OK;
}

void OperatorService::ExplainTargets(const proto::ExecuteRequest& request,
                                     const proto::GroupState& state,
                                     proto::ExplainReply* reply) const {
  if (!state.error_message().empty()) {
    reply->add_lines(state.error_message());
    return;
  }
  const SheetSnapshot snapshot = m_context->sheets->Current();
  const Result<RequestRules> result = CheckRequest(*snapshot.sheet, request);
  const RequestRules& rules = ValueOf(result);
  const bool aged = rules.request_class == RequestClass::kBoundedStalenessRead;
  for (const proto::StatusReply& target : state.targets()) {
    const bool primary = target.target() == state.primary();
    std::string verdict = "refused: not the primary";
    if (target.leaving()) {
      verdict = "refused: leaving";
    } else if (primary) {
      verdict = aged ? "used when no replica can serve in time" : "used";
    } else if (aged) {
      verdict = absl::Milliseconds(target.age_ms()) <= rules.max_age
                    ? "may serve it"
                    : "refused: its data is too old";
    }
    reply->add_lines(absl::StrCat(
        "target ", target.target(), primary ? " (primary)" : " (replica)",
        ": term ", target.term(), ", age ", target.age_ms(), " ms, ",
        target.busy_slots(), " of ", target.slots(), " slots busy: ", verdict));
  }
  if (state.primary().empty()) {
    reply->add_lines(
        "the group has no primary: writes and current reads "
        "wait until their deadline");
  }
  reply->add_lines(absl::StrCat("queue: ", state.queued(), " waiting, ",
                                state.running(), " running"));
}

grpc::Status OperatorService::Statistics(
    grpc::ServerContext* /*context*/,
    const proto::StatisticsRequest* /*request*/,
    proto::StatisticsReply* reply) {
  reply->set_json(m_context->metrics->ToJson());
  return grpc::Status::OK;
}

}  // namespace heatherwick
