// The members that the leadership rows name, as the quotas need them.

#ifndef SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_
#define SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_

#include <map>
#include <string>
#include <vector>

#include "Source/gateway/leadership_manager.h"
#include "Source/gateway/quota/quota_gate.h"

namespace heatherwick {

// What is known of the members' capacity.
std::vector<FleetMember> FleetMembers(
    const std::map<InstanceId, MemberRow>& rows);

class MemberFleetView : public QuotaFleetView {
 public:
  explicit MemberFleetView(const LeadershipManager* leadership)
      : m_leadership(leadership) {}

  bool MembersRead() const override;
  uint64_t MembersRevision() const override;
  std::vector<FleetMember> Members() const override;
  std::string PeerAddress(const InstanceId& id) const override;
  bool HasRowOfEarlierRun() const override;
  bool LeaseValid() const override;

 private:
  const LeadershipManager* const m_leadership;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_
