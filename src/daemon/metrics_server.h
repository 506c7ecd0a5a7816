#ifndef FIGHATCH_DAEMON_METRICS_SERVER_H_
#define FIGHATCH_DAEMON_METRICS_SERVER_H_

#include <memory>

#include "config/discovery_settings.h"
#include "io/http_server.h"
#include "observe/metrics.h"

namespace fighatch::daemon {

/// Creates the HTTP server from which Prometheus fetches the metrics, on the host's address; null if the settings name
/// no port. Method and path of a request are not checked. `metrics` must outlive the server. Errors: `kIoSocket`.
[[nodiscard]] Result<std::unique_ptr<io::HttpServer>> CreateMetricsServer(const config::DiscoverySettings& settings,
                                                                          const observe::Metrics* metrics);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_METRICS_SERVER_H_
