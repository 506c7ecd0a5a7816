#ifndef FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_
#define FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "fighatch/ids.h"

namespace fighatch::daemon {

/// Carries the messages of the replicated log between control hosts. Delivery is not guaranteed: the log's protocol
/// sends lost messages again, so sending reports no errors.
class MessageTransport {
 public:
  using Receiver = std::function<void(std::vector<std::byte> message)>;

  virtual ~MessageTransport() = default;

  /// Starts receiving; `receive` is called from fibers of the calling thread.
  virtual void Start(Receiver receive) = 0;

  /// Queues a message without suspending the fiber; it is dropped if too many messages are queued.
  virtual void Send(HostId to, std::vector<std::byte> message) = 0;

  /// Closes all connections and waits until the transport's fibers have ended.
  virtual void Stop() = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_MESSAGE_TRANSPORT_H_
