#include "io/http_server.h"

#include <sys/socket.h>

#include <array>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <exception>
#include <vector>

#include "io/boot_time.h"
#include "io/socket_address.h"

namespace fighatch::io {
namespace {

using std::chrono::steady_clock;

// Longest wait of the accept loop before it checks for a stop, and its pause after a failed accept.
constexpr std::chrono::milliseconds kStopCheckInterval{250};
// After a stop, a request of which a part has arrived may still be completed for this long.
constexpr std::chrono::milliseconds kStopReadTime{1000};
// Connections beyond this number are closed at once.
constexpr int kMaxConnections = 4096;

Endpoint PeerOf(const TcpStream& stream) {
  SocketAddress address;
  if (getpeername(stream.Fd(), address.Get(), &address.m_size) != 0) return {};
  return FromSocketAddress(address);
}

// How long and how much the server reads on after it has refused a request. A close with unread input resets the
// connection, and the client might then miss the response.
constexpr std::chrono::seconds kDiscardTime{2};
constexpr std::size_t kMaxDiscardedBytes = 16 << 20;

HttpResponse ErrorResponse(const Error& error) {
  const int status = error.m_code == ErrorCode::kRequestTooLarge ? 413 : 400;
  return {status, {{"Connection", "close"}}, ToString(error) + "\n"};
}

void DiscardInput(TcpStream* stream) {
  shutdown(stream->Fd(), SHUT_WR);
  const auto deadline = steady_clock::now() + kDiscardTime;
  std::array<std::byte, 16384> chunk;
  for (std::size_t discarded = 0; discarded < kMaxDiscardedBytes;) {
    const Result<std::size_t> count = stream->ReadSome(chunk, deadline);
    if (!IsOk(count) || ValueOf(count) == 0) return;
    discarded += ValueOf(count);
  }
}

}  // namespace

HttpServer::HttpServer(TcpListener listener, HttpHandler handler, const HttpServerOptions& options)
    : m_listener(std::move(listener)), m_handler(std::move(handler)), m_options(options) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(const Endpoint& local, HttpHandler handler,
                                                       const HttpServerOptions& options) {
  Result<TcpListener> listener = TcpListener::Listen(local);
  if (!IsOk(listener)) return ErrorOf(listener);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(ValueOf(listener)), std::move(handler), options));
}

void HttpServer::Stop() noexcept {
  m_stopping = true;
  m_stopped_at = steady_clock::now();
  for (const int fd : m_idle_fds) shutdown(fd, SHUT_RD);
}

void HttpServer::Serve() {
  while (!m_stopping) {
    Result<TcpStream> stream = m_listener.Accept(steady_clock::now() + kStopCheckInterval);
    if (!IsOk(stream)) {
      if (ErrorOf(stream).m_code != ErrorCode::kIoTimeout) boost::this_fiber::sleep_for(kStopCheckInterval);
      continue;
    }
    if (m_connection_count >= kMaxConnections) continue;
    ++m_connection_count;
    boost::fibers::fiber([this, accepted = std::move(ValueOf(stream))]() mutable {
      ServeConnection(std::move(accepted));
      --m_connection_count;
    }).detach();
  }
  while (m_connection_count > 0) boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
}

void HttpServer::ServeConnection(TcpStream stream) {
  const Endpoint peer = PeerOf(stream);
  std::vector<std::byte> received;
  for (;;) {
    std::size_t missing_bytes = 1;
    Result<std::optional<ParsedHttpMessage<HttpRequest>>> parsed =
        ParseHttpRequest(received, m_options.m_max_request_bytes, &missing_bytes);
    if (!IsOk(parsed)) {
      const std::string text = ToString(ErrorResponse(ErrorOf(parsed)));
      (void)stream.WriteAll(std::as_bytes(std::span(text)), steady_clock::now() + m_options.m_idle_timeout);
      DiscardInput(&stream);
      return;
    }
    if (ValueOf(parsed)) {
      const ParsedHttpMessage<HttpRequest>& request = *ValueOf(parsed);
      const std::string text = ToString(Respond(request.m_message, {peer, BootTime() - stream.EmptyAt()}));
      const Status written =
          stream.WriteAll(std::as_bytes(std::span(text)), steady_clock::now() + m_options.m_idle_timeout);
      if (!IsOk(written) || !request.m_keep_alive) return;
      received.erase(received.begin(), received.begin() + static_cast<std::ptrdiff_t>(request.m_consumed_bytes));
      continue;
    }
    if (m_stopping && received.empty()) return;
    if (!ReadMore(&stream, missing_bytes, &received)) return;
  }
}

bool HttpServer::ReadMore(TcpStream* stream, std::size_t missing_bytes, std::vector<std::byte>* received) {
  std::array<std::byte, 16384> chunk;
  const auto idle_deadline = steady_clock::now() + m_options.m_idle_timeout;
  for (std::size_t read_bytes = 0; read_bytes < missing_bytes;) {
    const bool is_idle = received->empty();
    if (is_idle) m_idle_fds.insert(stream->Fd());
    // A part of a request is read on in short steps, each of which checks for a stop.
    const auto deadline = is_idle ? idle_deadline : steady_clock::now() + kStopCheckInterval;
    const Result<std::size_t> count = stream->ReadSome(chunk, deadline);
    if (is_idle) m_idle_fds.erase(stream->Fd());
    const bool timed_out = !IsOk(count) && ErrorOf(count).m_code == ErrorCode::kIoTimeout;
    const auto now = steady_clock::now();
    if (timed_out && !is_idle && now < idle_deadline && (!m_stopping || now - m_stopped_at < kStopReadTime)) continue;
    if (!IsOk(count) || ValueOf(count) == 0) return false;
    read_bytes += ValueOf(count);
    received->insert(received->end(), chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(ValueOf(count)));
  }
  return true;
}

HttpResponse HttpServer::Respond(const HttpRequest& request, const HttpArrival& arrival) const {
  try {
    return m_handler(request, arrival);
  } catch (const std::exception& error) {
    // The exception would end the process, and with it all other requests.
    return {500, {{"Connection", "close"}}, std::string("internal error: ") + error.what() + "\n"};
  }
}

}  // namespace fighatch::io
