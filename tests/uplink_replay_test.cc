#include "uplink_replay.h"

#include <gtest/gtest.h>

#include <string>

namespace fighatch {
namespace {

using testing_support::LaterPacket;
using testing_support::milliseconds;
using testing_support::OpeningPacket;
using testing_support::UplinkReplay;
using testing_support::UplinkResult;

constexpr milliseconds kObjective{1200};

// Guards against refusals without cause: of flows that are open already, of small or unknown services, without an
// objective, and on a host that has room.
TEST(BulkAdmissionTest, RefusesOnlyFirstPacketsOfBulkFlowsWithoutRoom) {
  BulkAdmission admission;
  const BulkDemand full{BulkAdmission::kMinFinishedFlows, 80000, 320000, 350000};
  EXPECT_FALSE(admission.Admit(OpeningPacket(1), kObjective, full));
  EXPECT_EQ(admission.Refused(), 1U);
  EXPECT_TRUE(admission.Admit(OpeningPacket(1, 1), kObjective, full));
  EXPECT_TRUE(admission.Admit(LaterPacket(1, 1), kObjective, full));
  EXPECT_TRUE(admission.Admit(OpeningPacket(1), Duration(0), full));
  EXPECT_TRUE(
      admission.Admit(OpeningPacket(1), kObjective, {BulkAdmission::kMinFinishedFlows - 1, 80000, 320000, 350000}));
  EXPECT_TRUE(admission.Admit(OpeningPacket(1), kObjective, {100, 15999, 320000, 350000}));
  // 350,000 bytes per second send 140,000 bytes within a third of the objective.
  EXPECT_TRUE(admission.Admit(OpeningPacket(1), kObjective, {100, 80000, 59000, 350000}));
  EXPECT_TRUE(admission.Admit(OpeningPacket(1), kObjective, {100, 800000, 0, 350000}));
  EXPECT_EQ(admission.Refused(), 1U);
  EXPECT_FALSE(admission.Admit(OpeningPacket(1), kObjective, {100, 80000, 61000, 350000}));
}

class UplinkReplayTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against uploads that miss their objective on a quiet day because the uplink drops what is sent unpaced.
TEST_P(UplinkReplayTest, UploadsFinishInTimeAtQuietLoad) {
  const UplinkResult today = UplinkReplay({0.35, 22, false, false, GetParam()}).Run();
  const UplinkResult scheduled = UplinkReplay({0.35, 22, true, false, GetParam()}).Run();
  EXPECT_GE(scheduled.InTimeShare(), 0.9);
  EXPECT_GE(scheduled.InTimeShare(), today.InTimeShare());
  EXPECT_EQ(scheduled.m_link_drops, 0U);
  RecordProperty("today_in_time", std::to_string(today.InTimeShare()));
  RecordProperty("scheduled_in_time", std::to_string(scheduled.InTimeShare()));
}

// Guards against packets lost at the balancer's own link while the link can carry the load.
TEST_P(UplinkReplayTest, LinkDropsNothingAtHighLoad) {
  const UplinkResult today = UplinkReplay({0.9, 0, false, false, GetParam()}).Run();
  const UplinkResult scheduled = UplinkReplay({0.9, 0, true, false, GetParam()}).Run();
  EXPECT_GT(today.m_link_drops, 0U);
  EXPECT_EQ(scheduled.m_link_drops, 0U);
  EXPECT_GE(scheduled.m_bulk_in_time, today.m_bulk_in_time);
}

// Guards against small requests that wait behind a burst of uploads: 2.5 times a bulk load of 0.9.
TEST_P(UplinkReplayTest, SmallRequestsDoNotWaitBehindUploads) {
  for (const bool admission : {false, true}) {
    const UplinkResult scheduled = UplinkReplay({2.5 * 0.9, 22, true, admission, GetParam()}).Run();
    EXPECT_LT(scheduled.m_longest_small_wait, milliseconds(20)) << admission;
    EXPECT_EQ(scheduled.m_link_drops, 0U) << admission;
    EXPECT_EQ(scheduled.m_bulk_refused > 0, admission);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, UplinkReplayTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace fighatch
