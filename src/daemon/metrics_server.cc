#include "daemon/metrics_server.h"

namespace fighatch::daemon {

Result<std::unique_ptr<io::HttpServer>> CreateMetricsServer(const config::DiscoverySettings& settings,
                                                            const observe::Metrics* metrics) {
  if (settings.m_metrics_port == 0) return std::unique_ptr<io::HttpServer>();
  return io::HttpServer::Create(
      {settings.m_address, settings.m_metrics_port},
      [metrics](const HttpRequest& /*request*/, const io::HttpArrival& /*arrival*/) {
        return HttpResponse{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics->Render()};
      });
}

}  // namespace fighatch::daemon
