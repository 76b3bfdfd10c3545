// The gRPC service that the operators' command-line client calls.

#ifndef SOURCE_RUNTIME_OPERATOR_SERVICE_H_
#define SOURCE_RUNTIME_OPERATOR_SERVICE_H_

#include <functional>
#include <string>
#include <vector>

#include "Source/proto/operator.grpc.pb.h"
#include "Source/runtime/routed_request.h"

namespace heatherwick {

class OperatorService : public proto::Operator::Service {
 public:
  // `context` must outlive the server. `drain` requests a graceful stop of the
  // process.
  OperatorService(RoutingContext* context, std::function<void()> drain);

  grpc::Status CheckSheet(grpc::ServerContext* context,
                          const proto::CheckSheetRequest* request,
                          proto::CheckSheetReply* reply) override;
  grpc::Status SubmitSheet(grpc::ServerContext* context,
                           const proto::SubmitSheetRequest* request,
                           proto::SubmitSheetReply* reply) override;
  grpc::Status GetSheet(grpc::ServerContext* context,
                        const proto::GetSheetRequest* request,
                        proto::GetSheetReply* reply) override;
  grpc::Status SheetHistory(grpc::ServerContext* context,
                            const proto::SheetHistoryRequest* request,
                            proto::SheetHistoryReply* reply) override;
  grpc::Status ListGroups(grpc::ServerContext* context,
                          const proto::ListGroupsRequest* request,
                          proto::ListGroupsReply* reply) override;
  grpc::Status ListMembers(grpc::ServerContext* context,
                           const proto::ListMembersRequest* request,
                           proto::ListMembersReply* reply) override;
  grpc::Status Drain(grpc::ServerContext* context,
                     const proto::DrainRequest* request,
                     proto::DrainReply* reply) override;
  grpc::Status Explain(grpc::ServerContext* context,
                       const proto::ExplainRequest* request,
                       proto::ExplainReply* reply) override;
  grpc::Status Statistics(grpc::ServerContext* context,
                          const proto::StatisticsRequest* request,
                          proto::StatisticsReply* reply) override;

 private:
  // Fills `state` with the state of one group. Asks the group's home unless
  // `at_home` is set or this instance is the home.
  void DescribeGroup(const GroupName& group,
                     bool at_home,
                     proto::GroupState* state) const;
  void ExplainTargets(const proto::ExecuteRequest& request,
                      const proto::GroupState& state,
                      proto::ExplainReply* reply) const;

  RoutingContext* const m_context;
  const std::function<void()> m_drain;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_OPERATOR_SERVICE_H_
