#include "fighatch/distribution_tree.h"

#include <algorithm>

namespace fighatch {
namespace {

StatePeer PeerOf(const Member& member) { return {member.m_host, member.m_control_endpoint}; }

std::optional<StatePeer> ControlOf(DataCentreId data_centre, std::span<const StatePeer> controls) {
  if (controls.empty()) return std::nullopt;
  return controls[data_centre.m_value % controls.size()];
}

}  // namespace

TreePlace PlaceOfBalancer(HostId self, std::span<const Member> live, std::span<const StatePeer> controls,
                          std::size_t fanout) {
  std::vector<const Member*> balancers;
  for (const Member& member : live) {
    if (member.m_role == MemberRole::kBalancer) balancers.push_back(&member);
  }
  TreePlace place;
  const auto found =
      std::find_if(balancers.begin(), balancers.end(), [self](const Member* member) { return member->m_host == self; });
  if (found == balancers.end()) return place;
  const auto index = static_cast<std::size_t>(found - balancers.begin());
  place.m_parent = index == 0 ? ControlOf((*found)->m_data_centre, controls)
                              : std::optional(PeerOf(*balancers[(index - 1) / fanout]));
  for (std::size_t child = index * fanout + 1; child < balancers.size() && child <= (index + 1) * fanout; ++child)
    place.m_children.push_back(PeerOf(*balancers[child]));
  for (const Member* balancer : balancers) {
    if (balancer->m_host != self) place.m_others.push_back(PeerOf(*balancer));
  }
  place.m_others.insert(place.m_others.end(), controls.begin(), controls.end());
  return place;
}

TreePlace PlaceOfControl(HostId self, HostId leader, std::span<const StatePeer> controls,
                         std::span<const Member> coordinators) {
  TreePlace place;
  for (const StatePeer& control : controls) {
    if (control.m_host == self) continue;
    place.m_others.push_back(control);
    if (self == leader) place.m_children.push_back(control);
    if (control.m_host == leader) place.m_parent = control;
  }
  for (const Member& coordinator : coordinators) {
    const auto control = ControlOf(coordinator.m_data_centre, controls);
    if (control && control->m_host == self) place.m_children.push_back(PeerOf(coordinator));
  }
  return place;
}

}  // namespace fighatch
