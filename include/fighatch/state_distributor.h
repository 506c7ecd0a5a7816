#ifndef FIGHATCH_STATE_DISTRIBUTOR_H_
#define FIGHATCH_STATE_DISTRIBUTOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/distribution_tree.h"
#include "fighatch/outgoing_message.h"
#include "fighatch/result.h"
#include "fighatch/state_history.h"
#include "fighatch/time.h"

namespace fighatch {

/// What the caller of a `StateDistributor` has to do next.
struct DistributorActions {
  /// Messages to send.
  std::vector<OutgoingMessage> m_messages;
  /// Set if a peer has reported a newer version than this host has; pass it to `StateReceiver::CatchUp`.
  std::optional<StatePeer> m_newer_peer;
  Version m_newer_version;
};

/// A host on which the present version is not in force yet.
struct LaggingHost {
  HostId m_host;
  /// Its last reported version; (0, 0) if it has not reported.
  Version m_version;
};

/// On how many hosts of a host's subtree the present version is in force.
struct InForceReport {
  Version m_version;
  /// Hosts in the subtree, its root included.
  std::uint32_t m_hosts = 0;
  /// Hosts that have not reported `m_version`, and hosts below a child that is silent or lagging.
  std::uint32_t m_lagging_count = 0;
  /// Up to 32 of the lagging hosts.
  std::vector<LaggingHost> m_lagging_hosts;
};

/// Distributes the replicated state down the tree, on control hosts and on balancers that relay it. Sends the children
/// digests every second and at each change, pushes a delta that fits a datagram at once to children that reported the
/// version before, and answers requests of any peer with deltas or a snapshot. Sums up the children's reports of the
/// versions in force and sends the sum to the parent. It does no I/O and reads no clock: the caller passes messages and
/// the time in and sends the messages that are returned.
class StateDistributor {
 public:
  /// `history` must outlive the distributor.
  /// \param is_origin true on control hosts; see `SetOrigin`.
  StateDistributor(HostId self, StateHistory* history, bool is_origin);
  ~StateDistributor();
  StateDistributor(StateDistributor&& other) noexcept;
  StateDistributor& operator=(StateDistributor&& other) noexcept;
  StateDistributor(const StateDistributor&) = delete;
  StateDistributor& operator=(const StateDistributor&) = delete;

  /// True for the message types that `Receive` accepts.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Sets the neighbours in the tree; to be called after each change of membership.
  void SetNeighbours(const TreeNeighbours& neighbours);

  /// On control hosts: whether this host is in contact with the quorum, so that its digests confirm the version as
  /// current. A control host that is cut off from the quorum must not confirm versions: the hosts below it would take
  /// their state for fresh.
  void SetOrigin(bool is_origin);

  /// Announces the new version of the history to the children and the parent.
  [[nodiscard]] DistributorActions OnStateChanged(TimePoint now);

  /// Forwards a confirmation to the children without waiting for the heartbeat, so that the state deep in the tree
  /// counts as fresh for as long as the state above.
  [[nodiscard]] DistributorActions OnConfirmed(TimePoint now);

  /// Sends the heartbeats, digest resends and reports that are due at `now`.
  [[nodiscard]] DistributorActions Tick(TimePoint now);
  /// When `Tick` is due next.
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Handles a message from an authenticated sender. Errors: `kMessageMalformed`, and `kMessageUnknownType` for a type
  /// that `Handles` refuses; nothing changes then.
  [[nodiscard]] Result<DistributorActions> Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                   MessageType type, std::span<const std::byte> payload);

  /// Where the present version is in force in this host's subtree; on the leading control host that is all hosts.
  [[nodiscard]] InForceReport InForce(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_STATE_DISTRIBUTOR_H_
