// Typed access to the sheets and their heads in the platform's store.

#ifndef SOURCE_RUNTIME_SHEET_STORE_H_
#define SOURCE_RUNTIME_SHEET_STORE_H_

#include <cstdint>
#include <string>

#include "Source/base/error.h"
#include "Source/decision/sheet_head.h"
#include "Source/decision/sheet_submission.h"
#include "Source/proto/peer.pb.h"
#include "Source/runtime/store_client.h"

namespace heatherwick {

proto::SheetHead ToProto(const SheetHead& head);
SheetHead FromProto(const proto::SheetHead& head);

// Thread-safe if the client is. Each call to the store blocks for at most the
// timeout.
class SheetStore {
 public:
  // `client` must outlive this object.
  SheetStore(StoreClient* client, absl::Duration timeout);

  // Returns a head of version 0 if no sheet has been accepted yet.
  Result<StoredHead> ReadHead() const;
  // Returns a head of version 0 if there is no history row of `version`.
  Result<SheetHead> ReadHistory(uint64_t version) const;
  Result<std::string> ReadContent(const SheetHead& head) const;

  // Runs one submission to its end. Blocks until about `deadline` at most.
  SubmissionEnded Submit(const SheetHead& head,
                         const std::string& content,
                         absl::Time deadline) const;

 private:
  bool WriteHistory(const SheetHead& head) const;
  HeadWrite WriteHead(const ReplaceHead& replace) const;

  StoreClient* const m_client;
  const absl::Duration m_timeout;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_SHEET_STORE_H_
