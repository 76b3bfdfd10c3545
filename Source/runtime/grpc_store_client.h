// A store client that uses platform.proto over gRPC. Registered as "grpc".

#ifndef SOURCE_RUNTIME_GRPC_STORE_CLIENT_H_
#define SOURCE_RUNTIME_GRPC_STORE_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "Source/proto/platform.grpc.pb.h"
#include "Source/runtime/store_client.h"

namespace heatherwick {

class GrpcStoreClient : public StoreClient {
 public:
  explicit GrpcStoreClient(const std::string& address);

  Result<TableRow> ReadRow(const std::string& key,
                           absl::Duration timeout) override;
  Result<uint64_t> WriteRow(const std::string& key,
                            uint64_t expected_version,
                            const std::string& value,
                            absl::Duration timeout) override;
  Status PutObject(const std::string& name,
                   const std::string& content,
                   absl::Duration timeout) override;
  Result<std::string> GetObject(const std::string& name,
                                absl::Duration timeout) override;
  Result<std::vector<ListedInstance>> ListInstances(
      absl::Duration timeout) override;

 private:
  std::unique_ptr<proto::Platform::Stub> m_stub;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GRPC_STORE_CLIENT_H_
