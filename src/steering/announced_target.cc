#include "fighatch/announced_target.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace fighatch {
namespace {

// Position of a record that is not gone among those of the same start: its sequence number, and among equal numbers the
// state. A deregistration stands before the announcement that refutes it.
std::tuple<std::uint64_t, int> Rank(const AnnouncedTarget& record) {
  if (record.m_state != RecordState::kDeregistered) {
    return {record.m_sequence, record.m_state == RecordState::kSilent ? 2 : 1};
  }
  const std::uint64_t room = std::numeric_limits<std::uint64_t>::max() - record.m_sequence;
  return {record.m_sequence + std::min(room, kAnnouncementsAfterEnd), 0};
}

}  // namespace

std::string_view RecordStateName(RecordState state) noexcept {
  constexpr std::array<std::string_view, 5> kNames{"ready", "draining", "silent", "gone", "deregistered"};
  const auto index = static_cast<std::size_t>(state);
  return index < kNames.size() ? kNames[index] : "unknown";
}

bool IsNewer(const AnnouncedTarget& next, const AnnouncedTarget& known) noexcept {
  if (next.m_start_unix_ms != known.m_start_unix_ms) return next.m_start_unix_ms > known.m_start_unix_ms;
  if (known.m_state == RecordState::kGone) return false;
  if (next.m_state == RecordState::kGone) return true;
  return Rank(next) > Rank(known);
}

std::uint32_t CookieOf(TargetId id) noexcept {
  const auto folded = static_cast<std::uint32_t>(id.m_value ^ (id.m_value >> 32U));
  return folded == 0 ? 1 : folded;
}

}  // namespace fighatch
