#ifndef FIGHATCH_PROGRAMS_BALANCER_BALANCER_SETTINGS_H_
#define FIGHATCH_PROGRAMS_BALANCER_BALANCER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/key_ring.h"
#include "fighatch/result.h"

namespace fighatch::balancer {

/// Settings of a balancer.
struct BalancerSettings {
  HostId m_host;
  std::string m_data_centre;
  /// UDP and TCP endpoint for messages between our processes.
  Endpoint m_control_endpoint;
  /// UDP endpoint that takes GUE packets from the fabric and from other balancers.
  Endpoint m_data_endpoint;
  /// HTTP endpoint for announcements, health, metrics and `explain`.
  Endpoint m_http_endpoint;
  /// Where answers and resets to callers go.
  Endpoint m_fabric_endpoint;
  /// HTTP endpoints of the control hosts.
  std::vector<Endpoint> m_control_hosts;
  /// Control endpoints of balancers that are asked first when joining.
  std::vector<Endpoint> m_seeds;
  /// Cluster and target keys; the first of each kind is the active one, all are accepted.
  std::vector<KeyFile> m_keys;
  /// Folder for the hot file and the incarnation; empty: no disk.
  std::string m_data_folder;
  std::uint32_t m_receive_threads = 1;
  std::uint32_t m_flow_shards = 4;
  /// Flow records that the whole balancer may hold.
  std::uint32_t m_flow_records = 1 << 19;
  /// Trace spans of sampled requests; empty: none.
  std::string m_trace_file;
  /// Longest time that a planned stop waits for requests in progress.
  std::chrono::milliseconds m_stop_timeout{15000};
};

/// Parses the settings. Errors: 2001 to 2006 with the path of the field.
[[nodiscard]] Result<BalancerSettings> ParseBalancerSettings(std::string_view text);

}  // namespace fighatch::balancer

#endif  // FIGHATCH_PROGRAMS_BALANCER_BALANCER_SETTINGS_H_
