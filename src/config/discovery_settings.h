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

/// How a daemon finds the others in a deployment where hosts find each other.
struct DiscoverySettings {
  /// IPv4 address of this host, which is also its id.
  IpAddress m_address;
  std::string m_data_centre;
  /// Where control hosts serve HTTP. Only the addresses are used, to find the first control hosts.
  std::vector<Endpoint> m_seeds;
  /// Port of the messages between control hosts, and to them; the same on every host.
  std::uint16_t m_control_message_port = 0;
  /// Port of the messages to balancers; the same on every host.
  std::uint16_t m_balancer_message_port = 0;
  /// Must be set: messages between hosts carry no key, so that only the network keeps strangers out.
  bool m_unsealed_messages = false;

  /// Port of `GET /metrics` on this host's address; 0 for none.
  std::uint16_t m_metrics_port = 0;
  /// Decision lines a second in the log; further ones are counted.
  std::uint32_t m_log_lines_per_second = 10;

  [[nodiscard]] HostId Self() const noexcept;
  /// The hosts of the seeds.
  [[nodiscard]] std::set<HostId> SeedHosts() const;
};

/// Reads the fields that all daemons share; errors are kept in the reader.
void ReadDiscoverySettings(ObjectReader& reader, DiscoverySettings* out);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_DISCOVERY_SETTINGS_H_
