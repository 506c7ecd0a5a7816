#include "balancer/target_connections.h"

#include <utility>

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

// Shorter than the idle timeout of common servers, so that a request is not written to a connection that the server is
// closing.
constexpr std::chrono::seconds kIdleTimeout{5};
constexpr std::size_t kMaxIdlePerTarget = 4;

}  // namespace

Result<io::HttpConnection> TargetConnections::Acquire(const Endpoint& endpoint, io::Deadline deadline) {
  std::vector<IdleConnection>& idle = m_idle[endpoint];
  while (!idle.empty()) {
    IdleConnection entry = std::move(idle.back());
    idle.pop_back();
    if (steady_clock::now() - entry.m_since < kIdleTimeout && entry.m_connection.IsIdleAndAlive()) {
      return std::move(entry.m_connection);
    }
  }
  return io::HttpConnection::Open(endpoint, deadline);
}

void TargetConnections::Release(const Endpoint& endpoint, io::HttpConnection connection) {
  if (!connection.IsOpen()) return;
  std::vector<IdleConnection>& idle = m_idle[endpoint];
  if (idle.size() < kMaxIdlePerTarget) idle.push_back({std::move(connection), steady_clock::now()});
}

void TargetConnections::Attach(ExchangeId exchange, io::HttpConnection* connection) { m_in_use[exchange] = connection; }

void TargetConnections::Detach(ExchangeId exchange) { m_in_use.erase(exchange); }

void TargetConnections::Cancel(ExchangeId exchange) {
  const auto found = m_in_use.find(exchange);
  if (found != m_in_use.end()) found->second->Shutdown();
}

}  // namespace fighatch::daemon
