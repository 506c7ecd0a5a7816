#ifndef FIGHATCH_DAEMON_PEER_LINKS_H_
#define FIGHATCH_DAEMON_PEER_LINKS_H_

#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/fiber.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/peer_sender.h"
#include "fighatch/outgoing_message.h"
#include "io/message_socket.h"

namespace fighatch::daemon {

/// Looks up other daemons.
struct PeerDirectory {
  /// Control endpoint of a host; empty if it is not known.
  std::function<std::optional<Endpoint>(HostId)> m_find_endpoint;
  /// Live balancers of the region except this one.
  std::function<std::vector<HostId>()> m_balancers;
};

/// Handles a message that was authenticated and decrypted. `source` is unset for messages from streams.
using MessageHandler = std::function<void(const Envelope& message, const Endpoint& source)>;

/// Sends and receives the sealed messages between daemons: datagrams on one UDP socket, and one outgoing TCP stream for
/// each host that is sent stream messages. A message that cannot be sent is reported to its `on_failure`; without one
/// it is lost. Runs on the thread of the control fibers.
class PeerLinks : public PeerSender {
 public:
  /// Binds UDP and TCP at `local`. Errors: `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<PeerLinks>> Create(const Endpoint& local, SecureChannel* channel,
                                                                 PeerDirectory directory, MessageHandler handler);
  ~PeerLinks() override;

  /// Starts the fibers that receive messages.
  void Start();
  /// Closes all streams and waits for the fibers.
  void Stop();

  void Send(HostId host, MessageType type, const std::vector<std::byte>& payload) override;
  void SendStream(HostId host, MessageType type, std::vector<std::byte> payload,
                  std::function<void()> on_failure) override;
  void SendToBalancers(MessageType type, const std::vector<std::byte>& payload) override;
  /// Sends a datagram to an endpoint.
  void SendTo(const OutgoingMessage& message);

  [[nodiscard]] const io::MessageCounters& Counters() const noexcept { return m_counters; }

 private:
  struct QueuedMessage {
    MessageType m_type = MessageType::kProbe;
    std::vector<std::byte> m_payload;
    std::function<void()> m_on_failure;
  };
  /// The queue of messages for one host, and the fiber that writes them to a stream.
  struct Link {
    Link();
    boost::fibers::buffered_channel<QueuedMessage> m_queue;
    boost::fibers::fiber m_fiber;
  };

  PeerLinks(SecureChannel* channel, PeerDirectory directory, MessageHandler handler);

  void ReceiveDatagrams();
  void AcceptStreams();
  void ReceiveStream(io::TcpStream stream);
  void ServeLink(HostId host, Link* link);
  /// Removes all queued messages and reports them as failed.
  void FailQueued(Link* link);
  /// Sends a message on the stream, and first connects if there is no usable stream. False if it was not written.
  [[nodiscard]] bool SendOnStream(HostId host, std::optional<io::MessageStream>* stream, const QueuedMessage& message);

  SecureChannel* m_channel;
  PeerDirectory m_directory;
  MessageHandler m_handler;
  io::MessageCounters m_counters;
  std::optional<io::MessageSocket> m_socket;
  std::optional<io::TcpListener> m_listener;
  std::map<HostId, std::unique_ptr<Link>> m_links;
  std::vector<boost::fibers::fiber> m_fibers;
  bool m_stopping = false;
  int m_incoming_streams = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_PEER_LINKS_H_
