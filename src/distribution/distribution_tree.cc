#include "fighatch/distribution_tree.h"

#include <algorithm>

namespace fighatch {
namespace {

StatePeer PeerOf(const Member& member) { return {member.m_host, member.m_control_endpoint}; }

std::optional<StatePeer> ParentControlHost(DataCentreId data_centre, std::span<const StatePeer> control_hosts) {
  if (control_hosts.empty()) return std::nullopt;
  return control_hosts[data_centre.m_value % control_hosts.size()];
}

}  // namespace

TreeNeighbours NeighboursOfBalancer(HostId self, std::span<const Member> live, std::span<const StatePeer> control_hosts,
                                    std::size_t fanout) {
  std::vector<const Member*> balancers;
  for (const Member& member : live) {
    if (member.m_role == MemberRole::kBalancer) balancers.push_back(&member);
  }
  TreeNeighbours neighbours;
  const auto found =
      std::find_if(balancers.begin(), balancers.end(), [self](const Member* member) { return member->m_host == self; });
  if (found == balancers.end()) return neighbours;
  const auto index = static_cast<std::size_t>(found - balancers.begin());
  neighbours.m_parent = index == 0 ? ParentControlHost((*found)->m_data_centre, control_hosts)
                                   : std::optional(PeerOf(*balancers[(index - 1) / fanout]));
  for (std::size_t child = index * fanout + 1; child < balancers.size() && child <= (index + 1) * fanout; ++child)
    neighbours.m_children.push_back(PeerOf(*balancers[child]));
  for (const Member* balancer : balancers) {
    if (balancer->m_host != self) neighbours.m_fallback_peers.push_back(PeerOf(*balancer));
  }
  neighbours.m_fallback_peers.insert(neighbours.m_fallback_peers.end(), control_hosts.begin(), control_hosts.end());
  return neighbours;
}

TreeNeighbours NeighboursOfControlHost(HostId self, HostId leader, std::span<const StatePeer> control_hosts,
                                       std::span<const Member> coordinators) {
  TreeNeighbours neighbours;
  for (const StatePeer& control : control_hosts) {
    if (control.m_host == self) continue;
    neighbours.m_fallback_peers.push_back(control);
    if (self == leader) neighbours.m_children.push_back(control);
    if (control.m_host == leader) neighbours.m_parent = control;
  }
  for (const Member& coordinator : coordinators) {
    const auto control = ParentControlHost(coordinator.m_data_centre, control_hosts);
    if (control && control->m_host == self) neighbours.m_children.push_back(PeerOf(coordinator));
  }
  return neighbours;
}

}  // namespace fighatch
