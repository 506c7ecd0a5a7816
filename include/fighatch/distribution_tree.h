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

/// A host that takes part in distribution.
struct StatePeer {
  HostId m_host;
  Endpoint m_endpoint;

  friend bool operator==(const StatePeer&, const StatePeer&) = default;
};

/// A host's neighbours in the distribution tree.
struct TreeNeighbours {
  std::optional<StatePeer> m_parent;
  std::vector<StatePeer> m_children;
  /// Whom to ask when the parent is silent.
  std::vector<StatePeer> m_fallback_peers;
};

/// Children of one host. At 39,000 changes a day a host with 16 children sends and receives more than 6,000 B/s; with 4
/// there is room for membership beside it, and the tree of 5,000 balancers in 27 data centres is one level deeper.
inline constexpr std::size_t kDefaultTreeFanout = 4;

/// The place of a balancer: the live balancers of its data centre, ascending by host id, fill a tree level by level
/// with the coordinator as its root. The coordinator's parent is one of the control hosts.
[[nodiscard]] TreeNeighbours NeighboursOfBalancer(HostId self, std::span<const Member> live,
                                                  std::span<const StatePeer> control_hosts,
                                                  std::size_t fanout = kDefaultTreeFanout);

/// The place of a control host: the other control hosts are children of the leader, and the coordinators are shared out
/// over all control hosts by the rule that `NeighboursOfBalancer` uses.
[[nodiscard]] TreeNeighbours NeighboursOfControlHost(HostId self, HostId leader,
                                                     std::span<const StatePeer> control_hosts,
                                                     std::span<const Member> coordinators);

}  // namespace fighatch

#endif  // FIGHATCH_DISTRIBUTION_TREE_H_
