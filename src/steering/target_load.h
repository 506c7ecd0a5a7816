#ifndef FIGHATCH_STEERING_TARGET_LOAD_H_
#define FIGHATCH_STEERING_TARGET_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "fighatch/target_table.h"
#include "fighatch/time.h"

namespace fighatch {

// Consecutive unanswered opening packets, over all targets of a data centre, after which it counts as unreachable.
inline constexpr std::uint32_t kDataCentreUnansweredLimit = 3;
inline constexpr std::chrono::milliseconds kDataCentreAvoidPeriod{700};
// Held packets, and packets whose answer will miss the objective in any case, fill a target only up to this many flows
// per slot, so that new flows find short queues.
inline constexpr double kReleaseFlowsPerSlot = 1;

/// Flows of all balancers at a target, as far as they are known here.
[[nodiscard]] inline std::uint32_t FlowsAt(const SteeringTarget& target) {
  return target.m_open_flows + target.m_remote_flows;
}

/// The target's slots; at least 1.
[[nodiscard]] inline std::uint32_t SlotsOf(const SteeringTarget& target) {
  return std::max<std::uint32_t>(target.m_record.m_slots, 1);
}

/// Removes a request in progress; equal ones are interchangeable.
inline void RemoveRequest(const OpenRequest& request, SteeringTarget* target) {
  const auto found = std::find(target->m_requests.begin(), target->m_requests.end(), request);
  if (found == target->m_requests.end()) return;
  *found = target->m_requests.back();
  target->m_requests.pop_back();
}

[[nodiscard]] inline double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

}  // namespace fighatch

#endif  // FIGHATCH_STEERING_TARGET_LOAD_H_
