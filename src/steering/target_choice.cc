#include "fighatch/target_choice.h"

#include <algorithm>
#include <tuple>

#include "fighatch/hash.h"
#include "steering/target_load.h"

namespace fighatch {
namespace {

// Added for a target in another data centre: packets to it take longer and cost more.
constexpr double kRemoteDataCentrePenaltyMs = 4;
// Factor by which a cold target takes longer for a request.
constexpr double kColdFactor = 1.6;
// Fraction of the processing time, divided by the number of slots, that each flow at a target adds even if a slot is
// free: the known number of flows may be outdated.
constexpr double kFlowCost = 0.15;
// Weight of flows that other balancers reported: about half of them have ended by the time of the choice.
constexpr double kReportedFlowWeight = 0.5;
// Each consecutive unanswered opening packet counts as this many additional flows at the target.
constexpr std::uint32_t kFlowsPerUnanswered = 2;

class RandomChoice : public ChoiceStrategy {
 public:
  explicit RandomChoice(Random random) : m_random(random) {}
  [[nodiscard]] std::string_view Name() const noexcept override { return "random"; }
  [[nodiscard]] SteeringTarget* Choose(const ChoiceContext& /*context*/,
                                       const std::vector<SteeringTarget*>& candidates) override {
    return candidates[m_random.Below(candidates.size())];
  }

 private:
  Random m_random;
};

// The candidate with the lowest cost; ties are broken by a hash of balancer and target.
template <typename Cost>
SteeringTarget* LowestCostTarget(HostId balancer, const std::vector<SteeringTarget*>& candidates, const Cost& cost) {
  SteeringTarget* best = nullptr;
  std::tuple<double, std::uint64_t> best_cost;
  for (SteeringTarget* target : candidates) {
    const std::tuple next(cost(*target), MixHash(balancer.m_value, target->m_record.m_id.m_value));
    if (best != nullptr && next >= best_cost) continue;
    best = target;
    best_cost = next;
  }
  return best;
}

class LocalLeastFlowsChoice : public ChoiceStrategy {
 public:
  [[nodiscard]] std::string_view Name() const noexcept override { return "local_least_flows"; }
  [[nodiscard]] SteeringTarget* Choose(const ChoiceContext& context,
                                       const std::vector<SteeringTarget*>& candidates) override {
    return LowestCostTarget(context.m_balancer, candidates,
                            [](const SteeringTarget& target) { return static_cast<double>(target.m_open_flows); });
  }
};

class ExpectedTimeChoice : public ChoiceStrategy {
 public:
  [[nodiscard]] std::string_view Name() const noexcept override { return "expected_time"; }
  [[nodiscard]] SteeringTarget* Choose(const ChoiceContext& context,
                                       const std::vector<SteeringTarget*>& candidates) override {
    return LowestCostTarget(context.m_balancer, candidates,
                            [&context](const SteeringTarget& target) { return ExpectedTimeMs(context, target); });
  }
};

class SampledExpectedTimeChoice : public ChoiceStrategy {
 public:
  SampledExpectedTimeChoice(Random random, std::size_t samples) : m_random(random), m_samples(samples) {}
  [[nodiscard]] std::string_view Name() const noexcept override { return "sampled_expected_time"; }
  [[nodiscard]] SteeringTarget* Choose(const ChoiceContext& context,
                                       const std::vector<SteeringTarget*>& candidates) override {
    std::vector<SteeringTarget*> drawn = candidates;
    const std::size_t count = std::min(m_samples, drawn.size());
    for (std::size_t index = 0; index < count; ++index) {
      std::swap(drawn[index], drawn[index + m_random.Below(drawn.size() - index)]);
    }
    drawn.resize(count);
    return LowestCostTarget(context.m_balancer, drawn,
                            [&context](const SteeringTarget& target) { return ExpectedTimeMs(context, target); });
  }

 private:
  Random m_random;
  std::size_t m_samples;
};

}  // namespace

double ExpectedTimeMs(const ChoiceContext& context, const SteeringTarget& target) {
  double processing_ms = context.m_service_processing_ms > 0 ? context.m_service_processing_ms : kDefaultProcessingMs;
  if (target.m_processing_ms > processing_ms * kSlowFactor) {
    processing_ms = target.m_processing_ms;
  } else if (target.m_cold_until > context.m_now) {
    processing_ms *= kColdFactor;
  }
  const double flows = target.m_open_flows + kReportedFlowWeight * target.m_remote_flows +
                       target.m_unanswered * kFlowsPerUnanswered + context.m_unreported_flows;
  const double slots = std::max<std::uint32_t>(target.m_record.m_slots, 1);
  const double load_factor = std::max(1.0, (flows + 1) / slots) + kFlowCost * flows / slots;
  const double remote_penalty_ms =
      target.m_record.m_data_centre == context.m_data_centre ? 0 : kRemoteDataCentrePenaltyMs;
  return processing_ms * load_factor + remote_penalty_ms;
}

std::unique_ptr<ChoiceStrategy> MakeRandomChoice(Random random) { return std::make_unique<RandomChoice>(random); }

std::unique_ptr<ChoiceStrategy> MakeLocalLeastFlowsChoice() { return std::make_unique<LocalLeastFlowsChoice>(); }

std::unique_ptr<ChoiceStrategy> MakeSampledExpectedTimeChoice(Random random, std::size_t samples) {
  return std::make_unique<SampledExpectedTimeChoice>(random, samples);
}

std::unique_ptr<ChoiceStrategy> MakeExpectedTimeChoice() { return std::make_unique<ExpectedTimeChoice>(); }

}  // namespace fighatch
