#ifndef FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_
#define FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>

#include "config/discovery_settings.h"
#include "fighatch/result.h"

namespace fighatch::config {

/// The settings of a balancer that steers packets by cookies.
struct SteeringBalancerSettings {
  DiscoverySettings m_discovery;
  /// Where clients' packets arrive (UDP).
  Endpoint m_packet_endpoint;
  /// Where routers ask whether this balancer should receive packets (HTTP).
  Endpoint m_readiness_endpoint;
  /// Time that the service manager leaves between SIGTERM and SIGKILL; the balancer drains its flows within it.
  std::chrono::milliseconds m_stop_grace{6000};
  /// Rate of this host's uplink in megabits per second, to which packets to targets are paced; 0 if it has no limit,
  /// otherwise at least 0.01.
  double m_link_mbps = 0;
};

/// Parses settings in JSON with comments. Errors: those of `ParseJson` and `ObjectReader`.
[[nodiscard]] Result<SteeringBalancerSettings> ParseSteeringBalancerSettings(std::string_view text);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_
