#ifndef FIGHATCH_STEERING_TARGET_LOAD_H_
#define FIGHATCH_STEERING_TARGET_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "fighatch/routing_state.h"
#include "fighatch/target_table.h"
#include "fighatch/time.h"

namespace fighatch {

// Consecutive unanswered opening packets, over all targets of a data centre, after which it counts as unreachable.
inline constexpr std::uint32_t kDataCentreUnansweredLimit = 3;
inline constexpr std::chrono::milliseconds kDataCentreAvoidPeriod{700};
// Weight of a new sample in the exponential moving averages of processing times.
inline constexpr double kProcessingSampleWeight = 0.15;
// A target's own average processing time is used only if it is more than this many times that of its service: smaller
// differences are statistical fluctuations, and would send all balancers to the same target.
inline constexpr double kSlowFactor = 2;
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

/// True if the target has at least this many flows per slot.
[[nodiscard]] inline bool IsFull(const SteeringTarget& target, double unreported_flows, double flows_per_slot) {
  return FlowsAt(target) + unreported_flows >= SlotsOf(target) * flows_per_slot;
}

/// Until when an answer meets the route's latency objective; empty if it has none.
[[nodiscard]] inline std::optional<TimePoint> ObjectiveDeadline(const Route& route, TimePoint first_sent) {
  if (route.m_objective_ms == 0) return std::nullopt;
  return first_sent + std::chrono::milliseconds(route.m_objective_ms);
}

/// Adds a sample to an exponential moving average, which is 0 before the first one.
inline void AddSample(double* mean, double sample) {
  *mean = *mean <= 0 ? sample : *mean + kProcessingSampleWeight * (sample - *mean);
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
