#ifndef FIGHATCH_IO_PLAIN_MESSAGE_SOCKET_H_
#define FIGHATCH_IO_PLAIN_MESSAGE_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "fighatch/messages.h"
#include "io/udp_socket.h"

namespace fighatch::io {

/// Counters of a `PlainMessageSocket`. What the kernel drops on sending is counted as sent.
struct PlainMessageCounters {
  std::uint64_t m_sent = 0;
  std::uint64_t m_sent_bytes = 0;
  std::uint64_t m_received = 0;
  std::uint64_t m_received_bytes = 0;
  /// Datagrams with an invalid header, and messages whose payload cannot be decompressed or is too large.
  std::uint64_t m_malformed = 0;
  /// Incomplete messages that were dropped to make room for newer ones.
  std::uint64_t m_incomplete = 0;
};

/// A received message, reassembled and decompressed.
struct PlainMessage {
  Endpoint m_source;
  MessageType m_type = MessageType::kProbe;
  std::vector<std::byte> m_payload;
};

/// Sends and receives messages over UDP without encryption or authentication, for networks that only the deployment's
/// own hosts can reach. Payloads are compressed with zstd where that makes them smaller, and split into fragments if
/// they exceed one datagram. A message is lost if any of its fragments is lost. Not safe for several threads.
class PlainMessageSocket {
 public:
  /// Largest payload before compression and after decompression.
  static constexpr std::size_t kMaxPayloadBytes = 16 << 20;

  /// Binds to `local`. Errors: `kIoSocket`.
  [[nodiscard]] static Result<PlainMessageSocket> Bind(const Endpoint& local);

  /// Sends one message without waiting. Errors: `kMessageOversized`, `kIoSocket` if the kernel did not take all of it.
  [[nodiscard]] Status Send(const Endpoint& destination, MessageType type, std::span<const std::byte> payload);

  /// Waits for a batch of datagrams and returns the messages that it completes; empty at the deadline and if it
  /// completes none. Malformed datagrams are counted and dropped.
  [[nodiscard]] std::vector<PlainMessage> Receive(Deadline deadline);

  [[nodiscard]] const PlainMessageCounters& Counters() const noexcept { return m_counters; }

 private:
  // A message of which fragments are missing.
  struct Reassembly {
    Endpoint m_source;
    std::uint32_t m_id = 0;
    std::uint16_t m_missing = 0;
    // Empty until the fragment has arrived; a fragment itself is never empty.
    std::vector<std::vector<std::byte>> m_fragments;
  };
  struct FragmentHeader;

  explicit PlainMessageSocket(UdpSocket socket) : m_socket(std::move(socket)) {}

  /// Decodes the header, then completes the message or adds the fragment to its reassembly.
  void HandleDatagram(const IncomingDatagram& datagram, std::vector<PlainMessage>* messages);
  void AddFragment(const Endpoint& source, const FragmentHeader& header, std::span<const std::byte> fragment,
                   std::vector<PlainMessage>* messages);
  /// Decompresses the payload and appends the message to `messages`.
  void CompleteMessage(const Endpoint& source, const FragmentHeader& header, std::span<const std::byte> bytes,
                       std::vector<PlainMessage>* messages);

  UdpSocket m_socket;
  std::uint32_t m_next_id = 0;
  std::deque<Reassembly> m_reassemblies;
  PlainMessageCounters m_counters;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_PLAIN_MESSAGE_SOCKET_H_
