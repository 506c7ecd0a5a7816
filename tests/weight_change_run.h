#ifndef FIGHATCH_TESTS_WEIGHT_CHANGE_RUN_H_
#define FIGHATCH_TESTS_WEIGHT_CHANGE_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "../tests/flow_cluster.h"

namespace fighatch {

/// What happens beside the weight changes.
enum class WeightChangeFault : std::uint8_t { kNone = 0, kBalancerStops = 1, kBalancerStopsAndJoins = 2 };

/// Sets the weight of a data centre to 2, 1, 2 and 1, one change each 6.5 s, while 100 new flows a second are each held
/// for 4 s: `seconds` * 100 flows in all. Returns the violations that the oracle found, at most one for each broken
/// flow and packet.
inline std::vector<std::string> RunWeightChanges(std::uint32_t seed, WeightChangeFault fault,
                                                 std::uint32_t seconds = 30) {
  constexpr std::uint32_t kFlowsPerStep = 10;
  constexpr std::uint32_t kStepsPerSecond = 10;
  constexpr std::uint32_t kStepsBetweenChanges = 65;
  constexpr std::uint32_t kFirstChangeStep = 10;
  constexpr std::uint32_t kFirstStopStep = 72;
  FlowCluster cluster;
  cluster.SetOpenCallers(4 * kStepsPerSecond * kFlowsPerStep);
  for (std::uint32_t step = 0; step < seconds * kStepsPerSecond; ++step) {
    cluster.Apply({StepKind::kOpen, kFlowsPerStep, 0, seed * 10000 + step});
    cluster.Apply({StepKind::kRun, 1, 0, seed * 20000 + step});
    if (step % kStepsBetweenChanges == kFirstChangeStep) {
      cluster.SetShareOfSecondDataCentre(step / kStepsBetweenChanges % 2 == 0 ? 2 : 1);
    }
    if (fault != WeightChangeFault::kNone && step % (2 * kStepsBetweenChanges) == kFirstStopStep) {
      const Fault second = fault == WeightChangeFault::kBalancerStops ? Fault::kNone : Fault::kBalancerJoin;
      cluster.Apply({StepKind::kFaults, static_cast<std::uint32_t>(Fault::kBalancerLeave),
                     static_cast<std::uint32_t>(second), seed * 30000 + step});
    }
  }
  return cluster.Oracle().Violations();
}

}  // namespace fighatch

#endif  // FIGHATCH_TESTS_WEIGHT_CHANGE_RUN_H_
