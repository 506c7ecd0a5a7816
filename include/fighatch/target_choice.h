#ifndef FIGHATCH_TARGET_CHOICE_H_
#define FIGHATCH_TARGET_CHOICE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/random.h"
#include "fighatch/target_table.h"

namespace fighatch {

/// Work time of a request that is assumed before the first sample, in milliseconds.
inline constexpr double kDefaultProcessingMs = 20;

/// What a choice of target depends on apart from the targets themselves.
struct ChoiceContext {
  TimePoint m_now;
  HostId m_balancer;
  std::string_view m_data_centre;
  /// Mean work time of the service in milliseconds, for targets without samples of their own.
  double m_service_processing_ms = 0;
  /// Flows that other balancers have probably placed at each target since their last reports.
  double m_unreported_flows = 0;
};

/// Chooses the target of a new flow. Strategies stand side by side so that they can be compared on the same load.
class ChoiceStrategy {
 public:
  virtual ~ChoiceStrategy() = default;

  /// For logs and benchmarks.
  [[nodiscard]] virtual std::string_view Name() const noexcept = 0;

  /// One of the candidates, which are not empty.
  [[nodiscard]] virtual SteeringTarget* Choose(const ChoiceContext& context,
                                               const std::vector<SteeringTarget*>& candidates) = 0;
};

/// Any target with equal chance: the baseline.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeRandomChoice(Random random);

/// The target with the fewest flows, as far as this balancer knows of them by itself.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeLocalLeastFlowsChoice();

/// The target where the request is expected to end first: work time of the target, flows of all balancers over its
/// slots, and the way to its data centre. Balancers break ties in different orders, so that they do not all send to the
/// same idle target before they have heard of each other.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeExpectedTimeChoice();

/// The same among some candidates drawn at random: balancers whose reports are old do not all send to the target that
/// looked best.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeSampledExpectedTimeChoice(Random random, std::size_t samples);

/// The time that `MakeExpectedTimeChoice` compares, in milliseconds.
[[nodiscard]] double ExpectedTimeMs(const ChoiceContext& context, const SteeringTarget& target);

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_CHOICE_H_
