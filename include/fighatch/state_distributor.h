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

/// What the shell has to do after a call of a `StateDistributor`.
struct DistributorActions {
  std::vector<OutgoingMessage> m_messages;
  /// Set if a child has a newer version than this host; pass it to `StateReceiver::CatchUp`.
  std::optional<StatePeer> m_newer_peer;
  Version m_newer_version;
};

/// A host that has not a version in force yet.
struct LaggingHost {
  HostId m_host;
  /// Its last reported version; (0, 0) if it has not reported.
  Version m_version;
};

/// Where the present version is in force, over the subtree of a host.
struct InForceReport {
  Version m_version;
  std::uint32_t m_hosts = 0;
  std::uint32_t m_lagging_count = 0;
  /// Up to 32 of the hosts behind.
  std::vector<LaggingHost> m_lagging_hosts;
};

/// Serves the state to the children in the tree: digests each second and at each change, deltas at once to children
/// that reported the version before, and deltas and snapshots on request from anyone. Collects reports of the versions
/// in force and passes their sum on to the parent.
class StateDistributor {
 public:
  /// `history` must outlive the distributor.
  /// \param is_origin true on control hosts, whose word makes a view fresh.
  StateDistributor(HostId self, StateHistory* history, bool is_origin);
  ~StateDistributor();
  StateDistributor(StateDistributor&& other) noexcept;
  StateDistributor& operator=(StateDistributor&& other) noexcept;
  StateDistributor(const StateDistributor&) = delete;
  StateDistributor& operator=(const StateDistributor&) = delete;

  /// True for the message types that `Receive` takes.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Sets the neighbours, after each change of membership.
  void SetNeighbours(const TreeNeighbours& neighbours);

  /// On control hosts: whether this host speaks for the quorum. A control host that is cut off from it must not make
  /// views fresh.
  void SetOrigin(bool is_origin);

  /// Tells children and parent that the history has risen.
  [[nodiscard]] DistributorActions OnStateChanged(TimePoint now);

  /// Passes a confirmation on to the children at once, so that views deep in the tree stay as fresh as those above.
  [[nodiscard]] DistributorActions OnConfirmed(TimePoint now);

  /// Does what is due at `now`.
  [[nodiscard]] DistributorActions Tick(TimePoint now);
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Takes a message from an authenticated sender. Errors: `kMessageMalformed`, which changes nothing.
  [[nodiscard]] Result<DistributorActions> Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                   MessageType type, std::span<const std::byte> payload);

  /// Where the present version is in force. On the leading control host this covers all hosts.
  [[nodiscard]] InForceReport InForce(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_STATE_DISTRIBUTOR_H_
