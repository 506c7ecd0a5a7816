#ifndef FIGHATCH_STATE_RECEIVER_H_
#define FIGHATCH_STATE_RECEIVER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/distribution_tree.h"
#include "fighatch/outgoing_message.h"
#include "fighatch/random.h"
#include "fighatch/result.h"
#include "fighatch/state_history.h"
#include "fighatch/time.h"

namespace fighatch {

/// What the caller of a `StateReceiver` has to do next.
struct ReceiverActions {
  /// Messages to send.
  std::vector<OutgoingMessage> m_messages;
  /// True if the state has changed, to a newer version or to confirmed content at the same version: rebuild tables,
  /// write the `HotFile`, which holds the last state for a restart, and call `StateDistributor::OnStateChanged`.
  bool m_is_state_changed = false;
  /// True if a control host's confirmation of the version has arrived: call `StateDistributor::OnConfirmed`.
  bool m_is_confirmed = false;
};

/// Follows the state of the control hosts on a balancer: takes digests, deltas and snapshots from the parent in the
/// tree, and polls another peer while the parent is silent. The version never goes down. It does no I/O and reads no
/// clock: the caller passes messages and the time in and sends the messages that are returned.
class StateReceiver {
 public:
  /// The state is stale once no control host has confirmed its version for this long.
  static constexpr Duration kStaleAfter = std::chrono::seconds(3);

  /// `history` must outlive the receiver. `random` spreads the polls and retries in time and chooses the peers.
  StateReceiver(StateHistory* history, Random random);
  ~StateReceiver();
  StateReceiver(StateReceiver&& other) noexcept;
  StateReceiver& operator=(StateReceiver&& other) noexcept;
  StateReceiver(const StateReceiver&) = delete;
  StateReceiver& operator=(const StateReceiver&) = delete;

  /// True for the message types that `Receive` accepts.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Sets the peers to poll while the parent is silent, and to fall back on when a transfer makes no progress.
  void SetFallbackPeers(std::vector<StatePeer> peers);

  /// Sends the retries and polls that are due at `now`.
  [[nodiscard]] ReceiverActions Tick(TimePoint now);
  /// When `Tick` is due next.
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Handles a message from an authenticated sender. Errors: `kMessageMalformed`, and `kMessageUnknownType` for a type
  /// that `Handles` refuses; the state does not change then.
  [[nodiscard]] Result<ReceiverActions> Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                                std::span<const std::byte> payload);

  /// Requests what is missing from a host that is known to have a newer version, such as a child that reported one.
  [[nodiscard]] ReceiverActions CatchUp(TimePoint now, const StatePeer& peer, Version version);

  /// True if the state is stale; see `kStaleAfter`.
  [[nodiscard]] bool IsStale(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_STATE_RECEIVER_H_
