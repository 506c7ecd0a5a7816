#include "fighatch/target_health.h"

#include <algorithm>

namespace fighatch {
namespace {

constexpr std::uint32_t kFailuresInARow = 3;
constexpr Duration kFirstPause = std::chrono::seconds(1);
constexpr Duration kLongestPause = std::chrono::seconds(8);

}  // namespace

void TargetHealth::OnFailure(TargetId target, TimePoint now) {
  Record& record = m_targets[target];
  if (++record.m_failures < kFailuresInARow) return;
  record.m_next_pause = record.m_next_pause == Duration{} ? kFirstPause : record.m_next_pause;
  // Failures of requests that were in progress at one moment count as one sign.
  if (now < record.m_set_aside_until) return;
  record.m_set_aside_until = now + record.m_next_pause;
  record.m_next_pause = std::min(record.m_next_pause * 2, kLongestPause);
}

bool TargetHealth::IsSetAside(TargetId target, TimePoint now) const noexcept {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.m_set_aside_until;
}

}  // namespace fighatch
