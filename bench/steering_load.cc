// Share of requests that cookie steering gets answered in time, for each load pattern and choice strategy, simulated in
// virtual time. The baseline is a random choice.
#include <string>
#include <utility>
#include <vector>

#include "report.h"
#include "steering_simulation.h"

namespace {

using fighatch::Random;
using fighatch::testing_support::LoadPattern;
using fighatch::testing_support::LoadResult;
using fighatch::testing_support::milliseconds;
using fighatch::testing_support::SteeringSimulation;

constexpr std::uint64_t kSeeds = 5;
constexpr std::size_t kSamples = 5;

struct NamedPattern {
  std::string m_name;
  LoadPattern m_pattern;
  /// Lowest share of requests in time that the strategy in use, `sampled_expected_time`, must reach.
  double m_bound = 0;
};

std::vector<NamedPattern> Patterns() {
  LoadPattern burst;
  burst.m_burst = 1.7;
  LoadPattern heavy;
  heavy.m_flows_per_second = 800;
  LoadPattern slow;
  slow.m_slow_targets = 3;
  LoadPattern dead;
  dead.m_dead_targets = 3;
  LoadPattern returning;
  returning.m_returning_callers = 900;
  LoadPattern many;
  many.m_balancers = 27;
  many.m_targets = 40;
  many.m_flows_per_second = 1200;
  return {{"burst", burst, 0.99},       {"heavy", heavy, 0.98},         {"slow_targets", slow, 0.95},
          {"dead_targets", dead, 0.95}, {"returning", returning, 0.55}, {"many_balancers", many, 0.98}};
}

std::pair<double, double> Average(const LoadPattern& pattern, const SteeringSimulation::MakeChoice& make_choice) {
  double in_time = 0;
  double shed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LoadPattern seeded = pattern;
    seeded.m_seed = seed;
    const LoadResult result = SteeringSimulation(seeded, make_choice).Run();
    in_time += result.InTimeShare() / kSeeds;
    shed += static_cast<double>(result.m_shed) / result.m_requests / kSeeds;
  }
  return {in_time, shed};
}

}  // namespace

int main() {
  using fighatch::bench::BoundKind;
  using fighatch::bench::Report;
  bool pass = true;
  for (const NamedPattern& named : Patterns()) {
    const auto random =
        Average(named.m_pattern, [](std::uint32_t balancer) { return fighatch::MakeRandomChoice(Random(balancer)); });
    const auto report = [&](const std::string& strategy, const SteeringSimulation::MakeChoice& make_choice,
                            std::optional<double> bound) {
      const auto [in_time, shed] = Average(named.m_pattern, make_choice);
      const std::string name = "steering_load." + named.m_name + "." + strategy;
      pass &= Report(name + ".in_time", in_time, "share", bound, random.first, BoundKind::kAtLeast);
      pass &= Report(name + ".shed", shed, "share", std::nullopt, random.second);
    };
    report(
        "local_least_flows", [](std::uint32_t) { return fighatch::MakeLocalLeastFlowsChoice(); }, std::nullopt);
    report(
        "sampled_expected_time",
        [](std::uint32_t balancer) { return fighatch::MakeSampledExpectedTimeChoice(Random(balancer), kSamples); },
        named.m_bound);
    report(
        "expected_time", [](std::uint32_t) { return fighatch::MakeExpectedTimeChoice(); }, std::nullopt);
  }
  return pass ? 0 : 1;
}
