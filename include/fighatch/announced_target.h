#ifndef FIGHATCH_ANNOUNCED_TARGET_H_
#define FIGHATCH_ANNOUNCED_TARGET_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "fighatch/address.h"
#include "fighatch/ids.h"

namespace fighatch {

/// What a target says of itself, or what is known of it.
enum class RecordState : std::uint8_t {
  kReady = 0,
  /// Keeps its flows and must get no new ones.
  kDraining = 1,
  /// Not heard of for several announcement periods; it may come back.
  kSilent = 2,
  /// Ended by its own word, or its address belongs to a later start.
  kGone = 3,
};

/// "ready", "draining", "silent" or "gone".
[[nodiscard]] std::string_view RecordStateName(RecordState state) noexcept;

/// One start of a target as it announced itself.
struct AnnouncedTarget {
  TargetId m_id;
  /// Time of the start in Unix milliseconds by the target's clock; a higher one under the same id is a later start.
  std::uint64_t m_start_unix_ms = 0;
  /// Rises with each announcement of the same start.
  std::uint64_t m_sequence = 0;
  Endpoint m_endpoint;
  std::string m_service;
  std::string m_data_centre;
  /// Requests that it processes at a time.
  std::uint32_t m_slots = 1;
  RecordState m_state = RecordState::kReady;
  /// How much longer it stays cold, as of the announcement.
  std::uint32_t m_cold_left_ms = 0;

  friend bool operator==(const AnnouncedTarget&, const AnnouncedTarget&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_start_unix_ms, m_sequence, m_endpoint, m_service, m_data_centre, m_slots, m_state, m_cold_left_ms);
  }
};

/// True if `next` tells something later than `known`, a record of the same id: a later start, the end of the same
/// start, or a later announcement of it.
[[nodiscard]] bool IsNewer(const AnnouncedTarget& next, const AnnouncedTarget& known) noexcept;

/// The number that both ends of a flow carry so that any balancer finds the flow's target; never 0, which means none.
[[nodiscard]] std::uint32_t CookieOf(TargetId id) noexcept;

}  // namespace fighatch

#endif  // FIGHATCH_ANNOUNCED_TARGET_H_
