#ifndef FIGHATCH_CONFIG_CONTROL_SETTINGS_H_
#define FIGHATCH_CONFIG_CONTROL_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/key_ring.h"
#include "fighatch/result.h"

namespace fighatch::config {

/// A control host as the settings of all control hosts name it.
struct ControlPeer {
  HostId m_host;
  /// Where it takes messages of other control hosts (TCP).
  Endpoint m_message_endpoint;
  /// Where it takes requests of operators and balancers (HTTP).
  Endpoint m_http_endpoint;
};

/// The settings of `fighatch-control`.
struct ControlSettings {
  HostId m_host;
  std::string m_data_centre;
  std::string m_data_folder;
  std::string m_operator_key_file;
  /// Keys that seal messages between control hosts; the first is the active one, all are accepted.
  std::vector<KeyFile> m_cluster_keys;
  /// All control hosts, this one included.
  std::vector<ControlPeer> m_control_hosts;
  std::chrono::milliseconds m_heartbeat{60};
  std::chrono::milliseconds m_election_timeout{300};
  /// Entries after which the log is replaced by a snapshot.
  std::uint32_t m_snapshot_entries = 4096;
  /// How long a ticket waits for a majority before it is answered 3010.
  std::chrono::milliseconds m_ticket_timeout{2000};

  /// The entry of this host.
  [[nodiscard]] const ControlPeer& Self() const;
};

/// Parses settings in JSON with comments. Errors: 2000s with the path of the field.
[[nodiscard]] Result<ControlSettings> ParseControlSettings(std::string_view text);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_CONTROL_SETTINGS_H_
