// Reads the members from the newest view of the leadership rows.

#include "Source/gateway/quota/member_fleet_view.h"

namespace heatherwick {

std::vector<FleetMember> FleetMembers(
    const std::map<InstanceId, MemberRow>& rows) {
  std::vector<FleetMember> members;
  members.reserve(rows.size());
  for (const auto& [id, member] : rows) {
    members.push_back({id, member.data_centre, member.capacity});
  }
  return members;
}

bool MemberFleetView::MembersRead() const {
  return m_leadership->View().AsOf() != absl::InfinitePast();
}

uint64_t MemberFleetView::MembersRevision() const {
  return m_leadership->SharingRevision();
}

std::vector<FleetMember> MemberFleetView::Members() const {
  return FleetMembers(m_leadership->SharingMembers());
}

std::string MemberFleetView::PeerAddress(const InstanceId& id) const {
  const MemberRow* const member = m_leadership->SharingMember(id);
  return member == nullptr ? "" : member->peer_address;
}

bool MemberFleetView::HasRowOfEarlierRun() const {
  const LeadershipView& view = m_leadership->View();
  return view.Members().contains(m_leadership->Self()) && !view.OwnRowPresent();
}

bool MemberFleetView::LeaseValid() const {
  return m_leadership->LeaseValid();
}

}  // namespace heatherwick
