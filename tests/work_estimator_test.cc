#include "fighatch/work_estimator.h"

#include <gtest/gtest.h>

#include <cmath>

#include "fighatch/random.h"
#include "steering_fixture.h"

namespace fighatch {
namespace {

using std::chrono::seconds;
using testing_support::kPublicAddress;

constexpr TimePoint kStart{seconds(100)};

// Spread of the work of requests that look alike.
double RandomWorkMs(Random* random) {
  const double work_ms = 20 * (0.5 + random->NextDouble());
  return random->NextDouble() < 0.03 ? 7 * work_ms : work_ms;
}

// A service whose targets get the same number of samples each; target 0 has the given time factor.
std::vector<TargetSpeed> LearnSpeeds(WorkEstimator* estimator, std::uint32_t samples, double time_factor) {
  std::vector<TargetSpeed> speeds(20);
  std::vector<TargetSpeed*> pointers;
  for (TargetSpeed& speed : speeds) pointers.push_back(&speed);
  Random random(7);
  const std::uint32_t route = estimator->RouteIndex(kPublicAddress);
  for (std::uint32_t sample = 0; sample < samples; ++sample) {
    for (TargetSpeed& speed : speeds) {
      const double time_ms = RandomWorkMs(&random) * (&speed == speeds.data() ? time_factor : 1);
      estimator->AddSample(kStart, {route, time_ms, time_ms}, &speed);
    }
    estimator->Refresh();
    estimator->UpdateSpeeds(kStart, pointers);
  }
  return speeds;
}

// Guards against estimates that take a long-running request for one that is nearly done.
TEST(WorkEstimatorTest, RequestThatRanLongIsLikelyToRunOn) {
  WorkEstimator estimator;
  (void)LearnSpeeds(&estimator, 50, 1);
  const std::uint32_t route = estimator.RouteIndex(kPublicAddress);
  EXPECT_NEAR(estimator.MeanWorkMs(route), 20 * 1.18, 2);
  EXPECT_LT(estimator.RemainingWorkMs(route, 15), estimator.RemainingWorkMs(route, 0));
  EXPECT_GT(estimator.RemainingWorkMs(route, 45), 2 * estimator.MeanWorkMs(route));
}

// Guards against requests that count as running for ever where answers are not acknowledged.
TEST(WorkEstimatorTest, UnseenEndsLowerTheRemainingWork) {
  WorkEstimator estimator;
  (void)LearnSpeeds(&estimator, 50, 1);
  const std::uint32_t route = estimator.RouteIndex(kPublicAddress);
  const double seen_ms = estimator.RemainingWorkMs(route, 45);
  for (int count = 0; count < 100; ++count) estimator.RecordEnd(route, count % 2 == 0);
  EXPECT_LT(estimator.RemainingWorkMs(route, 45), seen_ms / 5);
  EXPECT_GE(estimator.RemainingWorkMs(route, 0), seen_ms / 10);
}

// Guards against chance differences of equal targets that send new flows to the luckiest one.
TEST(WorkEstimatorTest, EqualTargetsGetEqualSpeeds) {
  WorkEstimator estimator;
  for (const TargetSpeed& speed : LearnSpeeds(&estimator, 30, 1)) EXPECT_NEAR(speed.m_speed, 1, 0.1);
}

// Guards against a slow target that counts as average, and against one sample that decides.
TEST(WorkEstimatorTest, SpeedIsLearnedFromSeveralSamples) {
  WorkEstimator one;
  EXPECT_GT(LearnSpeeds(&one, 1, 4)[0].m_speed, 0.7);
  WorkEstimator many;
  EXPECT_LT(LearnSpeeds(&many, 30, 4)[0].m_speed, 0.4);
}

// Guards against a target that keeps a speed which nothing has confirmed for a long time.
TEST(WorkEstimatorTest, SpeedAges) {
  WorkEstimator estimator;
  std::vector<TargetSpeed> speeds = LearnSpeeds(&estimator, 30, 4);
  std::vector<TargetSpeed*> pointers;
  for (TargetSpeed& speed : speeds) pointers.push_back(&speed);
  estimator.UpdateSpeeds(kStart + 20 * WorkEstimator::kSpeedHalfLife, pointers);
  EXPECT_NEAR(speeds[0].m_speed, 1, 0.1);
}

// Guards against memory that grows with the number of public endpoints.
TEST(WorkEstimatorTest, RoutesAreBounded) {
  WorkEstimator estimator;
  std::uint32_t last = 0;
  for (std::uint32_t number = 0; number < 2 * WorkEstimator::kMaxRoutes; ++number) {
    last = estimator.RouteIndex({IpAddress::FromV4(number), 443});
  }
  EXPECT_EQ(last, WorkEstimator::kMaxRoutes - 1);
}

// Guards against samples at the edges of the buckets that are lost or written beyond them.
TEST(WorkHistogramTest, ExtremeSamplesAreCounted) {
  WorkHistogram histogram;
  for (const double work_ms : {-1.0, 0.0, 0.3, 1e9}) histogram.Add(kStart, work_ms);
  histogram.Refresh();
  EXPECT_EQ(histogram.Samples(), 4U);
  EXPECT_DOUBLE_EQ(histogram.ShareAbove(1e9), 0.25);
  EXPECT_TRUE(std::isfinite(histogram.MeanRemainingMs(1e12)));
}

// Guards against a distribution that keeps the work of an earlier version of a service.
TEST(WorkHistogramTest, OldSamplesFade) {
  WorkHistogram histogram;
  for (int count = 0; count < 100; ++count) histogram.Add(kStart, 100);
  for (int count = 0; count < 100; ++count) histogram.Add(kStart + 40 * WorkHistogram::kHalfLife, 10);
  histogram.Refresh();
  EXPECT_NEAR(histogram.MeanMs(), 10, 0.1);
}

}  // namespace
}  // namespace fighatch
