#ifndef FIGHATCH_BALANCER_TARGET_CONNECTIONS_H_
#define FIGHATCH_BALANCER_TARGET_CONNECTIONS_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "fighatch/request_event.h"
#include "io/http_client.h"

namespace fighatch::daemon {

/// A pool of HTTP connections to targets. It keeps idle connections for later requests, and can cancel the exchange on
/// a connection in use. Not thread-safe.
class TargetConnections {
 public:
  /// Returns an idle connection to the endpoint that the target has not closed, or opens a new one. Errors: those of
  /// `HttpConnection::Open`.
  [[nodiscard]] Result<io::HttpConnection> Acquire(const Endpoint& endpoint, io::Deadline deadline);

  /// Returns a connection to the pool if it is still open. It is closed instead if the pool is full for the endpoint.
  void Release(const Endpoint& endpoint, io::HttpConnection connection);

  /// Registers the connection that an exchange uses, so that `Cancel` can find it until `Detach`.
  void Attach(ExchangeId exchange, io::HttpConnection* connection);
  void Detach(ExchangeId exchange);

  /// Shuts the connection of an exchange down, which wakes the fiber that waits on it.
  void Cancel(ExchangeId exchange);

 private:
  struct IdleConnection {
    io::HttpConnection m_connection;
    std::chrono::steady_clock::time_point m_since;
  };

  std::map<Endpoint, std::vector<IdleConnection>> m_idle;
  std::map<ExchangeId, io::HttpConnection*> m_in_use;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_TARGET_CONNECTIONS_H_
