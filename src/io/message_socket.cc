#include "io/message_socket.h"

#include <array>
#include <utility>

namespace fighatch::io {
namespace {

// Fits the largest datagram, so that an oversized one is counted as refused instead of truncated by the kernel.
constexpr std::size_t kDatagramBufferBytes = 65536;
constexpr std::size_t kReceiveBatch = 16;

// Payloads of `kSessionHello`: the connecting side sends the request, the accepting side the response.
constexpr std::array<std::byte, 1> kHelloRequest = {std::byte{0}};
constexpr std::array<std::byte, 1> kHelloResponse = {std::byte{1}};

bool IsHelloRequest(const Envelope& hello) {
  return !hello.m_payload.empty() && hello.m_payload[0] == kHelloRequest[0];
}

void CountReceived(const OpenedMessage& opened, std::size_t bytes, MessageCounters* counters) {
  counters->m_received_bytes += bytes;
  if (opened.m_error) ++counters->m_refused[opened.m_error->m_code];
  if (opened.m_envelope) ++counters->m_received[opened.m_envelope->m_header.m_type];
}

void CountSent(MessageType type, std::size_t bytes, MessageCounters* counters) {
  counters->m_sent_bytes += bytes;
  ++counters->m_sent[type];
}

}  // namespace

Result<MessageSocket> MessageSocket::Bind(const Endpoint& local, SecureChannel* channel, MessageCounters* counters) {
  UdpOptions options;
  options.m_batch = kReceiveBatch;
  options.m_datagram_bytes = kDatagramBufferBytes;
  Result<UdpSocket> socket = UdpSocket::Bind(local, options);
  if (!IsOk(socket)) return ErrorOf(socket);
  return MessageSocket(std::move(ValueOf(socket)), channel, counters);
}

Status MessageSocket::Send(const Endpoint& destination, HostId receiver, MessageType type,
                           std::span<const std::byte> payload) {
  auto sealed = m_channel->Seal(receiver, type, payload, kMaxUdpMessageBytes);
  if (!IsOk(sealed)) return ErrorOf(sealed);
  if (!m_socket.Send(destination, ValueOf(sealed))) return MakeError(ErrorCode::kIoSocket, "send");
  CountSent(type, ValueOf(sealed).size(), m_counters);
  return OkStatus();
}

std::vector<ReceivedMessage> MessageSocket::Receive(Deadline deadline) {
  std::vector<ReceivedMessage> messages;
  for (const IncomingDatagram& datagram : m_socket.Receive(deadline)) {
    OpenedMessage opened = m_channel->Open(datagram.m_bytes, kMaxUdpMessageBytes);
    CountReceived(opened, datagram.m_bytes.size(), m_counters);
    if (!opened.m_reply.empty() && m_socket.Send(datagram.m_source, opened.m_reply))
      CountSent(MessageType::kSessionChallenge, opened.m_reply.size(), m_counters);
    if (opened.m_envelope) messages.push_back({datagram.m_source, std::move(*opened.m_envelope)});
  }
  return messages;
}

Result<MessageStream> MessageStream::Connect(const Endpoint& remote, HostId receiver, SecureChannel* channel,
                                             MessageCounters* counters, Deadline deadline) {
  Result<TcpStream> connected = TcpStream::Connect(remote, deadline);
  if (!IsOk(connected)) return ErrorOf(connected);
  MessageStream stream(std::move(ValueOf(connected)), channel, counters);
  stream.m_peer = receiver;
  if (Status sent = stream.Send(MessageType::kSessionHello, kHelloRequest, deadline); !IsOk(sent)) return ErrorOf(sent);
  for (;;) {
    Result<Envelope> envelope = stream.ReceiveAny(deadline);
    if (!IsOk(envelope)) return ErrorOf(envelope);
    if (ValueOf(envelope).m_header.m_type == MessageType::kSessionHello) return stream;
  }
}

Status MessageStream::Send(MessageType type, std::span<const std::byte> payload, Deadline deadline) {
  auto sealed = m_channel->Seal(m_peer, type, payload, kMaxTcpMessageBytes);
  if (!IsOk(sealed)) return ErrorOf(sealed);
  CountSent(type, ValueOf(sealed).size(), m_counters);
  return m_stream.WriteFrame(ValueOf(sealed), deadline);
}

Result<Envelope> MessageStream::ReceiveAny(Deadline deadline) {
  for (;;) {
    auto frame = m_stream.ReadFrame(kMaxTcpMessageBytes, deadline);
    if (!IsOk(frame)) {
      if (ErrorOf(frame).m_code == ErrorCode::kMessageOversized) ++m_counters->m_refused[ErrorOf(frame).m_code];
      return ErrorOf(frame);
    }
    OpenedMessage opened = m_channel->Open(ValueOf(frame), kMaxTcpMessageBytes);
    CountReceived(opened, ValueOf(frame).size(), m_counters);
    if (opened.m_envelope) {
      m_peer = opened.m_envelope->m_header.m_sender;
      return std::move(*opened.m_envelope);
    }
    if (opened.m_reply.empty() && opened.m_error) return *opened.m_error;
    if (opened.m_reply.empty()) continue;
    CountSent(MessageType::kSessionChallenge, opened.m_reply.size(), m_counters);
    if (Status sent = m_stream.WriteFrame(opened.m_reply, deadline); !IsOk(sent)) return ErrorOf(sent);
  }
}

Result<Envelope> MessageStream::Receive(Deadline deadline) {
  for (;;) {
    Result<Envelope> envelope = ReceiveAny(deadline);
    if (!IsOk(envelope)) {
      Close();
      return envelope;
    }
    if (ValueOf(envelope).m_header.m_type != MessageType::kSessionHello) return envelope;
    if (!IsHelloRequest(ValueOf(envelope))) continue;
    if (Status sent = Send(MessageType::kSessionHello, kHelloResponse, deadline); !IsOk(sent)) return ErrorOf(sent);
  }
}

}  // namespace fighatch::io
