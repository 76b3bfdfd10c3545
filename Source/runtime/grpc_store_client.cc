// Implements the store client with calls of platform.proto.

#include "Source/runtime/grpc_store_client.h"
#include "Source/runtime/grpc_deadline.h"

#include <string>
#include <utility>

#include "Source/kernel/registry.h"
#include "Source/runtime/channel_pool.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/client_context.h"

namespace heatherwick {

namespace {

const Registration<StoreClient, GrpcStoreClient, const std::string&>
    kRegistration("grpc");

// Performs one call with a timeout and turns a failed status into an error.
template <typename Request, typename Reply, typename Method>
Result<Reply> Call(absl::string_view method_name,
                   proto::Platform::Stub* stub,
                   Method method,
                   const Request& request,
                   absl::Duration timeout) {
  grpc::ClientContext context;
  context.set_deadline(GrpcDeadlineIn(timeout));
  Reply reply;
  const grpc::Status status = (stub->*method)(&context, request, &reply);
  if (!status.ok()) {
    return Error{ErrorKind::kUnavailable,
                 absl::StrCat("the platform's store did not answer ",
                              method_name, ": ", status.error_message()),
                 "wait until the store is available again and repeat the call"};
  }
  return reply;
}

}  // namespace

GrpcStoreClient::GrpcStoreClient(const std::string& address)
    : m_stub(proto::Platform::NewStub(ChannelPool().Get(address))) {}

Result<TableRow> GrpcStoreClient::ReadRow(const std::string& key,
                                          absl::Duration timeout) {
  proto::ReadRowRequest request;
  request.set_key(key);
  auto result = Call<proto::ReadRowRequest, proto::ReadRowReply>(
      "ReadRow", m_stub.get(), &proto::Platform::Stub::ReadRow, request,
      timeout);
  if (!Ok(result)) {
    return ErrorOf(result);
  }
  proto::ReadRowReply& reply = ValueOf(result);
  return TableRow{reply.found() ? reply.version() : 0,
                  std::move(*reply.mutable_value())};
}

Result<uint64_t> GrpcStoreClient::WriteRow(const std::string& key,
                                           uint64_t expected_version,
                                           const std::string& value,
                                           absl::Duration timeout) {
  proto::WriteRowRequest request;
  request.set_key(key);
  request.set_expected_version(expected_version);
  request.set_value(value);
  const auto result = Call<proto::WriteRowRequest, proto::WriteRowReply>(
      "WriteRow", m_stub.get(), &proto::Platform::Stub::WriteRow, request,
      timeout);
  if (!Ok(result)) {
    return ErrorOf(result);
  }
  const proto::WriteRowReply& reply = ValueOf(result);
  if (!reply.written()) {
    return Error{ErrorKind::kConflict,
                 absl::StrCat("row ", key, " has version ", reply.version(),
                              " instead of ", expected_version),
                 "read the row and decide again"};
  }
  return reply.version();
}

Status GrpcStoreClient::PutObject(const std::string& name,
                                  const std::string& content,
                                  absl::Duration timeout) {
  proto::PutObjectRequest request;
  request.set_name(name);
  request.set_content(content);
  const auto result = Call<proto::PutObjectRequest, proto::PutObjectReply>(
      "PutObject", m_stub.get(), &proto::Platform::Stub::PutObject, request,
      timeout);
  if (!Ok(result)) {
    return ErrorOf(result);
  }
  return std::monostate{};
}

Result<std::string> GrpcStoreClient::GetObject(const std::string& name,
                                               absl::Duration timeout) {
  proto::GetObjectRequest request;
  request.set_name(name);
  auto result = Call<proto::GetObjectRequest, proto::GetObjectReply>(
      "GetObject", m_stub.get(), &proto::Platform::Stub::GetObject, request,
      timeout);
  if (!Ok(result)) {
    return ErrorOf(result);
  }
  if (!ValueOf(result).found()) {
    return Error{ErrorKind::kNotFound,
                 absl::StrCat("object ", name, " does not exist"),
                 "check the version that names it"};
  }
  return std::move(*ValueOf(result).mutable_content());
}

Result<std::vector<ListedInstance>> GrpcStoreClient::ListInstances(
    absl::Duration timeout) {
  const auto result =
      Call<proto::ListInstancesRequest, proto::ListInstancesReply>(
          "ListInstances", m_stub.get(), &proto::Platform::Stub::ListInstances,
          proto::ListInstancesRequest(), timeout);
  if (!Ok(result)) {
    return ErrorOf(result);
  }
  std::vector<ListedInstance> instances;
  for (const proto::InstanceEntry& entry : ValueOf(result).instances()) {
    instances.push_back({entry.id(), entry.address(), entry.data_centre(),
                         entry.region(), entry.leaving()});
  }
  return instances;
}

}  // namespace heatherwick
