#include "fighatch/target_choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

#include "fighatch/hash.h"
#include "steering/target_load.h"

namespace fighatch {
namespace {

// The queue of a target is modelled request by request up to this many slots and flows of other balancers; beyond, by
// means.
constexpr std::size_t kMaxModelledSlots = 8;
constexpr std::size_t kMaxModelledOthers = 12;
// Added for a target in another data centre: packets to it take longer and cost more.
constexpr double kRemoteDataCentrePenaltyMs = 4;
// Factor by which a cold target takes longer for a request.
constexpr double kColdFactor = 1.6;
// Fraction of the processing time, divided by the number of slots, that each flow at a target adds even if a slot is
// free: the known number of flows may be outdated.
constexpr double kExpectedTimeFlowPenalty = 0.15;
// Weight of flows that other balancers reported: about half of them have ended by the time of the choice.
constexpr double kReportedFlowWeight = 0.5;
// Fraction of the mean work, divided by the square root of the number of slots, that each flow at a target adds even if
// a slot seems free: counts may be outdated and announced slots wrong.
constexpr double kRemainingWorkFlowPenalty = 0.18;
// Fraction of the mean work by which a balancer prefers some targets to others, so that two balancers seldom choose the
// same idle target at once.
constexpr double kMaxTieBreak = 0.35;
// Width of the random part of expected times, as a multiple of the mean work: `kNoiseScale` times the square of the
// flows that other balancers place for each slot between two reports, up to `kMaxNoiseScale`.
constexpr double kNoiseScale = 0.05;
constexpr double kMaxNoiseScale = 2;
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

std::vector<SteeringTarget*> DrawCandidates(const std::vector<SteeringTarget*>& candidates, std::size_t samples,
                                            Random* random) {
  std::vector<SteeringTarget*> drawn = candidates;
  const std::size_t count = std::min(samples, drawn.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(drawn[index], drawn[index + random->Below(drawn.size() - index)]);
  }
  drawn.resize(count);
  return drawn;
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
    return LowestCostTarget(context.m_balancer, DrawCandidates(candidates, m_samples, &m_random),
                            [&context](const SteeringTarget& target) { return ExpectedTimeMs(context, target); });
  }

 private:
  Random m_random;
  std::size_t m_samples;
};

// The requests at a target before a new one, by work in milliseconds.
class TargetQueue {
 public:
  explicit TargetQueue(std::size_t slots) : m_slots(slots) {}

  // Adds a request to the slot that becomes free first.
  void Add(double running_ms, double queued_ms) {
    const std::size_t count = std::min(m_slots, kMaxModelledSlots);
    double* first = std::min_element(m_busy_ms.data(), m_busy_ms.data() + count);
    const double work_ms = *first > 0 ? queued_ms : running_ms;
    *first += work_ms;
    m_total_ms += work_ms;
  }

  // The mean work until a slot is free, if a number of other requests with the mean `others` (Poisson) is there too.
  [[nodiscard]] double MeanStartMs(double others, double residual_ms, double mean_ms) {
    if (m_slots > kMaxModelledSlots || others > kMaxModelledOthers / 2.0) {
      const auto slots = static_cast<double>(m_slots);
      return std::max(0.0, m_total_ms + others * mean_ms - (slots - 1) * residual_ms) / slots;
    }
    if (others <= kNegligible) return FirstFreeMs();
    double probability = std::exp(-others);
    double left = 1;
    double start_ms = 0;
    for (std::size_t count = 0; count < kMaxModelledOthers && left > kNegligible; ++count) {
      start_ms += probability * FirstFreeMs();
      left -= probability;
      Add(residual_ms, mean_ms);
      probability *= others / static_cast<double>(count + 1);
    }
    return start_ms + std::max(left, 0.0) * FirstFreeMs();
  }

 private:
  static constexpr double kNegligible = 1e-3;

  [[nodiscard]] double FirstFreeMs() const {
    return *std::min_element(m_busy_ms.data(), m_busy_ms.data() + std::min(m_slots, kMaxModelledSlots));
  }

