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

/// Settings of the balancer process, read from its JSON settings file.
struct BalancerSettings {
  HostId m_host;
  std::string m_data_centre;
  /// UDP and TCP endpoint for sealed control messages between the processes of the cluster.
  Endpoint m_control_endpoint;
  /// UDP endpoint that receives GUE packets from the fabric and from other balancers.
  Endpoint m_data_endpoint;
  /// HTTP endpoint for announcements, health, metrics and `explain`.
  Endpoint m_http_endpoint;
  /// GUE endpoint of the fabric, to which responses and resets for callers are sent.
  Endpoint m_fabric_endpoint;
  /// HTTP endpoints of the control hosts, from which the balancer gets the state.
  std::vector<Endpoint> m_control_hosts;
  /// Control endpoints of the balancers that are contacted first to join the cluster.
  std::vector<Endpoint> m_seeds;
  /// Cluster and target keys; the first of each kind is the active one, all are accepted.
  std::vector<KeyFile> m_keys;
  /// Folder in which the state and the incarnation are stored; empty: nothing is stored.
  std::string m_data_folder;
  std::uint32_t m_receive_threads = 1;
  std::uint32_t m_flow_shards = 4;
  /// Maximum number of flow records over all shards.
  std::uint32_t m_flow_records = 1 << 19;
  /// File for trace spans of sampled requests; empty: none are written.
  std::string m_trace_file;
  /// Longest time that a stop waits for the handover of duties and for requests in progress.
  std::chrono::milliseconds m_stop_timeout{15000};
};

/// Parses the settings. Errors: 2001 to 2006, with the path of the field.
[[nodiscard]] Result<BalancerSettings> ParseBalancerSettings(std::string_view text);

}  // namespace fighatch::balancer

#endif  // FIGHATCH_PROGRAMS_BALANCER_BALANCER_SETTINGS_H_
