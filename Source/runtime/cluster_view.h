// Interfaces through which the request path sees the other instances
// (MemberSource) and the sheet, the cluster's configuration table
// (SheetSource). MemberManager and SheetManager implement them.

#ifndef SOURCE_RUNTIME_CLUSTER_VIEW_H_
#define SOURCE_RUNTIME_CLUSTER_VIEW_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/sheet.h"
#include "Source/proto/operator.pb.h"
#include "Source/proto/peer.pb.h"
#include "absl/time/time.h"

namespace heatherwick {

struct SheetSnapshot {
  uint64_t version = 0;  // 0: no sheet yet.
  std::shared_ptr<const Sheet> sheet;
};

// All methods are thread-safe.
class SheetSource {
 public:
  virtual ~SheetSource() = default;

  // Returns the sheet in force. Cheap enough to call for every request.
  virtual SheetSnapshot Current() const = 0;
  // Reports that another instance or a session knows `version`. If it is newer
  // than the sheet in force, a sheet of at least `version` is fetched in the
  // background. `peer_address` is the address of an instance that has it, or
  // empty.
  virtual void ReportVersion(uint64_t version,
                             const std::string& peer_address) = 0;
  // Blocks until a sheet of at least `version` is in force or until `deadline`.
  // Returns whether it is in force.
  virtual bool WaitFor(uint64_t version, absl::Time deadline) = 0;

  // Handlers of calls from peers and operators.
  virtual void FetchSheet(const proto::FetchSheetRequest& request,
                          proto::FetchSheetReply* reply) = 0;
  virtual void CheckSheet(const proto::CheckSheetRequest& request,
                          proto::CheckSheetReply* reply) = 0;
  virtual void SubmitSheet(const proto::SubmitSheetRequest& request,
                           proto::SubmitSheetReply* reply) = 0;
  virtual void GetSheet(const proto::GetSheetRequest& request,
                        proto::GetSheetReply* reply) = 0;
  virtual void SheetHistory(const proto::SheetHistoryRequest& request,
                            proto::SheetHistoryReply* reply) = 0;
};

struct MemberInfo {
  InstanceId id;
  std::string address;
  DataCentreName data_centre;
  std::string region;
  std::string incarnation;
  bool suspect = false;
};

// All methods are thread-safe.
class MemberSource {
 public:
  virtual ~MemberSource() = default;

  // Returns the instances that may serve groups: this one and the others that
  // are neither leaving nor dead. The returned list is replaced only when the
  // membership changes. Cheap to call.
  virtual std::shared_ptr<const std::vector<MemberInfo>> Members() const = 0;
  // Reports that a call to the member failed. The member is probed at once.
  virtual void ReportUnreachable(const InstanceId& id) = 0;
  // Announces that this instance is leaving. Returns when the calls that carry
  // the announcement to the region's members have ended, or after one second.
  virtual void Leave() = 0;

  virtual void Probe(const proto::ProbeRequest& request,
                     proto::ProbeReply* reply) = 0;
  virtual void ListMembers(proto::ListMembersReply* reply) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_CLUSTER_VIEW_H_
