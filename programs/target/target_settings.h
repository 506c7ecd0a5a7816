#ifndef FIGHATCH_PROGRAMS_TARGET_TARGET_SETTINGS_H_
#define FIGHATCH_PROGRAMS_TARGET_TARGET_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/result.h"

namespace fighatch::target {

/// Settings of the simulated target.
struct TargetSettings {
  std::string m_service;
  std::string m_data_centre;
  /// UDP endpoint that receives GUE packets, as the kernel of a real target does.
  Endpoint m_gue;
  /// HTTP endpoint for requests, health, load and statistics.
  Endpoint m_http;
  /// GUE endpoint of the fabric, to which replies to callers are sent.
  Endpoint m_fabric;
  /// Addresses of the service; a packet for any other counts as misdelivered. Empty: all addresses are accepted.
  std::vector<Endpoint> m_service_addresses;
  /// HTTP endpoints of the balancers that receive announcements, tried in turn; empty: no announcements.
  std::vector<Endpoint> m_announce_to;
  /// File with the target key in hex.
  std::string m_key_file;
  std::uint64_t m_incarnation = 1;
  std::uint32_t m_slots = 2;
  std::uint32_t m_connections = 2000;
  std::chrono::milliseconds m_service_time{5};
  /// How long the target is cold after its start or after `/v1/control/cold`.
  std::chrono::milliseconds m_warm_up{0};
  /// Factor on the service time while the target is cold.
  double m_cold_factor = 4;
  std::chrono::milliseconds m_announce_interval{500};
};

/// Parses the settings. Errors: 2001 to 2006, with the path of the field.
[[nodiscard]] Result<TargetSettings> ParseTargetSettings(std::string_view text);

}  // namespace fighatch::target

#endif  // FIGHATCH_PROGRAMS_TARGET_TARGET_SETTINGS_H_
