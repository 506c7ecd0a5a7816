#include <gtest/gtest.h>

#include <array>

#include "fighatch/retry_budget.h"
#include "fighatch/target_picker.h"
#include "request_fakes.h"

namespace fighatch::testing {
namespace {

constexpr TimePoint kNow = TimePoint(seconds(100));

/// How often each of four targets with one request in progress is chosen in 4000 picks, when the first one reports
/// `report` and the others report 2.
std::array<int, 4> CountPicks(std::unique_ptr<PickStrategy> strategy, double report) {
  TargetPicker picker(std::move(strategy));
  Random random(1);
  std::vector<TargetCandidate> candidates;
  for (std::uint64_t target = 0; target < 4; ++target) candidates.push_back({TargetId{target}, 1, 1, 2});
  candidates[0].m_reported_load = report;
  std::array<int, 4> picks{};
  for (int count = 0; count < 4000; ++count) {
    const auto target = picker.Pick(candidates, TargetHealth(), kNow, &random);
    ++picks.at(target->m_value);
  }
  return picks;
}

// Guards against a load report that outweighs the balancer's own count of requests in progress.
TEST(RequestPickerTest, OwnCountComesBeforeReports) {
  TargetPicker picker(MakeLeastInProgress());
  Random random(1);
  const std::vector<TargetCandidate> candidates = {{TargetId{1}, 2, 1, 0}, {TargetId{2}, 1, 1, 100}};
  EXPECT_EQ(picker.Pick(candidates, TargetHealth(), kNow, &random), TargetId{2});
}

// Guards against a target with false reports that wins all ties, or gets the whole load as with plain power of two
// choices.
TEST(RequestPickerTest, FalseReportGetsAtMostTwiceItsShareOfTies) {
  EXPECT_LE(CountPicks(MakeLeastInProgress(), -50).at(0), 2200);
  EXPECT_LE(CountPicks(MakeLeastInProgress(), 0).at(0), 2200);
}

// Guards against choosing targets without tokens, and against choosing none when all targets with tokens are ejected.
TEST(RequestPickerTest, EjectedTargetIsUsedWhenNoOtherHasTokens) {
  TargetPicker picker(MakeLeastInProgress());
  Random random(1);
  TargetHealth health;
  for (int failures = 0; failures < 3; ++failures) health.OnFailure(TargetId{1}, kNow);
  EXPECT_TRUE(health.IsEjected(TargetId{1}, kNow + milliseconds(999)));
  EXPECT_FALSE(health.IsEjected(TargetId{1}, kNow + milliseconds(1000)));
  const std::vector<TargetCandidate> both = {{TargetId{1}, 0, 1, 0}, {TargetId{2}, 1, 1, 0}};
  EXPECT_EQ(picker.Pick(both, health, kNow, &random), TargetId{2});
  EXPECT_EQ(picker.Pick(std::span(both).first(1), health, kNow, &random), TargetId{1});
  const std::vector<TargetCandidate> no_tokens = {{TargetId{1}, 0, 0, 0}};
  EXPECT_EQ(picker.Pick(no_tokens, health, kNow, &random), std::nullopt);
}

// Guards against retries above a tenth of the requests, and against a large burst after a long time without failures.
TEST(RequestPickerTest, RetryBudgetIsATenthWithABoundedBurst) {
  RetryBudget budget;
  int retries = 0;
  for (int count = 0; count < 95; ++count) {
    budget.OnRequest();
    while (budget.Take()) ++retries;
  }
  EXPECT_EQ(retries, 9);
  for (int count = 0; count < 100'000; ++count) budget.OnRequest();
  retries = 0;
  while (budget.Take()) ++retries;
  EXPECT_EQ(retries, 100);
}

}  // namespace
}  // namespace fighatch::testing
