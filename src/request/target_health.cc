#include "fighatch/target_health.h"

#include <algorithm>

namespace fighatch {
namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(8);

}  // namespace

void TargetHealth::OnFailure(TargetId target, TimePoint now) {
  Record& record = m_targets[target];
  if (++record.m_failures < kFailuresToEject) return;
  record.m_next_ejection_time =
      record.m_next_ejection_time == Duration{} ? kBaseEjectionTime : record.m_next_ejection_time;
  // A failure during an ejection does not extend it: failures of requests that were in progress at the same time count
  // as one.
  if (now < record.m_ejected_until) return;
  record.m_ejected_until = now + record.m_next_ejection_time;
  record.m_next_ejection_time = std::min(record.m_next_ejection_time * 2, kMaxEjectionTime);
}

bool TargetHealth::IsEjected(TargetId target, TimePoint now) const noexcept {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.m_ejected_until;
}

}  // namespace fighatch
