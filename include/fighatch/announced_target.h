#ifndef FIGHATCH_ANNOUNCED_TARGET_H_
#define FIGHATCH_ANNOUNCED_TARGET_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// State of a target, as it announced it or as a control host inferred it.
enum class RecordState : std::uint8_t {
  kReady = 0,
  /// Keeps its open flows and must get no new ones.
  kDraining = 1,
  /// No announcement has arrived for several announcement periods; the target may come back.
  kSilent = 2,
  /// Deregistered, or a later start of a target has taken over its address. Final for this start.
  kGone = 3,
  /// Deregistered by a call that does not name the start that ends, so that it may belong to an earlier one. The target
  /// counts as ended unless it goes on announcing itself, see `kAnnouncementsAfterEnd`.
  kDeregistered = 4,
};

/// A target that was deregistered without its start is taken back at this many announcements after the last one before.
/// A target that has ended can leave only few announcements in the network, one on each connection to a control host.
inline constexpr std::uint64_t kAnnouncementsAfterEnd = 4;

/// Balancers are told that a target is cold for this much longer than it announced, so that announcements whose delay
/// in the network varies by less need not be passed on. A target is throttled for as much longer.
inline constexpr Duration kColdTimeMargin = std::chrono::milliseconds(200);

/// A cold time counts as shorter than the one told before only by more than this: the announcement from which balancers
/// were told may have been late itself, and control hosts tell times that differ by the margin.
inline constexpr Duration kColdTimeTolerance = 2 * kColdTimeMargin;

/// "ready", "draining", "silent", "gone" or "deregistered".
[[nodiscard]] std::string_view RecordStateName(RecordState state) noexcept;

/// True if the target has ended as far as is known: its flows can be reset.
[[nodiscard]] constexpr bool HasEnded(RecordState state) noexcept {
  return state == RecordState::kGone || state == RecordState::kDeregistered;
}

/// One start (process lifetime) of a target, as it announced itself to the control hosts.
struct AnnouncedTarget {
  TargetId m_id;
  /// Start time in Unix milliseconds by the target's clock; a higher value under the same id is a later start.
  std::uint64_t m_start_unix_ms = 0;
  /// Increases with each announcement of the same start.
  std::uint64_t m_sequence = 0;
  Endpoint m_endpoint;
  std::string m_service;
  std::string m_data_centre;
  /// Number of requests that it processes concurrently.
  std::uint32_t m_slots = 1;
  RecordState m_state = RecordState::kReady;
  /// Remaining warm-up time as of the announcement.
  std::uint32_t m_cold_left_ms = 0;

  friend bool operator==(const AnnouncedTarget&, const AnnouncedTarget&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_start_unix_ms, m_sequence, m_endpoint, m_service, m_data_centre, m_slots, m_state, m_cold_left_ms);
  }
};

/// True if `next` supersedes `known`, a record of the same id: it describes a later start, the end of the same start, a
/// later announcement of it, or that it became silent after the same announcement. Records of one id are ordered
/// totally, so that all hosts end up with the same one whatever the order of arrival.
[[nodiscard]] bool IsNewer(const AnnouncedTarget& next, const AnnouncedTarget& known) noexcept;

/// The cookie of a target: a number that both endpoints of a flow send in each packet, so that any balancer finds the
/// flow's target without state for the flow. Never 0, which means that there is no cookie.
[[nodiscard]] std::uint32_t CookieOf(TargetId id) noexcept;

}  // namespace fighatch

#endif  // FIGHATCH_ANNOUNCED_TARGET_H_
