// standin-call: a command-line client for the scripts of the process tests.
// It calls any method of this repository's gRPC services with a JSON request
// and prints the JSON reply.

#include <google/protobuf/descriptor.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/util/json_util.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "Source/proto/operator.grpc.pb.h"
#include "Source/proto/platform.grpc.pb.h"
#include "Source/proto/target.grpc.pb.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/generic/generic_stub.h"
#include "grpcpp/grpcpp.h"

namespace {

using google::protobuf::Message;

constexpr std::chrono::seconds kCallTimeout(10);

std::unique_ptr<Message> NewMessage(const google::protobuf::Descriptor* type) {
  return std::unique_ptr<Message>(
      google::protobuf::MessageFactory::generated_factory()
          ->GetPrototype(type)
          ->New());
}

grpc::Status CallMethod(const std::string& address,
                        const google::protobuf::MethodDescriptor& method,
                        const Message& request,
                        Message* reply) {
  const auto channel =
      grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
  const std::string path =
      absl::StrCat("/", method.service()->full_name(), "/", method.name());
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  grpc::CompletionQueue queue;
  grpc::TemplatedGenericStub<Message, Message> stub(channel);
  const auto call = stub.PrepareUnaryCall(&context, path, request, &queue);
  grpc::Status status;
  call->StartCall();
  call->Finish(reply, &status, nullptr);
  void* tag = nullptr;
  bool ok = false;
  queue.Next(&tag, &ok);
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  // These variables make the linker keep the descriptors of the services, which
  // are looked up by name below.
  heatherwick::proto::SubmitSheetRequest operator_proto;
  heatherwick::proto::PlatformFaults platform_proto;
  heatherwick::proto::TargetFaults target_proto;
  if (argc != 4) {
    fprintf(stderr, "usage: standin-call IP:PORT SERVICE.METHOD JSON\n");
    return 2;
  }
  const auto* method =
      google::protobuf::DescriptorPool::generated_pool()->FindMethodByName(
          absl::StrCat("heatherwick.proto.", argv[2]));
  if (method == nullptr) {
    fprintf(stderr, "no method %s; see Source/proto\n", argv[2]);
    return 2;
  }
  const auto request = NewMessage(method->input_type());
  const auto reply = NewMessage(method->output_type());
  const auto parsed =
      google::protobuf::util::JsonStringToMessage(argv[3], request.get());
  if (!parsed.ok()) {
    fprintf(stderr, "bad request: %s\n", parsed.ToString().c_str());
    return 2;
  }
  const grpc::Status status =
      CallMethod(argv[1], *method, *request, reply.get());
  if (!status.ok()) {
    fprintf(stderr, "call failed: %s\n", status.error_message().c_str());
    return 1;
  }
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  (void)google::protobuf::util::MessageToJsonString(*reply, &json, options);
  printf("%s\n", json.c_str());
  return 0;
}
