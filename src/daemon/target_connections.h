#ifndef FIGHATCH_DAEMON_TARGET_CONNECTIONS_H_
#define FIGHATCH_DAEMON_TARGET_CONNECTIONS_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "fighatch/request_event.h"
#include "io/http_client.h"

namespace fighatch::daemon {

/// Connections to targets: idle ones are kept for the next request, those in use can be cancelled by their exchange.
class TargetConnections {
 public:
  /// An idle connection to the endpoint that the target has not closed, or a new one. Errors: those of
  /// `HttpConnection::Open`.
  [[nodiscard]] Result<io::HttpConnection> Acquire(const Endpoint& endpoint, io::Deadline deadline);

  /// Keeps a connection for later if it is still open.
  void Release(const Endpoint& endpoint, io::HttpConnection connection);

  /// Notes the connection that an exchange uses, so that it can be cancelled.
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

#endif  // FIGHATCH_DAEMON_TARGET_CONNECTIONS_H_
