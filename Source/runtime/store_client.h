// Interface to the platform's table service, object store and list of
// instances.

#ifndef SOURCE_RUNTIME_STORE_CLIENT_H_
#define SOURCE_RUNTIME_STORE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

struct TableRow {
  uint64_t version = 0;  // 0 if the row does not exist.
  std::string value;
};

struct ListedInstance {
  InstanceId id;
  std::string address;
  DataCentreName data_centre;
  std::string region;
  bool leaving = false;
};

// Every call blocks for at most `timeout`. If a write fails with kUnavailable,
// it is unknown whether the write has taken effect.
class StoreClient {
 public:
  static constexpr absl::string_view kPluginKind = "store";

  virtual ~StoreClient() = default;

  virtual Result<TableRow> ReadRow(const std::string& key,
                                   absl::Duration timeout) = 0;
  // Fails with kConflict when the row's version is not `expected_version`.
  // Returns the new version.
  virtual Result<uint64_t> WriteRow(const std::string& key,
                                    uint64_t expected_version,
                                    const std::string& value,
                                    absl::Duration timeout) = 0;
  virtual Status PutObject(const std::string& name,
                           const std::string& content,
                           absl::Duration timeout) = 0;
  virtual Result<std::string> GetObject(const std::string& name,
                                        absl::Duration timeout) = 0;
  virtual Result<std::vector<ListedInstance>> ListInstances(
      absl::Duration timeout) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_STORE_CLIENT_H_
