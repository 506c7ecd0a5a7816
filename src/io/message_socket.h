#ifndef FIGHATCH_IO_MESSAGE_SOCKET_H_
#define FIGHATCH_IO_MESSAGE_SOCKET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "fighatch/secure_channel.h"
#include "io/tcp_stream.h"
#include "io/udp_socket.h"

namespace fighatch::io {

/// Counts sealed messages. The maps have one entry for each error code or message type at most.
struct MessageCounters {
  std::map<ErrorCode, std::uint64_t> m_refused;
  std::map<MessageType, std::uint64_t> m_received;
  std::map<MessageType, std::uint64_t> m_sent;
  std::uint64_t m_received_bytes = 0;
  std::uint64_t m_sent_bytes = 0;
};

/// A message that was accepted, and where it came from.
struct ReceivedMessage {
  Endpoint m_source;
  Envelope m_envelope;
};

/// Sends and receives sealed messages over UDP, one datagram each. Not safe for several threads: socket, channel and
/// counters belong to the thread of the control fibers.
class MessageSocket {
 public:
  /// Binds to `local`. The channel and the counters must outlive the socket. Errors: `kIoSocket`.
  [[nodiscard]] static Result<MessageSocket> Bind(const Endpoint& local, SecureChannel* channel,
                                                  MessageCounters* counters);

  [[nodiscard]] const Endpoint& Local() const noexcept { return m_socket.Local(); }

  /// Seals and sends one message, without waiting. Errors: those of `SecureChannel::Seal`, `kIoSocket`.
  [[nodiscard]] Status Send(const Endpoint& destination, HostId receiver, MessageType type,
                            std::span<const std::byte> payload);

  /// Waits for datagrams and returns the messages among them that are accepted; empty at the deadline and when all of
  /// a batch were refused. Refused ones are counted.
  [[nodiscard]] std::vector<ReceivedMessage> Receive(Deadline deadline);

 private:
  MessageSocket(UdpSocket socket, SecureChannel* channel, MessageCounters* counters)
      : m_socket(std::move(socket)), m_channel(channel), m_counters(counters) {}

  UdpSocket m_socket;
  SecureChannel* m_channel;
  MessageCounters* m_counters;
};

/// Sends and receives sealed messages over one TCP connection, one frame each. Not safe for several threads.
class MessageStream {
 public:
  /// Connects and exchanges tokens, so that messages that follow are accepted at once. `receiver` may be
  /// `SecureChannel::kUnknownReceiver`. Errors: those of `TcpStream::Connect` and of `Receive`.
  [[nodiscard]] static Result<MessageStream> Connect(const Endpoint& remote, HostId receiver, SecureChannel* channel,
                                                     MessageCounters* counters, Deadline deadline);

  /// Takes over an accepted connection. The peer is unknown until the first message was received.
  MessageStream(TcpStream stream, SecureChannel* channel, MessageCounters* counters)
      : m_stream(std::move(stream)), m_channel(channel), m_counters(counters) {}

  /// Sends one message to the peer. Errors: those of `SecureChannel::Seal` and `TcpStream::WriteFrame`.
  [[nodiscard]] Status Send(MessageType type, std::span<const std::byte> payload, Deadline deadline);

  /// Waits for the next accepted message. A message that is refused is counted and, but for one with an old token, ends
  /// the connection with its error. Errors: those of `SecureChannel::Open` and `TcpStream::ReadFrame`.
  [[nodiscard]] Result<Envelope> Receive(Deadline deadline);

  /// The peer's host id as of its last accepted message.
  [[nodiscard]] HostId Peer() const noexcept { return m_peer; }
  [[nodiscard]] bool IsOpen() const noexcept { return m_stream.IsOpen(); }
  /// True if the peer has closed the connection: what is written to it then is lost without an error.
  [[nodiscard]] bool HasPeerClosed() const noexcept { return m_stream.HasPeerClosed(); }
  void Close() noexcept { m_stream.Close(); }

 private:
  [[nodiscard]] Result<Envelope> ReceiveAny(Deadline deadline);

  TcpStream m_stream;
  SecureChannel* m_channel;
  MessageCounters* m_counters;
  HostId m_peer = SecureChannel::kUnknownReceiver;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_MESSAGE_SOCKET_H_
