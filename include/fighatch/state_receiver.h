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

/// What the shell has to do after a call of a `StateReceiver`.
struct ReceiverActions {
  std::vector<OutgoingMessage> m_messages;
  /// True if the state has risen to another version: rebuild tables, write the hot file, and call
  /// `StateDistributor::OnStateChanged`.
  bool m_is_state_changed = false;
  /// True if a control host has confirmed the version anew: call `StateDistributor::OnConfirmed`.
  bool m_is_confirmed = false;
};

/// Follows the state of the control hosts: takes digests, deltas and snapshots from its parent in the tree, and asks
/// any other peer when the parent is silent. The version never goes down.
class StateReceiver {
 public:
  /// The view is stale if no control host has confirmed the version for this long.
  static constexpr Duration kStaleAfter = std::chrono::seconds(3);

  /// `history` must outlive the receiver.
  StateReceiver(StateHistory* history, Random random);
  ~StateReceiver();
  StateReceiver(StateReceiver&& other) noexcept;
  StateReceiver& operator=(StateReceiver&& other) noexcept;
  StateReceiver(const StateReceiver&) = delete;
  StateReceiver& operator=(const StateReceiver&) = delete;

  /// True for the message types that `Receive` takes.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Sets whom to ask when the parent is silent.
  void SetFallbackPeers(std::vector<StatePeer> peers);

  /// Does what is due at `now`.
  [[nodiscard]] ReceiverActions Tick(TimePoint now);
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Takes a message from an authenticated sender. Errors: `kMessageMalformed`, which changes nothing.
  [[nodiscard]] Result<ReceiverActions> Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                                std::span<const std::byte> payload);

  /// Asks a host that is known to have a newer version, such as a child that reported one.
  [[nodiscard]] ReceiverActions CatchUp(TimePoint now, const StatePeer& peer, Version version);

  /// True if the view is stale.
  [[nodiscard]] bool IsStale(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_STATE_RECEIVER_H_
