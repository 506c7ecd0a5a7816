#ifndef FIGHATCH_IO_UDP_SOCKET_H_
#define FIGHATCH_IO_UDP_SOCKET_H_

#include <cstddef>
#include <span>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/result.h"
#include "io/file_descriptor.h"
#include "io/reactor.h"

namespace fighatch::io {

/// Largest datagram in bytes that is sent or received.
inline constexpr std::size_t kMaxDatagramBytes = 65507;

/// A datagram to send. The bytes must stay valid until the send call returns.
struct OutgoingDatagram {
  Endpoint m_destination;
  std::span<const std::byte> m_bytes;
};

/// A received datagram. The bytes are valid, and may be changed, until the next receive call on the same socket.
struct IncomingDatagram {
  Endpoint m_source;
  std::span<std::byte> m_bytes;
};

/// Options of a `UdpSocket`.
struct UdpOptions {
  /// Lets several sockets share the port (SO_REUSEPORT); the kernel distributes datagrams over them by source.
  bool m_reuse_port = false;
  /// Largest number of datagrams that one receive call returns, from 1 to 256.
  std::size_t m_batch = 32;
  /// Size of the receive buffer for one datagram in bytes; a longer datagram is dropped.
  std::size_t m_datagram_bytes = 2048;
  /// Writable bytes in front of each received datagram, so that its header can be replaced by a longer one in place.
  std::size_t m_headroom_bytes = 0;
  /// Size of the kernel's receive and send buffers in bytes; 0 keeps the default.
  int m_kernel_buffer_bytes = 4 << 20;
};

/// A bound, non-blocking UDP socket that sends and receives in batches (sendmmsg, recvmmsg).
class UdpSocket {
 public:
  /// Binds to `local`; with port 0 the kernel chooses a port. Errors: `kIoSocket`.
  [[nodiscard]] static Result<UdpSocket> Bind(const Endpoint& local, const UdpOptions& options = {});

  /// The bound endpoint, with the port that the kernel chose.
  [[nodiscard]] const Endpoint& Local() const noexcept { return m_local; }
  [[nodiscard]] int Fd() const noexcept { return m_fd.Get(); }

  /// Waits for datagrams and returns those that have arrived, up to the batch size; empty at the deadline.
  [[nodiscard]] std::span<const IncomingDatagram> Receive(Deadline deadline);

  /// Sends the datagrams in batches, without waiting. A datagram that the kernel does not take is dropped, as it would
  /// be on a congested link. Returns the number sent.
  std::size_t Send(std::span<const OutgoingDatagram> datagrams);

  /// Sends one datagram; false if the kernel did not take it.
  bool Send(const Endpoint& destination, std::span<const std::byte> bytes);

 private:
  UdpSocket(FileDescriptor fd, const Endpoint& local, const UdpOptions& options);

  /// Receives one batch into `m_received` without waiting and returns the number of datagrams.
  [[nodiscard]] std::size_t TryReceive();

  FileDescriptor m_fd;
  Endpoint m_local;
  UdpOptions m_options;
  std::vector<std::byte> m_buffer;
  std::vector<IncomingDatagram> m_received;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_UDP_SOCKET_H_
