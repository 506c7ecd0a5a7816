#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request_simulation.h"

namespace fighatch::testing {
namespace {

/// Kinds of test steps: requests, faults and waiting times.
enum class StepKind : std::uint8_t {
  kPost,
  kGet,
  kCancel,
  kKill,
  kRestart,
  kStop,
  kPartition,
  kHeal,
  kMode,
  kTokens,
  kFalseDeath,
  kWait,
  kLongWait
};

/// One step of a simulation. The meaning of the two numbers depends on the kind: hosts, target, mode or time.
struct Step {
  StepKind m_kind = StepKind::kPost;
  std::uint32_t m_first = 0;
  std::uint32_t m_second = 0;
};

void showValue(const Step& step, std::ostream& out) {  // NOLINT: name fixed by RapidCheck.
  out << "{StepKind(" << static_cast<int>(step.m_kind) << "), " << step.m_first << ", " << step.m_second << "}";
}

rc::Gen<Step> AnyStep() {
  const auto kind = rc::gen::weightedElement<StepKind>({{20, StepKind::kPost},
                                                        {6, StepKind::kGet},
                                                        {3, StepKind::kCancel},
                                                        {2, StepKind::kKill},
                                                        {2, StepKind::kRestart},
                                                        {3, StepKind::kStop},
                                                        {3, StepKind::kPartition},
                                                        {2, StepKind::kHeal},
                                                        {6, StepKind::kMode},
                                                        {2, StepKind::kTokens},
                                                        {1, StepKind::kFalseDeath},
                                                        {10, StepKind::kWait},
                                                        {1, StepKind::kLongWait}});
  return rc::gen::map(rc::gen::tuple(kind, rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 12U)),
                      [](const auto& parts) { return std::apply([](auto... part) { return Step{part...}; }, parts); });
}

void ApplyStep(RequestSimulation& simulation, const Step& step) {
  const std::uint32_t first = step.m_first % RequestSimulation::kHosts + 1;
  const std::uint32_t second = step.m_second % RequestSimulation::kHosts + 1;
  switch (step.m_kind) {
    case StepKind::kPost:
      return simulation.StartRequest(false);
    case StepKind::kGet:
      return simulation.StartRequest(true);
    case StepKind::kCancel:
      return simulation.CancelRequest(step.m_first);
    case StepKind::kKill:
      return simulation.Kill(first);
    case StepKind::kRestart:
      return simulation.Restart(first);
    case StepKind::kStop:
      return simulation.Stop(first, second);
    case StepKind::kPartition:
      return simulation.Partition(first, second);
    case StepKind::kHeal:
      return simulation.Heal();
    case StepKind::kMode:
      return simulation.SetMode(first, static_cast<TargetMode>(step.m_second % static_cast<int>(TargetMode::kCount)));
    case StepKind::kTokens:
      return simulation.SetTokens(first, step.m_second % 3);
    case StepKind::kFalseDeath:
      return simulation.NotifyDeath(first, second);
    case StepKind::kWait:
      return simulation.Advance(milliseconds(step.m_first * 80));
    case StepKind::kLongWait:
      return simulation.Advance(seconds(step.m_first * 4));
  }
}

/// Runs the steps, of which several may happen at the same time, and returns the failures that the oracle found.
std::vector<std::string> RunSteps(std::uint64_t seed, const std::vector<Step>& steps) {
  RequestSimulation simulation(seed);
  for (const Step& step : steps) {
    ApplyStep(simulation, step);
    if (simulation.m_random.Below(2) == 0) simulation.Advance(milliseconds(simulation.m_random.Below(20)));
  }
  simulation.Settle();
  return simulation.m_oracle.Failures();
}

// Guards against requests that are run twice, false "not run" answers, answers of other requests, leaks and retry
// storms under random sequences of crashes, restarts, planned stops, partitions, false death notices and misbehaving
// targets.
RC_GTEST_PROP(RequestFaultsTest, InvariantsHoldUnderRandomFaults, (std::uint64_t seed)) {
  const auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(AnyStep()));
  const std::vector<std::string> failures = RunSteps(seed, steps);
  if (!failures.empty()) RC_FAIL(failures.front());
}

// Guards against failures that occur only with two faults at once: each pair of faults is injected under load.
TEST(RequestFaultsTest, InvariantsHoldUnderEveryPairOfFaults) {
  const std::vector<Step> faults = {
      {StepKind::kKill, 0, 0},       {StepKind::kStop, 0, 1},   {StepKind::kStop, 1, 2},
      {StepKind::kKill, 1, 0},       {StepKind::kTokens, 1, 0}, {StepKind::kPartition, 0, 1},
      {StepKind::kFalseDeath, 1, 0}, {StepKind::kMode, 0, 3},   {StepKind::kMode, 1, 9}};
  for (std::size_t left = 0; left < faults.size(); ++left) {
    for (std::size_t right = 0; right < faults.size(); ++right) {
      std::vector<Step> steps(40, Step{StepKind::kPost});
      steps.insert(steps.begin() + 20, {faults[left], faults[right]});
      steps.push_back({StepKind::kWait, 10, 0});
      steps.push_back({StepKind::kHeal});
      steps.insert(steps.end(), 10, Step{StepKind::kPost});
      EXPECT_THAT(RunSteps(left * 100 + right, steps), ::testing::IsEmpty()) << left << " and " << right;
    }
  }
}

// Guards against runs that pass because no requests are served: without faults most requests must be answered.
TEST(RequestFaultsTest, WithoutFaultsRequestsAreAnswered) {
  RequestSimulation simulation(1);
  for (int count = 0; count < 200; ++count) {
    simulation.StartRequest(count % 4 == 0);
    simulation.Advance(milliseconds(20));
  }
  simulation.Settle();
  EXPECT_THAT(simulation.m_oracle.Failures(), ::testing::IsEmpty());
  const auto& outcomes = simulation.m_oracle.Outcomes();
  EXPECT_GT(outcomes.at("answered"), 150U);
}

}  // namespace
}  // namespace fighatch::testing
