#ifndef FIGHATCH_DAEMON_PEER_SENDER_H_
#define FIGHATCH_DAEMON_PEER_SENDER_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/messages.h"

namespace fighatch::daemon {

/// Interface to send sealed messages to other daemons by host id.
class PeerSender {
 public:
  virtual ~PeerSender() = default;

  /// Sends a message without waiting or confirmation: in a datagram if it fits, otherwise over the stream to the host.
  /// It may be lost.
  virtual void Send(HostId host, MessageType type, const std::vector<std::byte>& payload) = 0;

  /// Queues a message for the stream to the host. `on_failure` is called on the thread of the control fibers if the
  /// message could not be written. A message that was written is still lost if the host fails.
  virtual void SendStream(HostId host, MessageType type, std::vector<std::byte> payload,
                          std::function<void()> on_failure) = 0;

  /// Sends a message to all live balancers over streams.
  virtual void SendToBalancers(MessageType type, const std::vector<std::byte>& payload) = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_PEER_SENDER_H_
