#ifndef FIGHATCH_PROGRAMS_FABRIC_FABRIC_SETTINGS_H_
#define FIGHATCH_PROGRAMS_FABRIC_FABRIC_SETTINGS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/result.h"

namespace fighatch::fabric {

/// The endpoint to which packets for callers with addresses in a prefix are sent.
struct CallerRoute {
  Cidr m_prefix;
  Endpoint m_endpoint;
};

/// Settings of the simulated fabric.
struct FabricSettings {
  /// UDP endpoint that receives GUE packets from callers, targets and balancers.
  Endpoint m_listen;
  /// HTTP endpoint for metrics, health and the addition and removal of balancers.
  Endpoint m_http;
  /// GUE endpoints of the balancers.
  std::vector<Endpoint> m_balancers;
  std::vector<CallerRoute> m_callers;
  std::uint64_t m_seed = 1;
  /// Share of packets to balancers that is lost, 0 to 1.
  double m_loss = 0;
  /// Share of packets to balancers that is sent twice, 0 to 1.
  double m_duplication = 0;
};

/// Parses the settings. Errors: 2001 to 2006, with the path of the field.
[[nodiscard]] Result<FabricSettings> ParseFabricSettings(std::string_view text);

}  // namespace fighatch::fabric

#endif  // FIGHATCH_PROGRAMS_FABRIC_FABRIC_SETTINGS_H_
