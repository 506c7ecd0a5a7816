#include "fighatch/announced_target.h"

#include <array>

namespace fighatch {

std::string_view RecordStateName(RecordState state) noexcept {
  constexpr std::array<std::string_view, 4> kNames{"ready", "draining", "silent", "gone"};
  const auto index = static_cast<std::size_t>(state);
  return index < kNames.size() ? kNames[index] : "unknown";
}

bool IsNewer(const AnnouncedTarget& next, const AnnouncedTarget& known) noexcept {
  if (next.m_start_unix_ms != known.m_start_unix_ms) return next.m_start_unix_ms > known.m_start_unix_ms;
  if (known.m_state == RecordState::kGone) return false;
  if (next.m_state == RecordState::kGone) return true;
  if (next.m_sequence != known.m_sequence) return next.m_sequence > known.m_sequence;
  return next.m_state == RecordState::kSilent && known.m_state != RecordState::kSilent;
}

std::uint32_t CookieOf(TargetId id) noexcept {
  const auto folded = static_cast<std::uint32_t>(id.m_value ^ (id.m_value >> 32U));
  return folded == 0 ? 1 : folded;
}

}  // namespace fighatch