  std::size_t m_slots;
  std::array<double, kMaxModelledSlots> m_busy_ms{};
  double m_total_ms = 0;
};

// What is the same for all candidates of a new flow.
struct RouteEstimate {
  double m_mean_ms = 0;
  double m_residual_ms = 0;
  // Time for which a request counts as load.
  double m_load_time_ms = 0;
  // Share of the reported flows that have not ended since.
  double m_unended_fraction = 0;
  // Share of the time that a request counts as load for which it is at the target.
  double m_fraction_at_target = 0;
};

RouteEstimate MakeRouteEstimate(const ChoiceContext& context) {
  RouteEstimate route;
  route.m_mean_ms = context.m_work->MeanWorkMs(context.m_route);
  route.m_residual_ms = context.m_work->RemainingWorkAtUnknownAgeMs(context.m_route);
  route.m_load_time_ms = std::max(context.m_work->LoadTimeMs(context.m_route), 1.0);
  route.m_unended_fraction = std::exp(-Milliseconds(context.m_report_lag) / route.m_load_time_ms);
  route.m_fraction_at_target = std::min(1.0, route.m_mean_ms / route.m_load_time_ms);
  return route;
}

// Requests of other balancers that are expected at the target now. Between two reports flows end and others begin, so
// the reported number tends towards its average; and a flow counts as load while its packets travel, too.
double OtherRequests(const ChoiceContext& context, const RouteEstimate& route, const SteeringTarget& target) {
  const double reported =
      target.m_mean_remote_flows + route.m_unended_fraction * (target.m_remote_flows - target.m_mean_remote_flows);
  return route.m_fraction_at_target * std::max(reported, 0.0) + target.m_unanswered * kFlowsPerUnanswered +
         context.m_unreported_flows;
}

// Factor by which the target takes longer for a request than the average of its service.
double TimeFactor(const ChoiceContext& context, const SteeringTarget& target) {
  const double learned = 1 / target.m_speed.m_speed;
  if (context.m_service_processing_ms > 0 && target.m_processing_ms > context.m_service_processing_ms * kSlowFactor) {
    return std::max(learned, target.m_processing_ms / context.m_service_processing_ms);
  }
  return target.m_cold_until > context.m_now ? learned * kColdFactor : learned;
}

// Expected time in milliseconds until the target has finished a new request; it takes `factor` times as long as the
// average of its service.
double FinishTimeMs(const ChoiceContext& context, const RouteEstimate& route, const SteeringTarget& target,
                    double factor) {
  TargetQueue queue(SlotsOf(target));
  for (const OpenRequest& request : target.m_requests) {
    const double done_ms = std::max(0.0, Milliseconds(context.m_now - request.m_started)) / factor;
    const double remaining_ms = context.m_work->RemainingWorkMs(request.m_route, done_ms);
    queue.Add(remaining_ms, remaining_ms);
  }
  for (std::size_t count = target.m_requests.size(); count < target.m_open_flows; ++count) {
    queue.Add(route.m_mean_ms, route.m_mean_ms);
  }
  const double others = OtherRequests(context, route, target);
  const double start_ms = queue.MeanStartMs(others, route.m_residual_ms, route.m_mean_ms);
  const double remote_penalty_ms =
      target.m_record.m_data_centre == context.m_data_centre ? 0 : kRemoteDataCentrePenaltyMs;
  const double slots = SlotsOf(target);
  const double uncertainty = kRemainingWorkFlowPenalty * (target.m_open_flows + others) / std::sqrt(slots);
  return (start_ms + route.m_mean_ms * (1 + uncertainty)) * factor + remote_penalty_ms;
}

// Width in milliseconds of the random part of expected times. The more flows other balancers place for each slot
// between two reports, the less reports say about the present, and a strict comparison would send the flows of all
// balancers to the same few targets.
double RandomSpreadMs(const ChoiceContext& context, const RouteEstimate& route,
                      const std::vector<SteeringTarget*>& drawn) {
  double flows = 0;
  double slots = 0;
  for (const SteeringTarget* target : drawn) {
    flows += target->m_mean_remote_flows;
    slots += SlotsOf(*target);
  }
  const double placed = flows / slots * Milliseconds(context.m_report_lag) / route.m_load_time_ms;
  return route.m_mean_ms * std::min(kMaxNoiseScale, kNoiseScale * placed * placed);
}

class RemainingWorkChoice : public ChoiceStrategy {
 public:
  RemainingWorkChoice(Random random, std::size_t samples) : m_random(random), m_samples(samples) {}
  [[nodiscard]] std::string_view Name() const noexcept override { return "remaining_work"; }
  [[nodiscard]] bool NeedsWork() const noexcept override { return true; }
  [[nodiscard]] SteeringTarget* Choose(const ChoiceContext& context,
                                       const std::vector<SteeringTarget*>& candidates) override {
    const std::vector<SteeringTarget*> drawn = DrawCandidates(candidates, m_samples, &m_random);
    if (!context.m_work->HasEstimate(context.m_route)) {
      return LowestCostTarget(context.m_balancer, drawn,
                              [&](const SteeringTarget& target) { return ExpectedTimeMs(context, target); });
    }
    const RouteEstimate route = MakeRouteEstimate(context);
    const double spread_ms = RandomSpreadMs(context, route, drawn);
    return LowestCostTarget(context.m_balancer, drawn, [&](const SteeringTarget& target) {
      const double factor = TimeFactor(context, target);
      const double preference_ms = kMaxTieBreak * route.m_mean_ms * Rank(context, target);
      const double cost_ms = FinishTimeMs(context, route, target, factor) + preference_ms;
      return spread_ms > 0 ? cost_ms - spread_ms * GumbelNoise(SlotsOf(target) / factor) : cost_ms;
    });
  }

