// The members that the leadership rows name, as the quotas need them.

#ifndef SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_
#define SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_

#include <string>
#include <vector>

#include "Source/gateway/leadership_manager.h"
#include "Source/gateway/quota/quota_gate.h"

namespace heatherwick {

// The members of `view` with what is known of their capacity.
std::vector<FleetMember> FleetMembers(const LeadershipView& view);

class MemberFleetView : public QuotaFleetView {
 public:
  // A view of the members may be used for `lifetime` after it was read.
  MemberFleetView(const LeadershipManager* leadership,
                  const EventLoop* loop,
                  absl::Duration lifetime)
      : m_leadership(leadership), m_loop(loop), m_lifetime(lifetime) {}

  bool MembersRead() const override;
  uint64_t MembersRevision() const override;
  std::vector<FleetMember> Members() const override;
  std::string PeerAddress(const InstanceId& id) const override;
  bool HasRowOfEarlierRun() const override;
  bool LeaseValid() const override;

 private:
  const LeadershipManager* const m_leadership;
  const EventLoop* const m_loop;
  const absl::Duration m_lifetime;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_QUOTA_MEMBER_FLEET_VIEW_H_
