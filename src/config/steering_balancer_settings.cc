#include "config/steering_balancer_settings.h"

#include <algorithm>
#include <array>

#include "config/json_reader.h"

namespace fighatch::config {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{600000};
// A full packet takes a second at this rate.
constexpr double kMinLinkMbps = 0.01;
constexpr double kMaxLinkMbps = 1000000;
constexpr std::array<std::string_view, 2> kPlacementNames = {"expected_time", "remaining_work"};

void ReadPlacement(ObjectReader& reader, Placement* out) {
  std::string name{PlacementName(*out)};
  reader.OptionalText("placement", &name);
  const auto* found = std::find(kPlacementNames.begin(), kPlacementNames.end(), name);
  if (found == kPlacementNames.end()) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "placement", "neither expected_time nor remaining_work");
    return;
  }
  *out = static_cast<Placement>(found - kPlacementNames.begin());
}

}  // namespace

std::string_view PlacementName(Placement placement) noexcept {
  return kPlacementNames[static_cast<std::size_t>(placement)];
}

Result<SteeringBalancerSettings> ParseSteeringBalancerSettings(std::string_view text) {
  const Result<nlohmann::json> json = ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  SteeringBalancerSettings settings;
  ObjectReader reader(ValueOf(json), "");
  ReadDiscoverySettings(reader, &settings.m_discovery);
  reader.EndpointField("packets", &settings.m_packet_endpoint);
  reader.EndpointField("readiness", &settings.m_readiness_endpoint);
  reader.OptionalMilliseconds("stop_grace_ms", milliseconds(100), kMaxDuration, &settings.m_stop_grace);
  reader.OptionalBool("rate_shares", &settings.m_rate_shares);
  reader.OptionalNumber("link_mbps", 0, kMaxLinkMbps, &settings.m_link_mbps);
  ReadPlacement(reader, &settings.m_placement);
  if (settings.m_link_mbps > 0 && settings.m_link_mbps < kMinLinkMbps) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "link_mbps", "neither 0 nor at least 0.01");
  }
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::config
