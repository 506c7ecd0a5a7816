#ifndef FIGHATCH_CONFIG_DISCOVERY_SETTINGS_H_
#define FIGHATCH_CONFIG_DISCOVERY_SETTINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"

namespace fighatch::config {

class ObjectReader;

/// The settings that all daemons share in deployments where hosts discover each other: the identity of this host, the
/// seeds through which it finds the others, and the ports for messages.
struct DiscoverySettings {
  /// IPv4 address of this host; the id of the host is derived from it.
  IpAddress m_address;
  std::string m_data_centre;
  /// HTTP endpoints of some control hosts. Only the addresses are used: a host contacts them first and learns the other
  /// control hosts from them.
  std::vector<Endpoint> m_seeds;
  /// UDP port on which control hosts receive messages; the same on every host.
  std::uint16_t m_control_message_port = 0;
  /// UDP port on which balancers receive messages; the same on every host.
  std::uint16_t m_balancer_message_port = 0;
  /// Must be true, as confirmation that messages between hosts are neither encrypted nor authenticated: only the
  /// network keeps out messages of hosts that do not belong to the deployment.
  bool m_unsealed_messages = false;

  /// Port on which `GET /metrics` is served at this host's address; 0 to serve no metrics.
  std::uint16_t m_metrics_port = 0;
  /// Most log lines a second about decisions; further lines are suppressed and counted.
  std::uint32_t m_log_lines_per_second = 10;

  /// The id of this host.
  [[nodiscard]] HostId Self() const noexcept;
  /// The ids of the hosts in `m_seeds`.
  [[nodiscard]] std::set<HostId> SeedHosts() const;
};

/// Reads and checks the fields of `DiscoverySettings`. The reader keeps the first error; `Finish` returns it.
void ReadDiscoverySettings(ObjectReader& reader, DiscoverySettings* out);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_DISCOVERY_SETTINGS_H_
