#ifndef FIGHATCH_IO_TCP_STREAM_H_
#define FIGHATCH_IO_TCP_STREAM_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/result.h"
#include "fighatch/time.h"
#include "io/file_descriptor.h"
#include "io/reactor.h"

namespace fighatch::io {

/// A connected, non-blocking TCP stream. Calls that wait suspend the calling fiber, not its thread; the thread needs a
/// `Reactor`.
class TcpStream {
 public:
  TcpStream() = default;
  /// `empty_at` is a time of `BootTime` before which no byte has arrived.
  explicit TcpStream(FileDescriptor fd, TimePoint empty_at = {}) noexcept : m_fd(std::move(fd)), m_empty_at(empty_at) {}

  /// Connects to `remote`. Errors: `kIoSocket`, `kIoRefused`, `kIoTimeout`.
  [[nodiscard]] static Result<TcpStream> Connect(const Endpoint& remote, Deadline deadline);

  [[nodiscard]] bool IsOpen() const noexcept { return m_fd.IsOpen(); }
  [[nodiscard]] int Fd() const noexcept { return m_fd.Get(); }
  /// True if the peer has closed or reset the connection and no received byte is left to read.
  [[nodiscard]] bool HasPeerClosed() const noexcept;
  void Close() noexcept { m_fd.Close(); }

  /// Reads the bytes that have arrived, and waits for at least one; 0 means that the peer has closed the connection.
  /// Errors: `kIoSocket`, `kIoTimeout`.
  [[nodiscard]] Result<std::size_t> ReadSome(std::span<std::byte> buffer, Deadline deadline);

  /// A time of `BootTime` before which no byte arrived that is still unread or that the last `ReadSome` returned. In a
  /// process that stood still, bytes may have lain unread since then.
  [[nodiscard]] TimePoint EmptyAt() const noexcept { return m_empty_at; }

  /// Fills the buffer. Errors: `kIoSocket`, `kIoTimeout`, `kIoClosed`.
  [[nodiscard]] Status ReadAll(std::span<std::byte> buffer, Deadline deadline);

  /// Writes all bytes. Errors: `kIoSocket`, `kIoTimeout`, `kIoClosed`.
  [[nodiscard]] Status WriteAll(std::span<const std::byte> bytes, Deadline deadline);

  /// Reads a frame: a 32-bit length in network byte order, followed by that many bytes. Errors: those of `ReadAll`,
  /// `kMessageOversized` if the length exceeds `limit_bytes`.
  [[nodiscard]] Result<std::vector<std::byte>> ReadFrame(std::size_t limit_bytes, Deadline deadline);

  /// Writes a frame for `ReadFrame`. Errors: those of `WriteAll`.
  [[nodiscard]] Status WriteFrame(std::span<const std::byte> bytes, Deadline deadline);

 private:
  FileDescriptor m_fd;
  TimePoint m_empty_at;
};

/// A listening TCP socket.
class TcpListener {
 public:
  /// Listens on `local`; with port 0 the kernel chooses a port. Errors: `kIoSocket`.
  [[nodiscard]] static Result<TcpListener> Listen(const Endpoint& local);

  [[nodiscard]] const Endpoint& Local() const noexcept { return m_local; }

  /// Waits for a connection. Errors: `kIoTimeout` at the deadline, `kIoSocket`.
  [[nodiscard]] Result<TcpStream> Accept(Deadline deadline);

 private:
  TcpListener(FileDescriptor fd, const Endpoint& local, TimePoint empty_at) noexcept
      : m_fd(std::move(fd)), m_local(local), m_empty_at(empty_at) {}

  FileDescriptor m_fd;
  Endpoint m_local;
  // A time before which none of the connections arrived that are still to be accepted.
  TimePoint m_empty_at;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_TCP_STREAM_H_
