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

/// A datagram to send: the bytes must stay valid until the send call returns.
struct OutgoingDatagram {
  Endpoint m_destination;
  std::span<const std::byte> m_bytes;
};

/// A received datagram: the bytes are valid, and may be changed, until the next receive call on the same socket.
struct IncomingDatagram {
  Endpoint m_source;
  std::span<std::byte> m_bytes;
};

/// How a UDP socket is opened.
struct UdpOptions {
  /// Lets several sockets share the port; the kernel spreads datagrams over them by source.
  bool m_reuse_port = false;
  /// Datagrams taken by one receive call.
  std::size_t m_batch = 32;
  /// Room for one datagram in bytes; a longer one is dropped.
  std::size_t m_datagram_bytes = 2048;
  /// Bytes in front of each datagram that may be written, so that a longer header can replace the one received.
  std::size_t m_headroom_bytes = 0;
  /// Size of the kernel's buffers in bytes; 0 keeps the default.
  int m_kernel_buffer_bytes = 4 << 20;
};

/// A bound, non-blocking UDP socket with batched calls.
class UdpSocket {
 public:
  /// Binds to `local` (port 0 lets the kernel choose). Errors: `kIoSocket`.
  [[nodiscard]] static Result<UdpSocket> Bind(const Endpoint& local, const UdpOptions& options = {});

  /// The bound endpoint.
  [[nodiscard]] const Endpoint& Local() const noexcept { return m_local; }
  [[nodiscard]] int Fd() const noexcept { return m_fd.Get(); }

  /// Waits until the deadline for datagrams and takes as many as are there, up to the batch size; empty at the
  /// deadline.
  [[nodiscard]] std::span<const IncomingDatagram> Receive(Deadline deadline);

  /// Sends the datagrams in batches, without waiting: what the kernel does not take is dropped, as on a full link.
  /// Returns the number sent.
  std::size_t Send(std::span<const OutgoingDatagram> datagrams);

  /// Sends one datagram; false if the kernel did not take it.
  bool Send(const Endpoint& destination, std::span<const std::byte> bytes);

 private:
  UdpSocket(FileDescriptor fd, const Endpoint& local, const UdpOptions& options);

  [[nodiscard]] std::size_t TryReceive();

  FileDescriptor m_fd;
  Endpoint m_local;
  UdpOptions m_options;
  std::vector<std::byte> m_buffer;
  std::vector<IncomingDatagram> m_received;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_UDP_SOCKET_H_
