#ifndef FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_
#define FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "fighatch/ids.h"

namespace fighatch::daemon {

/// Carries messages between control hosts. Messages may be lost, and are then sent again by the log's protocol.
class MessageTransport {
 public:
  using Receiver = std::function<void(std::vector<std::byte> message)>;

  virtual ~MessageTransport() = default;

  /// Begins to receive; `receive` is called from fibers of the calling thread.
  virtual void Start(Receiver receive) = 0;

  /// Hands a message over without suspending the fiber; it is dropped if too many wait.
  virtual void Send(HostId to, std::vector<std::byte> message) = 0;

  /// Ends all connections and waits for the transport's fibers.
  virtual void Stop() = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_
