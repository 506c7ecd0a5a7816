#ifndef FIGHATCH_CONFIG_STEERING_CONTROL_SETTINGS_H_
#define FIGHATCH_CONFIG_STEERING_CONTROL_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "config/discovery_settings.h"
#include "fighatch/result.h"

namespace fighatch::config {

/// The settings of a control host in a deployment where hosts discover each other through seeds.
struct SteeringControlSettings {
  DiscoverySettings m_discovery;
  /// Where the host serves operators and targets (HTTP).
  Endpoint m_http_endpoint;
  /// Holds the Raft log, the snapshots, the identity of the disk and the cached targets.
  std::string m_data_folder;
  /// Bootstraps a new Raft group whose founding members are the seeds. Set it only when the whole deployment starts for
  /// the first time, with empty disks.
  bool m_found_group = false;
  /// Time between two announcements of a target; a target that misses several in a row counts as silent.
  std::chrono::milliseconds m_announcement_period{1000};
  /// Time between two heartbeats of the Raft leader.
  std::chrono::milliseconds m_heartbeat{40};
  /// Shortest time without a heartbeat after which a follower starts an election; at least three heartbeats.
  std::chrono::milliseconds m_election_timeout{200};
  /// How long a submitted routing command waits for its outcome, which takes a majority of the voters.
  std::chrono::milliseconds m_command_timeout{900};
  /// Time without an answer from a voter after which another host may replace it in the Raft group.
  std::chrono::milliseconds m_replace_silent_after{2000};
  /// How many control hosts may lose their disks at a time; see `RaftOptions::m_tolerated_lost_disks`.
  std::size_t m_tolerated_lost_disks = 1;
};

/// Parses settings in JSON with comments. Errors: those of `ParseJson` and `ObjectReader`.
[[nodiscard]] Result<SteeringControlSettings> ParseSteeringControlSettings(std::string_view text);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_STEERING_CONTROL_SETTINGS_H_
