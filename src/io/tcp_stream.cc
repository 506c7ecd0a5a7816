#include "io/tcp_stream.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "io/boot_time.h"
#include "io/socket_address.h"

namespace fighatch::io {
namespace {

constexpr int kListenBacklog = 512;

Error SocketError(const char* call, int error_number = errno) {
  return MakeError(ErrorCode::kIoSocket, std::string(call) + ": " + strerror(error_number));
}

void DisableNagle(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

}  // namespace

Result<TcpStream> TcpStream::Connect(const Endpoint& remote, Deadline deadline) {
  SocketAddress address = ToSocketAddress(remote);
  FileDescriptor fd(socket(address.m_storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.IsOpen()) return SocketError("socket");
  DisableNagle(fd.Get());
  if (connect(fd.Get(), address.Get(), address.m_size) != 0) {
    if (errno == ECONNREFUSED) return MakeError(ErrorCode::kIoRefused, ToString(remote));
    if (errno != EINPROGRESS) return SocketError("connect");
    if (!Reactor::WaitWritable(fd.Get(), deadline)) return MakeError(ErrorCode::kIoTimeout, "connect");
    int error_number = 0;
    socklen_t size = sizeof(error_number);
    getsockopt(fd.Get(), SOL_SOCKET, SO_ERROR, &error_number, &size);
    if (error_number == ECONNREFUSED) return MakeError(ErrorCode::kIoRefused, ToString(remote));
    if (error_number != 0) return SocketError("connect", error_number);
  }
  return TcpStream(std::move(fd));
}

bool TcpStream::HasPeerClosed() const noexcept {
  char byte = 0;
  const ssize_t count = recv(m_fd.Get(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Result<std::size_t> TcpStream::ReadSome(std::span<std::byte> buffer, Deadline deadline) {
  for (;;) {
    const TimePoint started = BootTime();
    const ssize_t count = recv(m_fd.Get(), buffer.data(), buffer.size(), 0);
    if (count >= 0) return static_cast<std::size_t>(count);
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return SocketError("recv");
    m_empty_at = started;
    if (!Reactor::WaitReadable(m_fd.Get(), deadline, &m_empty_at)) return MakeError(ErrorCode::kIoTimeout, "recv");
  }
}

Status TcpStream::ReadAll(std::span<std::byte> buffer, Deadline deadline) {
  while (!buffer.empty()) {
    Result<std::size_t> count = ReadSome(buffer, deadline);
    if (!IsOk(count)) return ErrorOf(count);
    if (ValueOf(count) == 0) return MakeError(ErrorCode::kIoClosed, "recv");
    buffer = buffer.subspan(ValueOf(count));
  }
  return OkStatus();
}

Status TcpStream::WriteAll(std::span<const std::byte> bytes, Deadline deadline) {
  while (!bytes.empty()) {
    const ssize_t count = send(m_fd.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      bytes = bytes.subspan(static_cast<std::size_t>(count));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EPIPE || errno == ECONNRESET) return MakeError(ErrorCode::kIoClosed, "send");
    if (errno != EAGAIN && errno != EWOULDBLOCK) return SocketError("send");
    if (!Reactor::WaitWritable(m_fd.Get(), deadline)) return MakeError(ErrorCode::kIoTimeout, "send");
  }
  return OkStatus();
}

Result<std::vector<std::byte>> TcpStream::ReadFrame(std::size_t limit_bytes, Deadline deadline) {
  std::uint32_t network_size = 0;
  Status head = ReadAll(std::as_writable_bytes(std::span(&network_size, 1)), deadline);
  if (!IsOk(head)) return ErrorOf(head);
  const std::size_t size = ntohl(network_size);
  if (size > limit_bytes) return MakeError(ErrorCode::kMessageOversized, "frame");
  std::vector<std::byte> bytes(size);
  Status body = ReadAll(bytes, deadline);
  if (!IsOk(body)) return ErrorOf(body);
  return bytes;
}

Status TcpStream::WriteFrame(std::span<const std::byte> bytes, Deadline deadline) {
  const std::uint32_t network_size = htonl(static_cast<std::uint32_t>(bytes.size()));
  std::vector<std::byte> frame(sizeof(network_size) + bytes.size());
  std::memcpy(frame.data(), &network_size, sizeof(network_size));
  if (!bytes.empty()) std::memcpy(frame.data() + sizeof(network_size), bytes.data(), bytes.size());
  return WriteAll(frame, deadline);
}

Result<TcpListener> TcpListener::Listen(const Endpoint& local) {
  const TimePoint started = BootTime();
  SocketAddress address = ToSocketAddress(local);
  FileDescriptor fd(socket(address.m_storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.IsOpen()) return SocketError("socket");
  const int enabled = 1;
  setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  if (bind(fd.Get(), address.Get(), address.m_size) != 0) return SocketError("bind");
  if (listen(fd.Get(), kListenBacklog) != 0) return SocketError("listen");
  SocketAddress bound;
  if (getsockname(fd.Get(), bound.Get(), &bound.m_size) != 0) return SocketError("getsockname");
  return TcpListener(std::move(fd), FromSocketAddress(bound), started);
}

Result<TcpStream> TcpListener::Accept(Deadline deadline) {
  for (;;) {
    const TimePoint started = BootTime();
    FileDescriptor fd(accept4(m_fd.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.IsOpen()) {
      DisableNagle(fd.Get());
      return TcpStream(std::move(fd), m_empty_at);
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return SocketError("accept");
    m_empty_at = started;
    if (!Reactor::WaitReadable(m_fd.Get(), deadline, &m_empty_at)) return MakeError(ErrorCode::kIoTimeout, "accept");
  }
}

}  // namespace fighatch::io