 private:
  // Where the target stands in the balancer's order of preference, from 0 to 1.
  [[nodiscard]] static double Rank(const ChoiceContext& context, const SteeringTarget& target) {
    const std::uint64_t hash = MixHash(context.m_balancer.m_value, target.m_record.m_id.m_value);
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  }

  // With this bonus (Gumbel distribution) alone, targets are chosen in proportion to their capacity.
  [[nodiscard]] double GumbelNoise(double capacity) {
    return std::log(capacity / -std::log(std::max(m_random.NextDouble(), kLowestDraw)));
  }

  static constexpr double kLowestDraw = 1e-12;

  Random m_random;
  std::size_t m_samples;
};

}  // namespace

double RemainingWorkTimeMs(const ChoiceContext& context, const SteeringTarget& target) {
  if (!context.m_work->HasEstimate(context.m_route)) return ExpectedTimeMs(context, target);
  return FinishTimeMs(context, MakeRouteEstimate(context), target, TimeFactor(context, target));
}

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
  const double load_factor = std::max(1.0, (flows + 1) / slots) + kExpectedTimeFlowPenalty * flows / slots;
  const double remote_penalty_ms =
      target.m_record.m_data_centre == context.m_data_centre ? 0 : kRemoteDataCentrePenaltyMs;
  return processing_ms * load_factor + remote_penalty_ms;
}

std::unique_ptr<ChoiceStrategy> MakeRandomChoice(Random random) { return std::make_unique<RandomChoice>(random); }

std::unique_ptr<ChoiceStrategy> MakeLocalLeastFlowsChoice() { return std::make_unique<LocalLeastFlowsChoice>(); }

std::unique_ptr<ChoiceStrategy> MakeSampledExpectedTimeChoice(Random random, std::size_t samples) {
  return std::make_unique<SampledExpectedTimeChoice>(random, samples);
}

std::unique_ptr<ChoiceStrategy> MakeRemainingWorkChoice(Random random, std::size_t samples) {
  return std::make_unique<RemainingWorkChoice>(random, samples);
}

std::unique_ptr<ChoiceStrategy> MakeExpectedTimeChoice() { return std::make_unique<ExpectedTimeChoice>(); }

}  // namespace fighatch
