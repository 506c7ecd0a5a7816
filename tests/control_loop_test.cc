// Tests of the parts of a balancer's control loop that use no sockets.

#include <gtest/gtest.h>

#include <chrono>

#include "balancer/coordinator_resync.h"
#include "balancer/reachability.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DataCentreId kOther{2};
constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against a starting balancer that treats every data centre it finds as recently cut off. It then ranked keepers
// differently from its peers for 300 s, and flows broke when targets joined.
TEST(ReachabilityTest, DataCentreFoundForTheFirstTimeIsNotRecentlyCutOff) {
  Reachability reachability;
  EXPECT_EQ(reachability.Update(kOther, false, kStart), ReachabilityChange::kNone);
  EXPECT_EQ(reachability.Update(kOther, true, kStart + milliseconds(300)), ReachabilityChange::kNone);
  EXPECT_TRUE(reachability.CutOff().empty());
  EXPECT_TRUE(reachability.RecentlyCutOff(kStart + milliseconds(300)).empty());
}

// Guards against the same fault when the first contact comes after the time at which a data centre counts as cut off.
TEST(ReachabilityTest, DataCentreFoundLateIsReachableButNotRecentlyCutOff) {
  Reachability reachability;
  reachability.Update(kOther, false, kStart);
  EXPECT_EQ(reachability.Update(kOther, false, kStart + seconds(3)), ReachabilityChange::kCutOff);
  EXPECT_EQ(reachability.CutOff(), std::vector<DataCentreId>{kOther});
  EXPECT_EQ(reachability.Update(kOther, true, kStart + seconds(4)), ReachabilityChange::kReachable);
  EXPECT_TRUE(reachability.CutOff().empty());
  EXPECT_TRUE(reachability.RecentlyCutOff(kStart + seconds(4)).empty());
}

// Guards against not reporting a data centre that really was cut off: flows opened elsewhere meanwhile would break.
TEST(ReachabilityTest, DataCentreIsRecentlyCutOffForTheIdleLimit) {
  Reachability reachability;
  reachability.Update(kOther, true, kStart);
  EXPECT_EQ(reachability.Update(kOther, false, kStart + seconds(1)), ReachabilityChange::kNone);
  EXPECT_EQ(reachability.Update(kOther, false, kStart + seconds(4)), ReachabilityChange::kCutOff);
  EXPECT_EQ(reachability.Update(kOther, true, kStart + seconds(5)), ReachabilityChange::kReachable);
  EXPECT_EQ(reachability.RecentlyCutOff(kStart + seconds(6)), std::vector<DataCentreId>{kOther});
  EXPECT_TRUE(reachability.RecentlyCutOff(kStart + seconds(306)).empty());
}

// Guards against adding up separate periods without contact, none of which reaches the limit alone.
TEST(ReachabilityTest, SilenceIsMeasuredFromTheLatestContact) {
  Reachability reachability;
  reachability.Update(kOther, true, kStart);
  reachability.Update(kOther, false, kStart + seconds(1));
  reachability.Update(kOther, true, kStart + seconds(2));
  reachability.Update(kOther, false, kStart + seconds(3));
  EXPECT_EQ(reachability.Update(kOther, false, kStart + seconds(4)), ReachabilityChange::kNone);
}

// Guards against a restarted coordinator that is never sent the targets of its data centre. Refreshes of unknown
// targets are ignored, so its tables stayed without them, and a third of all new flows did not open.
TEST(CoordinatorResyncTest, RestartedCoordinatorIsSentTheTablesAgain) {
  CoordinatorResync resync;
  resync.SetCoordinator(HostId{1}, Incarnation{10}, kStart);
  for (const seconds time : {seconds(0), seconds(1), seconds(2)}) EXPECT_TRUE(resync.TakeDue(kStart + time));
  EXPECT_FALSE(resync.TakeDue(kStart + seconds(3)));
  resync.SetCoordinator(HostId{1}, Incarnation{11}, kStart + seconds(3));
  EXPECT_TRUE(resync.TakeDue(kStart + seconds(3)));
}

// Guards against the same fault when the message with the targets is sent only once and lost.
TEST(CoordinatorResyncTest, NewCoordinatorIsSentThreeUpdatesBeforeItPublishes) {
  CoordinatorResync resync;
  resync.SetCoordinator(HostId{4}, Incarnation{10}, kStart);
  int sends = 0;
  for (milliseconds time{0}; time < milliseconds(1100); time += milliseconds(50)) {
    resync.SetCoordinator(HostId{4}, Incarnation{10}, kStart + time);
    sends += resync.TakeDue(kStart + time) ? 1 : 0;
  }
  EXPECT_EQ(sends, 3);
  EXPECT_FALSE(resync.TakeDue(kStart + seconds(10)));
}

}  // namespace
}  // namespace fighatch::daemon
