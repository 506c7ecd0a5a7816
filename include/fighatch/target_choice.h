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
#include "fighatch/work_estimator.h"

namespace fighatch {

/// Processing time of a request that is assumed before the first sample, in milliseconds.
inline constexpr double kDefaultProcessingMs = 20;

/// Inputs to the choice of a target, apart from the targets themselves.
struct ChoiceContext {
  TimePoint m_now;
  HostId m_balancer;
  std::string_view m_data_centre;
  /// Moving average of the service's processing time in milliseconds; 0 before the first sample.
  double m_service_processing_ms = 0;
  /// Estimated flows that other balancers have placed at each target since their last reports.
  double m_unreported_flows = 0;
  /// For strategies that need work estimates: the estimator, the index of the request's route in it, and how old the
  /// latest load reports may be.
  const WorkEstimator* m_work = nullptr;
  std::uint32_t m_route = 0;
  Duration m_report_lag{0};
};

/// Chooses the target of a new flow. Several strategies implement it so that they can be compared under the same load.
class ChoiceStrategy {
 public:
  virtual ~ChoiceStrategy() = default;

  /// The strategy's name, for logs and benchmarks.
  [[nodiscard]] virtual std::string_view Name() const noexcept = 0;

  /// Returns one of `candidates`, which must not be empty.
  [[nodiscard]] virtual SteeringTarget* Choose(const ChoiceContext& context,
                                               const std::vector<SteeringTarget*>& candidates) = 0;

  /// True if the strategy reads `ChoiceContext::m_work` and the requests in progress, which are recorded only then.
  [[nodiscard]] virtual bool NeedsWork() const noexcept { return false; }
};

/// Chooses uniformly at random; the baseline for comparisons.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeRandomChoice(Random random);

/// Chooses the target at which this balancer itself has the fewest open flows, regardless of other balancers.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeLocalLeastFlowsChoice();

/// Chooses the target with the lowest expected completion time of the request, computed from the processing time, the
/// flows of all balancers per slot, and a penalty for a remote data centre. Balancers break ties in different orders,
/// so that they do not all send to the same idle target before their load reports have arrived.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeExpectedTimeChoice();

/// The same among `samples` candidates drawn at random (power of d choices), so that balancers with outdated reports do
/// not all send to the target that looked best.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeSampledExpectedTimeChoice(Random random, std::size_t samples);

/// Chooses, among `samples` candidates drawn at random, the target with the lowest expected time to finish the request:
/// the remaining work of the requests there, divided by the target's speed and slots, and the request's own work. While
/// its route has no estimate, the choice is that of `MakeSampledExpectedTimeChoice`.
[[nodiscard]] std::unique_ptr<ChoiceStrategy> MakeRemainingWorkChoice(Random random, std::size_t samples);

/// The expected time in milliseconds that `MakeRemainingWorkChoice` compares; needs `ChoiceContext::m_work`.
[[nodiscard]] double RemainingWorkTimeMs(const ChoiceContext& context, const SteeringTarget& target);

/// The expected completion time in milliseconds that `MakeExpectedTimeChoice` compares.
[[nodiscard]] double ExpectedTimeMs(const ChoiceContext& context, const SteeringTarget& target);

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_CHOICE_H_
