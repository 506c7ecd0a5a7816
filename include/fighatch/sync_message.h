#ifndef FIGHATCH_SYNC_MESSAGE_H_
#define FIGHATCH_SYNC_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/routing_state.h"
#include "fighatch/target_directory.h"

namespace fighatch {

/// A follower's position in the sequence of target changes of one control host.
struct SyncPosition {
  /// Identifies the control host's process; the sequence of another incarnation is unrelated.
  std::uint64_t m_incarnation = 0;
  /// Number of the newest directory change of that host that the follower holds.
  std::uint64_t m_sequence = 0;

  friend bool operator==(const SyncPosition&, const SyncPosition&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_incarnation, m_sequence);
  }
};

/// Role of a follower.
enum class SyncRole : std::uint8_t { kBalancer = 0, kControl = 1 };

/// A balancer as control hosts list it.
struct BalancerPeer {
  HostId m_host;
  std::string m_data_centre;

  friend auto operator<=>(const BalancerPeer&, const BalancerPeer&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_data_centre);
  }
};

/// Sent by a follower to control hosts every interval: states what it holds and requests what is newer.
struct SyncRequest {
  HostId m_from;
  SyncRole m_role = SyncRole::kBalancer;
  std::string m_data_centre;
  SyncPosition m_position;
  /// The published state that the follower holds.
  StatePosition m_state;
  /// Digest of the hosts that the follower knows, see `SyncReply::m_hosts_digest`.
  std::uint64_t m_hosts_digest = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_role, m_data_centre, m_position, m_state, m_hosts_digest);
  }
};

/// Sent by a control host in answer to a request, and unsolicited when something has changed.
struct SyncReply {
  HostId m_from;
  /// True if the sender is in contact with a majority of the control hosts, so that its state is up to date.
  bool m_has_quorum = false;
  /// `m_targets` holds all changes after this sequence number ...
  std::uint64_t m_after_sequence = 0;
  /// ... and up to this position.
  SyncPosition m_position;
  std::vector<TargetObservation> m_targets;
  std::optional<RoutingUpdate> m_update;
  /// Digest of the two lists below, which are sent only to a follower that holds a different digest.
  std::uint64_t m_hosts_digest = 0;
  std::vector<HostId> m_control_hosts;
  std::vector<BalancerPeer> m_balancers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_has_quorum, m_after_sequence, m_position, m_targets, m_update, m_hosts_digest, m_control_hosts,
            m_balancers);
  }
};

/// Number of flows that one balancer has open at a target.
struct CookieLoad {
  std::uint32_t m_cookie = 0;
  std::uint16_t m_flows = 0;

  friend bool operator==(const CookieLoad&, const CookieLoad&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_cookie, m_flows);
  }
};

/// Sent between balancers: all targets at which the sender has open flows. It replaces the sender's previous report.
struct LoadReport {
  HostId m_from;
  /// Increases with each report of the sender's process.
  std::uint64_t m_sequence = 0;
  std::vector<CookieLoad> m_loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_sequence, m_loads);
  }
};

[[nodiscard]] std::vector<std::byte> EncodeSyncRequest(const SyncRequest& request);
[[nodiscard]] std::vector<std::byte> EncodeSyncReply(const SyncReply& reply);
[[nodiscard]] std::vector<std::byte> EncodeLoadReport(const LoadReport& report);
/// Errors of the decoders: `kMessageMalformed`.
[[nodiscard]] Result<SyncRequest> DecodeSyncRequest(std::span<const std::byte> bytes);
[[nodiscard]] Result<SyncReply> DecodeSyncReply(std::span<const std::byte> bytes);
[[nodiscard]] Result<LoadReport> DecodeLoadReport(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_SYNC_MESSAGE_H_
