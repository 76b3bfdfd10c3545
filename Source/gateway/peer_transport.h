// Calls between instances that share the use of primaries.

#ifndef SOURCE_GATEWAY_PEER_TRANSPORT_H_
#define SOURCE_GATEWAY_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "Source/gateway/row_store.h"
#include "absl/time/time.h"

namespace heatherwick {

struct VouchQuestion {
  InstanceId instance;
  uint64_t incarnation = 0;
  uint64_t leaders_version = 0;  // Newest leader row that was applied.
  // Changes, by epoch, for which all use of the old primary has ended.
  std::map<GroupName, uint64_t> confirmed;
  // Leader rows that the sender has just published.
  std::vector<StoredRow> announced;
};

struct VouchAnswer {
  bool member_known = false;
  bool has_reading = false;
  absl::Duration reading_age;
  uint64_t leaders_version = 0;
  bool store_unreachable = false;
  std::vector<StoredRow> leaders;  // Newer than the question's version.
};

struct FollowQuestion {
  std::string table;
  uint64_t after = 0;
};

struct FollowAnswer {
  RowChanges changes;     // Without as_of.
  absl::Duration waited;  // From the question's arrival to the answer.
  absl::Duration age;     // Of the reading, when the answer was made.
};

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // kNotFound: no process runs at the address. kUnavailable: no answer.
  virtual void Vouch(const std::string& address,
                     const VouchQuestion& question,
                     absl::Duration timeout,
                     std::function<void(Result<VouchAnswer>)> done) = 0;
  virtual void Follow(const std::string& address,
                      const FollowQuestion& question,
                      absl::Duration timeout,
                      std::function<void(Result<FollowAnswer>)> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PEER_TRANSPORT_H_
