// Calls between the instances that share primaries. See leadership.proto for
// the messages.

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

// Asks a peer for its newest read of the store, which the sender can use to
// extend its own lease (see peer_leases.h). Also carries confirmations and
// newly published changes.
struct VouchQuery {
  InstanceId instance;
  uint64_t incarnation = 0;
  uint64_t leaders_version = 0;  // Newest leader row that the sender applied.
  // The epoch, by group, of the change for which the sender has ended all use
  // of the old primary.
  std::map<GroupName, uint64_t> confirmed;
  // Leader rows that the sender has just published.
  std::vector<StoredRow> announced;
};

struct VouchResponse {
  // The instance that answers; empty if it runs an earlier version. An address
  // may have passed to another instance.
  InstanceId responder;
  uint64_t responder_incarnation = 0;
  // The responder's view contains the sender's member row and incarnation.
  bool member_known = false;
  bool has_reading = false;
  absl::Duration reading_age;  // Age of the responder's view.
  uint64_t leaders_version = 0;
  // The responder cannot read the store and carries out no change.
  bool store_unreachable = false;
  std::vector<StoredRow>
      leaders;  // Leader rows newer than the query's version.
};

// Asks a peer for the changes of a table that it knows.
struct FollowQuery {
  std::string table;
  uint64_t after = 0;  // Version up to which the sender knows the table.
  // How long the peer may wait for a newer read or newer rows. With zero it
  // answers at once.
  absl::Duration wait;
  // Large values may be left out of the response (see PackedRow).
  bool accepts_packed = false;
};

// A row whose value is large, so that it is fetched in parts. A link of a few
// Mbit/s would otherwise delay statements for seconds.
struct PackedRow {
  std::string key;
  uint64_t version = 0;
  uint64_t packed_bytes = 0;  // Of the value in the form that Pack() returns.
  uint64_t value_bytes = 0;
};

struct FetchQuery {
  std::string table;
  std::string key;
  uint64_t version = 0;
  uint64_t offset = 0;  // In the packed value.
};

struct FollowResponse {
  RowChanges changes;     // `as_of` is not set.
  absl::Duration waited;  // From the arrival of the query to the response.
  absl::Duration age;     // Age of the read when the response was made.
  // The instance that made the read; empty if the peer runs a version that does
  // not tell.
  InstanceId reader;
  // The era of the peer's newest reading, which can be earlier than that of the
  // version up to which the sender of the query knows the table.
  uint64_t era = 0;
  // The peer's latest attempt to learn of changes failed.
  bool failing = false;
  std::vector<PackedRow> packed;  // Rows that are not in `changes`.
};

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // No error shows that the peer does not run: a connection can also be refused
  // on its way.
  virtual void Vouch(const std::string& address,
                     const VouchQuery& query,
                     absl::Duration timeout,
                     std::function<void(Result<VouchResponse>)> done) = 0;
  virtual void Follow(const std::string& address,
                      const FollowQuery& query,
                      absl::Duration timeout,
                      std::function<void(Result<FollowResponse>)> done) = 0;
  // Returns bytes of a packed value from the query's offset. Fails with
  // kNotHome if the peer has another version of the row.
  virtual void Fetch(const std::string& address,
                     const FetchQuery& query,
                     absl::Duration timeout,
                     std::function<void(Result<std::string>)> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PEER_TRANSPORT_H_
