#ifndef FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_
#define FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "config/discovery_settings.h"
#include "fighatch/result.h"

namespace fighatch::config {

/// How a balancer chooses the target of a new flow.
enum class Placement : std::uint8_t {
  /// The lowest expected completion time by counts of flows (`MakeSampledExpectedTimeChoice`).
  kExpectedTime = 0,
  /// The lowest expected time to finish by remaining work (`MakeRemainingWorkChoice`).
  kRemainingWork = 1,
};

/// The name of a placement in settings and logs.
[[nodiscard]] std::string_view PlacementName(Placement placement) noexcept;

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
  /// Divides the room of a service among balancers and priorities while the service is short of room.
  bool m_rate_shares = false;
  Placement m_placement = Placement::kExpectedTime;
};

/// Parses settings in JSON with comments. Errors: those of `ParseJson` and `ObjectReader`; `kSettingsOutOfRange` for an
/// unknown placement.
[[nodiscard]] Result<SteeringBalancerSettings> ParseSteeringBalancerSettings(std::string_view text);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_STEERING_BALANCER_SETTINGS_H_
