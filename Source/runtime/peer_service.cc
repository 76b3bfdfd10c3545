// Handles forwarded requests, probes and sheet fetches from other instances.

#include "Source/runtime/peer_service.h"
#include "Source/base/steady_clock.h"

#include <utility>

namespace heatherwick {

namespace {

std::string AddressOfMember(const MemberSource& members, const InstanceId& id) {
  for (const MemberInfo& member : *members.Members()) {
    if (member.id == id) {
      return member.address;
    }
  }
  return "";
}

}  // namespace

grpc::ServerUnaryReactor* PeerService::Forward(
    grpc::CallbackServerContext* context,
    const proto::ForwardRequest* request,
    proto::ForwardReply* reply) {
  grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
  const uint64_t own_version = m_context->sheets->Current().version;
  reply->set_sheet_version(own_version);
  if (request->sheet_version() > own_version) {
    m_context->sheets->ReportVersion(
        request->sheet_version(),
        AddressOfMember(*m_context->members, request->entry()));
  }
  const bool resolves = request->has_resolve();
  const GroupName& group =
      resolves ? request->resolve().group() : request->execute().group();
  const bool in_transaction =
      !resolves && !request->execute().transaction().empty();
  const auto home = in_transaction ? m_context->homes->Find(group)
                                   : m_context->homes->FindOrCreate(group);
  const std::string refusal = RefusalReason(*request, home);
  if (!refusal.empty()) {
    reply->set_not_taken(true);
    reply->set_reason(refusal);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
  const absl::Time deadline =
      SteadyNow() + absl::Milliseconds(request->deadline_ms());
  const auto done = [reactor, reply](proto::ExecuteReply executed) {
    *reply->mutable_reply() = std::move(executed);
    reactor->Finish(grpc::Status::OK);
  };
  if (resolves) {
    home->Resolve(request->resolve(), deadline, done);
  } else {
    home->Execute(request->execute(), deadline, done);
  }
  return reactor;
}

std::string PeerService::RefusalReason(
    const proto::ForwardRequest& request,
    const std::shared_ptr<GroupHome>& home) const {
  if (request.home_incarnation() != m_context->incarnation()) {
    return "the instance has been restarted";
  }
  if (request.sheet_version() > m_context->sheets->Current().version) {
    return "the instance's sheet is older than the entry instance's";
  }
  if (home == nullptr) {
    return "the instance is not the home of the group";
  }
  const bool in_transaction = !request.execute().transaction().empty();
  if (m_context->homes->Draining() && !in_transaction) {
    return "the instance is leaving";
  }
  if (!request.forced() && !in_transaction && !home->CanServe()) {
    return "the instance cannot reach the group's primary or a majority";
  }
  return "";
}

grpc::Status PeerService::Probe(grpc::ServerContext* /*context*/,
                                const proto::ProbeRequest* request,
                                proto::ProbeReply* reply) {
  m_context->members->Probe(*request, reply);
  return grpc::Status::OK;
}

grpc::Status PeerService::FetchSheet(grpc::ServerContext* /*context*/,
                                     const proto::FetchSheetRequest* request,
                                     proto::FetchSheetReply* reply) {
  m_context->sheets->FetchSheet(*request, reply);
  return grpc::Status::OK;
}

}  // namespace heatherwick
