#include <gtest/gtest.h>

#include "fighatch/ramp.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 16;
const TimePoint kStart{seconds(100)};

class TargetRampTest : public testing::Test {
 protected:
  void SetUp() override {
    m_ramp.Begin(Incarnation{1}, kStart);
    m_ramp.OnHealthy(kStart);
  }
  void Warm() {
    for (int second = 2; second <= 6; second += 2) m_ramp.Tick(kStart + seconds(second));
    ASSERT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(6)), kSlots);
  }
  Ramp m_ramp;
};

// Guards against a cold target getting more than its step, or any work before it has answered a health check.
TEST_F(TargetRampTest, RisesInStepsOfTwoSeconds) {
  Ramp unchecked;
  unchecked.Begin(Incarnation{1}, kStart);
  EXPECT_EQ(unchecked.Allowance(kSlots, kStart), 0U);
  EXPECT_EQ(unchecked.Weight(), 0U);
  const std::vector<std::uint32_t> expected = {2, 2, 4, 4, 8, 8, 16, 16};
  for (std::size_t second = 0; second < expected.size(); ++second) {
    m_ramp.Tick(kStart + seconds(second));
    EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(second)), expected[second]) << second;
  }
  EXPECT_EQ(m_ramp.Weight(), 16U);
  EXPECT_EQ(Ramp(m_ramp).Allowance(2, kStart + seconds(8)), 2U);
}

// Guards against a target with few slots never getting a token.
TEST_F(TargetRampTest, AllowanceIsAtLeastOneToken) { EXPECT_EQ(m_ramp.Allowance(2, kStart), 1U); }

// Guards against full load on a target that sheds, and against a burst of sheds taking it back more than one step.
TEST_F(TargetRampTest, ShedStepsBackOncePerRenewal) {
  Warm();
  m_ramp.OnShed(kSlots, kStart + seconds(7));
  m_ramp.OnShed(kSlots, kStart + seconds(7) + milliseconds(100));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(7)), 8U);
  m_ramp.OnShed(kSlots, kStart + seconds(7) + milliseconds(400));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(8)), 4U);
}

// Guards against continued load on a target that sheds its single token: it is paused for 1, 2, 4, 8 and 8 s.
TEST_F(TargetRampTest, ShedOfTheSingleTokenPauses) {
  TimePoint now = kStart;
  for (const int pause : {1, 2, 4, 8, 8}) {
    m_ramp.OnShed(2, now);
    EXPECT_EQ(m_ramp.Allowance(2, now + seconds(pause) - milliseconds(1)), 0U) << pause;
    now += seconds(pause);
    EXPECT_EQ(m_ramp.Allowance(2, now), 1U) << pause;
  }
}

// Guards against full load on a target that restarted without a new incarnation.
TEST_F(TargetRampTest, DecreasedUptimeIsAColdStart) {
  Warm();
  m_ramp.OnLoad({.m_requests_in_progress = 9, .m_uptime_ms = 60'000}, kStart + seconds(7));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(7)), 16U);
  m_ramp.OnLoad({.m_requests_in_progress = 0, .m_uptime_ms = 100}, kStart + seconds(8));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(8)), 2U);
}

// Guards against an undetected cold cache, and against a single slow request that counts as one.
TEST_F(TargetRampTest, ConsecutiveSlowRequestsAreAColdStart) {
  Warm();
  const TimePoint now = kStart + seconds(7);
  for (int request = 0; request < 40; ++request) m_ramp.OnLatency(milliseconds(10 + request % 3), now);
  m_ramp.OnLatency(milliseconds(50), now);
  m_ramp.OnLatency(milliseconds(10), now);
  EXPECT_EQ(m_ramp.Allowance(kSlots, now), 16U);
  for (int request = 0; request < 3; ++request) m_ramp.OnLatency(milliseconds(50), now);
  EXPECT_EQ(m_ramp.Allowance(kSlots, now), 2U);
}

// Guards against a new incarnation inheriting the warm state of the old one.
TEST_F(TargetRampTest, NewIncarnationStartsCold) {
  Warm();
  m_ramp.Begin(Incarnation{2}, kStart + seconds(9));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(9)), 0U);
  m_ramp.OnHealthy(kStart + seconds(9));
  EXPECT_EQ(m_ramp.Allowance(kSlots, kStart + seconds(9)), 2U);
}

}  // namespace
}  // namespace fighatch
