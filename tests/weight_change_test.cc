#include <gtest/gtest.h>

#include "weight_change_run.h"

namespace fighatch {
namespace {

// Guards against flows that break when the weight of a data centre changes back and forth: a flow that opened at an
// intermediate owner has a record at the keepers of that time, which the next change replaces before they have passed
// it on.
class WeightChangeTest : public testing::TestWithParam<std::uint32_t> {};

TEST_P(WeightChangeTest, AlternatingWeightsMoveNoFlow) {
  EXPECT_EQ(RunWeightChanges(GetParam(), WeightChangeFault::kNone), std::vector<std::string>{});
}

TEST_P(WeightChangeTest, AlternatingWeightsWithPlannedStopsMoveNoFlow) {
  EXPECT_EQ(RunWeightChanges(GetParam(), WeightChangeFault::kBalancerStops), std::vector<std::string>{});
}

TEST_P(WeightChangeTest, AlternatingWeightsWithStopsAndJoinsMoveNoFlow) {
  EXPECT_EQ(RunWeightChanges(GetParam(), WeightChangeFault::kBalancerStopsAndJoins), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, WeightChangeTest, testing::Range(1U, 13U));
// Seeds whose runs move a flow: see KNOWN-RED.txt.
INSTANTIATE_TEST_SUITE_P(TracedSeeds, WeightChangeTest, testing::Values(94U, 99U, 143U));

}  // namespace
}  // namespace fighatch
