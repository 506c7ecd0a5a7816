#include "io/http_client.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace fighatch::io {
namespace {

constexpr std::size_t kMaxResponseBytes = 1 << 20;

}  // namespace

Result<HttpConnection> HttpConnection::Open(const Endpoint& remote, Deadline deadline) {
  Result<TcpStream> stream = TcpStream::Connect(remote, deadline);
  if (!IsOk(stream)) return ErrorOf(stream);
  return HttpConnection(std::move(ValueOf(stream)));
}

Result<HttpResponse> HttpConnection::Exchange(const HttpRequest& request, std::size_t limit_bytes, Deadline deadline) {
  m_received.clear();
  const std::string text = ToString(request);
  const Status written = m_stream.WriteAll(std::as_bytes(std::span(text)), deadline);
  Result<HttpResponse> response =
      IsOk(written) ? Receive(limit_bytes, deadline) : Result<HttpResponse>(ErrorOf(written));
  if (!IsOk(response)) m_stream.Close();
  return response;
}

Result<HttpResponse> HttpConnection::Receive(std::size_t limit_bytes, Deadline deadline) {
  std::array<std::byte, 16384> chunk;
  for (;;) {
    const Result<std::size_t> count = m_stream.ReadSome(chunk, deadline);
    if (!IsOk(count)) return ErrorOf(count);
    if (ValueOf(count) == 0) return MakeError(ErrorCode::kIoClosed, "response");
    m_received.insert(m_received.end(), chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(ValueOf(count)));
    Result<std::optional<ParsedHttpMessage<HttpResponse>>> parsed = ParseHttpResponse(m_received, limit_bytes);
    if (!IsOk(parsed)) return ErrorOf(parsed);
    if (!ValueOf(parsed)) continue;
    if (!ValueOf(parsed)->m_keep_alive) m_stream.Close();
    return std::move(ValueOf(parsed)->m_message);
  }
}

bool HttpConnection::IsIdleAndAlive() const noexcept {
  if (!m_stream.IsOpen()) return false;
  char byte = 0;
  const ssize_t count = recv(m_stream.Fd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Shutdown() noexcept {
  if (m_stream.IsOpen()) shutdown(m_stream.Fd(), SHUT_RDWR);
}

Result<HttpResponse> HttpExchange(const Endpoint& remote, const HttpRequest& request, Deadline deadline) {
  Result<HttpConnection> connection = HttpConnection::Open(remote, deadline);
  if (!IsOk(connection)) return ErrorOf(connection);
  return ValueOf(connection).Exchange(request, kMaxResponseBytes, deadline);
}

}  // namespace fighatch::io
