#ifndef FIGHATCH_IO_HTTP_SERVER_H_
#define FIGHATCH_IO_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/http_message.h"
#include "fighatch/time.h"
#include "io/tcp_stream.h"

namespace fighatch::io {

/// How a request arrived.
struct HttpArrival {
  Endpoint m_peer;
  /// Upper bound of the time for which the complete request has lain unread on this host. After the process stood still
  /// it can exceed what callers wait.
  Duration m_max_age{};
};

/// Answers one request; runs in the fiber of its connection and may suspend it.
using HttpHandler = std::function<HttpResponse(const HttpRequest& request, const HttpArrival& arrival)>;

/// Limits of an `HttpServer`.
struct HttpServerOptions {
  /// Largest request, head and body together.
  std::size_t m_max_request_bytes = 256 * 1024;
  /// A connection on which nothing arrives, or to which a response cannot be written, for this long is closed.
  std::chrono::seconds m_idle_timeout{30};
};

/// Serves HTTP/1.1 on a listening socket, one fiber for each connection, on the thread that runs `Serve`.
class HttpServer {
 public:
  /// Listens on `local`. Errors: `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Create(const Endpoint& local, HttpHandler handler,
                                                                  const HttpServerOptions& options = {});

  [[nodiscard]] const Endpoint& Local() const noexcept { return m_listener.Local(); }

  /// Accepts connections until `Stop`; then waits until requests in progress have been answered, among them those of
  /// which a part has arrived and the rest arrives within a second.
  void Serve();

  /// Makes `Serve` return; call it on the same thread.
  void Stop() noexcept;

 private:
  HttpServer(TcpListener listener, HttpHandler handler, const HttpServerOptions& options);

  void ServeConnection(TcpStream stream);
  // Reads at least `missing_bytes` more bytes of a request; false if the connection must be closed.
  [[nodiscard]] bool ReadMore(TcpStream* stream, std::size_t missing_bytes, std::vector<std::byte>* received);
  // Calls the handler; an exception becomes a response with status 500.
  [[nodiscard]] HttpResponse Respond(const HttpRequest& request, const HttpArrival& arrival) const;

  TcpListener m_listener;
  HttpHandler m_handler;
  HttpServerOptions m_options;
  bool m_stopping = false;
  // Open connections, each served by a detached fiber.
  int m_connection_count = 0;
  // Descriptors of connections that wait for a new request. `Stop` shuts down their receiving side, so that they end.
  std::set<int> m_idle_fds;
  std::chrono::steady_clock::time_point m_stopped_at;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_HTTP_SERVER_H_
