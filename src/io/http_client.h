#ifndef FIGHATCH_IO_HTTP_CLIENT_H_
#define FIGHATCH_IO_HTTP_CLIENT_H_

#include <vector>

#include "fighatch/http_message.h"
#include "io/tcp_stream.h"

namespace fighatch::io {

/// A client connection to an HTTP/1.1 server, with one request in progress at a time.
class HttpConnection {
 public:
  /// Connects. Errors: those of `TcpStream::Connect`.
  [[nodiscard]] static Result<HttpConnection> Open(const Endpoint& remote, Deadline deadline);

  /// Sends the request and waits for the complete response of at most `limit_bytes`. After an error, or if the response
  /// ends the connection, `IsOpen` is false.
  /// Errors: `kIoTimeout`, `kIoClosed`, `kIoSocket`, `kRequestMalformed`, `kRequestTooLarge`.
  [[nodiscard]] Result<HttpResponse> Exchange(const HttpRequest& request, std::size_t limit_bytes, Deadline deadline);

  [[nodiscard]] bool IsOpen() const noexcept { return m_stream.IsOpen(); }
  void Close() noexcept { m_stream.Close(); }
  /// True if the connection can carry another request: the server has neither closed it nor sent unsolicited bytes.
  [[nodiscard]] bool IsIdleAndAlive() const noexcept;
  /// Shuts the connection down, which ends an exchange that another fiber waits for; that call returns `kIoClosed`.
  void Shutdown() noexcept;

 private:
  explicit HttpConnection(TcpStream stream) noexcept : m_stream(std::move(stream)) {}

  [[nodiscard]] Result<HttpResponse> Receive(std::size_t limit_bytes, Deadline deadline);

  TcpStream m_stream;
  std::vector<std::byte> m_received;
};

/// Performs one exchange over a connection of its own; the response may have up to 1 MiB. Errors: those of
/// `HttpConnection`.
[[nodiscard]] Result<HttpResponse> HttpExchange(const Endpoint& remote, const HttpRequest& request, Deadline deadline);

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_HTTP_CLIENT_H_
