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

/// One entry of the list of control hosts, which is the same in the settings of every control host.
struct ControlPeer {
  HostId m_host;
  /// Where the host receives messages from other control hosts (TCP).
  Endpoint m_message_endpoint;
  /// Where the host serves operators and balancers (HTTP).
  Endpoint m_http_endpoint;
};

/// The settings of the control daemon `fighatch-control`.
struct ControlSettings {
  HostId m_host;
  std::string m_data_centre;
  /// Holds the Raft log, the snapshots and the identity of the disk.
  std::string m_data_folder;
  /// Path of the key with which tickets are signed.
  std::string m_operator_key_file;
  /// Keys for messages between control hosts: the first one seals outgoing messages, all of them open incoming ones.
  std::vector<KeyFile> m_cluster_keys;
  /// All control hosts, this one included.
  std::vector<ControlPeer> m_control_hosts;
  /// Time between two heartbeats of the Raft leader.
  std::chrono::milliseconds m_heartbeat{60};
  /// Shortest time without a heartbeat after which a follower starts an election; at least three heartbeats.
  std::chrono::milliseconds m_election_timeout{300};
  /// Number of log entries applied since the last snapshot after which a new snapshot replaces them.
  std::uint32_t m_snapshot_entries = 4096;
  /// How long a submitted ticket waits for its outcome before it is answered with `kTicketOutcomeUnknown` (3011).
  std::chrono::milliseconds m_ticket_timeout{2000};

  /// The entry of this host; parsed settings always have one.
  [[nodiscard]] const ControlPeer& Self() const;
};

/// Parses settings in JSON with comments. Errors: 2000s, with the path of the field as detail.
[[nodiscard]] Result<ControlSettings> ParseControlSettings(std::string_view text);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_CONTROL_SETTINGS_H_
