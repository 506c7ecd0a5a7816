#ifndef FIGHATCH_IO_MESSAGE_SOCKET_H_
#define FIGHATCH_IO_MESSAGE_SOCKET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "fighatch/secure_channel.h"
#include "io/tcp_stream.h"
#include "io/udp_socket.h"

namespace fighatch::io {

/// Counts sealed messages and their bytes. The maps have at most one entry per error code or message type.
struct MessageCounters {
  std::map<ErrorCode, std::uint64_t> m_refused;
  std::map<MessageType, std::uint64_t> m_received;
  /// Replies of the channel, a challenge as well as a message sealed again, are counted as `kSessionChallenge`.
  std::map<MessageType, std::uint64_t> m_sent;
  std::uint64_t m_received_bytes = 0;
  std::uint64_t m_sent_bytes = 0;
};

/// An accepted message and its source.
struct ReceivedMessage {
  Endpoint m_source;
  Envelope m_envelope;
};

/// Sends and receives sealed messages over UDP, one per datagram. Not safe for several threads: socket, channel and
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

  /// Waits for a batch of datagrams and returns the accepted messages among them; empty at the deadline and if all of
  /// the batch were refused or handled by the channel. Refused messages are counted.
  [[nodiscard]] std::vector<ReceivedMessage> Receive(Deadline deadline);

 private:
  MessageSocket(UdpSocket socket, SecureChannel* channel, MessageCounters* counters)
      : m_socket(std::move(socket)), m_channel(channel), m_counters(counters) {}

  UdpSocket m_socket;
  SecureChannel* m_channel;
  MessageCounters* m_counters;
};

/// Sends and receives sealed messages over one TCP connection, one per frame. Not safe for several threads.
class MessageStream {
 public:
  /// Connects and exchanges session tokens, so that the messages that follow are accepted without a challenge.
  /// `receiver` may be `SecureChannel::kUnknownReceiver`. Errors: those of `TcpStream::Connect` and of `Receive`.
  [[nodiscard]] static Result<MessageStream> Connect(const Endpoint& remote, HostId receiver, SecureChannel* channel,
                                                     MessageCounters* counters, Deadline deadline);

  /// Wraps an accepted connection. The peer is unknown until its first message was accepted.
  MessageStream(TcpStream stream, SecureChannel* channel, MessageCounters* counters)
      : m_stream(std::move(stream)), m_channel(channel), m_counters(counters) {}

  /// Sends one message to the peer. Errors: those of `SecureChannel::Seal` and `TcpStream::WriteFrame`.
  [[nodiscard]] Status Send(MessageType type, std::span<const std::byte> payload, Deadline deadline);

  /// Waits for the next accepted message, and answers session hellos meanwhile. A refused message is counted. If it
  /// cannot be answered with a challenge, it ends the connection with its error. Errors: those of `SecureChannel::Open`
  /// and `TcpStream::ReadFrame`.
  [[nodiscard]] Result<Envelope> Receive(Deadline deadline);

  /// The peer's host id as given in its last accepted message.
  [[nodiscard]] HostId Peer() const noexcept { return m_peer; }
  [[nodiscard]] bool IsOpen() const noexcept { return m_stream.IsOpen(); }
  /// True if the peer has closed the connection; bytes written after that may be lost without an error.
  [[nodiscard]] bool HasPeerClosed() const noexcept { return m_stream.HasPeerClosed(); }
  void Close() noexcept { m_stream.Close(); }

 private:
  /// Waits for the next accepted message of any type, session hellos included.
  [[nodiscard]] Result<Envelope> ReceiveAny(Deadline deadline);

  TcpStream m_stream;
  SecureChannel* m_channel;
  MessageCounters* m_counters;
  HostId m_peer = SecureChannel::kUnknownReceiver;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_MESSAGE_SOCKET_H_
