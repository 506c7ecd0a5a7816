#include "io/udp_socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>

#include "io/socket_address.h"

namespace fighatch::io {
namespace {

constexpr std::size_t kSendBatch = 64;
constexpr std::size_t kReceiveBatchLimit = 256;

Error SocketError(const char* call) {
  return MakeError(ErrorCode::kIoSocket, std::string(call) + ": " + strerror(errno));
}

}  // namespace

UdpSocket::UdpSocket(FileDescriptor fd, const Endpoint& local, const UdpOptions& options)
    : m_fd(std::move(fd)), m_local(local), m_options(options) {
  m_options.m_batch = std::clamp<std::size_t>(options.m_batch, 1, kReceiveBatchLimit);
  m_buffer.resize(m_options.m_batch * (m_options.m_headroom_bytes + m_options.m_datagram_bytes));
  m_received.resize(m_options.m_batch);
}

Result<UdpSocket> UdpSocket::Bind(const Endpoint& local, const UdpOptions& options) {
  SocketAddress address = ToSocketAddress(local);
  FileDescriptor fd(socket(address.m_storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.IsOpen()) return SocketError("socket");
  const int enabled = 1;
  if (options.m_reuse_port) setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
  if (options.m_kernel_buffer_bytes > 0) {
    const int bytes = options.m_kernel_buffer_bytes;
    setsockopt(fd.Get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    setsockopt(fd.Get(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
  }
  if (bind(fd.Get(), address.Get(), address.m_size) != 0) return SocketError("bind");
  SocketAddress bound;
  if (getsockname(fd.Get(), bound.Get(), &bound.m_size) != 0) return SocketError("getsockname");
  return UdpSocket(std::move(fd), FromSocketAddress(bound), options);
}

std::size_t UdpSocket::TryReceive() {
  std::array<mmsghdr, kReceiveBatchLimit> headers;
  std::array<iovec, kReceiveBatchLimit> vectors;
  std::array<sockaddr_storage, kReceiveBatchLimit> sources;
  const std::size_t batch = m_options.m_batch;
  const std::size_t stride = m_options.m_headroom_bytes + m_options.m_datagram_bytes;
  for (std::size_t index = 0; index < batch; ++index) {
    vectors[index] = {m_buffer.data() + index * stride + m_options.m_headroom_bytes, m_options.m_datagram_bytes};
    headers[index] = {};
    headers[index].msg_hdr.msg_iov = &vectors[index];
    headers[index].msg_hdr.msg_iovlen = 1;
    headers[index].msg_hdr.msg_name = &sources[index];
    headers[index].msg_hdr.msg_namelen = sizeof(sources[index]);
  }
  const int count = recvmmsg(m_fd.Get(), headers.data(), static_cast<unsigned>(batch), MSG_DONTWAIT, nullptr);
  std::size_t kept = 0;
  for (int index = 0; index < count; ++index) {
    if ((headers[index].msg_hdr.msg_flags & MSG_TRUNC) != 0) continue;
    SocketAddress source;
    source.m_storage = sources[index];
    auto* bytes = static_cast<std::byte*>(vectors[index].iov_base);
    m_received[kept++] = {FromSocketAddress(source), {bytes, headers[index].msg_len}};
  }
  return kept;
}

std::span<const IncomingDatagram> UdpSocket::Receive(Deadline deadline) {
  std::size_t count = TryReceive();
  while (count == 0) {
    if (!Reactor::WaitReadable(m_fd.Get(), deadline)) return {};
    count = TryReceive();
  }
  return std::span(m_received).first(count);
}

std::size_t UdpSocket::Send(std::span<const OutgoingDatagram> datagrams) {
  std::array<mmsghdr, kSendBatch> headers;
  std::array<iovec, kSendBatch> vectors;
  std::array<SocketAddress, kSendBatch> destinations;
  std::size_t sent = 0;
  for (std::size_t start = 0; start < datagrams.size(); start += kSendBatch) {
    const std::size_t count = std::min(kSendBatch, datagrams.size() - start);
    for (std::size_t index = 0; index < count; ++index) {
      const OutgoingDatagram& datagram = datagrams[start + index];
      destinations[index] = ToSocketAddress(datagram.m_destination);
      vectors[index] = {const_cast<std::byte*>(datagram.m_bytes.data()), datagram.m_bytes.size()};
      headers[index] = {};
      headers[index].msg_hdr.msg_iov = &vectors[index];
      headers[index].msg_hdr.msg_iovlen = 1;
      headers[index].msg_hdr.msg_name = destinations[index].Get();
      headers[index].msg_hdr.msg_namelen = destinations[index].m_size;
    }
    // sendmmsg stops at the first datagram that fails. That one is skipped, and the call is repeated for the rest.
    std::size_t done = 0;
    while (done < count) {
      const int result = sendmmsg(m_fd.Get(), &headers[done], static_cast<unsigned>(count - done), MSG_DONTWAIT);
      if (result > 0) {
        sent += static_cast<std::size_t>(result);
        done += static_cast<std::size_t>(result);
      } else {
        ++done;
      }
    }
  }
  return sent;
}

bool UdpSocket::Send(const Endpoint& destination, std::span<const std::byte> bytes) {
  const OutgoingDatagram datagram{destination, bytes};
  return Send(std::span(&datagram, 1)) == 1;
}

}  // namespace fighatch::io
