#ifndef FIGHATCH_DISTRIBUTION_TREE_H_
#define FIGHATCH_DISTRIBUTION_TREE_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/member.h"

namespace fighatch {

/// A host that takes part in state distribution, and the endpoint that takes its control messages.
struct StatePeer {
  HostId m_host;
  Endpoint m_endpoint;

  friend bool operator==(const StatePeer&, const StatePeer&) = default;
};

/// A host's neighbours in the tree along which the replicated state is distributed: from the leading control host over
/// the other control hosts and the coordinators of the data centres to all balancers.
struct TreeNeighbours {
  /// Unset at the leading control host, and where no parent is known.
  std::optional<StatePeer> m_parent;
  std::vector<StatePeer> m_children;
  /// Peers to ask for the state while the parent is silent.
  std::vector<StatePeer> m_fallback_peers;
};

/// Children per host. At 39,000 changes a day a host with 16 children sends and receives more than 6,000 B/s. With 4
/// children there is bandwidth left for membership messages, and the tree of 5,000 balancers in 27 data centres is one
/// level deeper.
inline constexpr std::size_t kDefaultTreeFanout = 4;

/// The neighbours of a balancer. `live` holds the live members of its data centre, ascending by host id. Their
/// balancers fill a tree level by level, with the first one, the coordinator, as its root. The coordinator's parent is
/// the control host that the data centre id selects. All fields are empty if `self` is not among the balancers.
[[nodiscard]] TreeNeighbours NeighboursOfBalancer(HostId self, std::span<const Member> live,
                                                  std::span<const StatePeer> control_hosts,
                                                  std::size_t fanout = kDefaultTreeFanout);

/// The neighbours of a control host. The other control hosts are children of the leader. Each coordinator is the child
/// of the control host that `NeighboursOfBalancer` gives it as parent.
[[nodiscard]] TreeNeighbours NeighboursOfControlHost(HostId self, HostId leader,
                                                     std::span<const StatePeer> control_hosts,
                                                     std::span<const Member> coordinators);

}  // namespace fighatch

#endif  // FIGHATCH_DISTRIBUTION_TREE_H_
