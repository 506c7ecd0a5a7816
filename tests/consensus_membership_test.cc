// Guards against membership changes of an open group that leave it without a majority that can come back.
#include <gtest/gtest.h>

#include <ostream>

#include "open_group_deployment.h"

namespace fighatch {
namespace {

using testing_support::Deployment;
using testing_support::kCatchUp;
using testing_support::milliseconds;
using testing_support::RaftCluster;

// Guards against two replaced hosts that stay voters, so that one lost disk among the others ends the group for good.
TEST(ConsensusMembershipTest, LostDiskAfterTwoReplacements) {
  Deployment deployment(3, 1, 1);
  deployment.Add();
  deployment.Add();
  deployment.Cluster().Run(kCatchUp);
  for (const std::uint32_t replaced : {1, 2}) {
    deployment.StopForGood(replaced, false);
    deployment.Cluster().Run(3 * kCatchUp);
  }
  EXPECT_EQ(deployment.Configuration().VoterCount(), 3U);
  ASSERT_EQ(deployment.Check(), "");
  deployment.LoseDisk(deployment.Cluster().Leader(), milliseconds(3000));
  deployment.Cluster().Run(kCatchUp);
  EXPECT_EQ(deployment.Check(), "");
}

// Guards against a host that has announced its stop and still counts towards the majority until it has been silent for
// some time: a disk may be lost within that time.
TEST(ConsensusMembershipTest, LostDiskRightAfterAnnouncedStop) {
  for (std::uint32_t stopped = 1; stopped <= 3; ++stopped) {
    Deployment deployment(3, 1, stopped);
    deployment.Add();
    deployment.Cluster().Run(kCatchUp);
    deployment.StopForGood(stopped, true);
    deployment.LoseDisk(deployment.Cluster().Leader() != 0 ? deployment.Cluster().Leader() : 4, milliseconds(3000));
    deployment.Cluster().Run(kCatchUp);
    EXPECT_EQ(deployment.Check(), "") << "stopped host " << stopped;
  }
}

// Guards against a group of two voters between the removal of a silent voter and the promotion of its successor, which
// the loss of one more disk would end for good although the silent voter is only cut off.
TEST(ConsensusMembershipTest, SuccessorVotesBeforeSilentVoterIsRemoved) {
  Deployment deployment(3, 1, 1);
  RaftCluster& cluster = deployment.Cluster();
  const std::uint32_t cut_off = cluster.Leader() % 3 + 1;
  cluster.Isolate(cut_off, true, true);
  cluster.Run(kCatchUp);
  deployment.Add();
  std::size_t fewest_voters = 3;
  for (int step = 0; step < 4000; ++step) {
    cluster.Run(milliseconds(1));
    fewest_voters = std::min(fewest_voters, deployment.Configuration().VoterCount());
  }
  EXPECT_EQ(fewest_voters, 3U);
  EXPECT_TRUE(deployment.Configuration().HasVoter(cluster.Node(4).Self()));
}

// Guards against the removal of a cut-off minority that the group needs in order to outlast the lost disks that it
// tolerates.
TEST(ConsensusMembershipTest, CutOffMinorityStaysWhileItsDisksAreNeeded) {
  Deployment deployment(5, 2, 1);
  RaftCluster& cluster = deployment.Cluster();
  const std::uint32_t leader = cluster.Leader();
  std::vector<std::uint32_t> order = deployment.Hosts();
  std::iter_swap(order.begin() + 4, std::find(order.begin(), order.end(), leader));
  deployment.Cut(order, 2);
  cluster.Run(3 * kCatchUp);
  EXPECT_EQ(deployment.Configuration().VoterCount(), 5U);
  ASSERT_TRUE(deployment.Accepts());
  cluster.WipeUnconditionally(order[2]);
  cluster.WipeUnconditionally(order[3]);
  cluster.Start(order[2]);
  cluster.Start(order[3]);
  cluster.Run(kCatchUp);
  cluster.Faults().m_blocked_links.clear();
  cluster.Run(kCatchUp);
  EXPECT_EQ(deployment.Check(), "");
}

// Guards against a host whose seeds are all gone when it loses its disk: it has no member to ask, and stays out
// although the others go on sending to its former identity.
TEST(ConsensusMembershipTest, HostWithoutLiveSeedsRejoinsWithNewDisk) {
  for (const std::uint32_t hosts : {3U, 4U}) {
    for (const milliseconds down_for : {milliseconds(500), milliseconds(6000)}) {
      Deployment deployment(hosts, 1, 1);
      deployment.Cluster().SetSeeds({90, 91, 92});
      const std::uint32_t lost = deployment.Cluster().Leader() % hosts + 1;
      deployment.LoseDisk(lost, down_for);
      deployment.Cluster().Run(kCatchUp);
      EXPECT_TRUE(deployment.Configuration().HasVoter(deployment.Cluster().Node(lost).Self()))
          << hosts << " hosts, down for " << down_for.count() << " ms";
      EXPECT_EQ(deployment.Check(), "");
    }
  }
}

// A size of the group and the number of lost disks that it must tolerate at a time.
struct GroupSize {
  std::uint32_t m_hosts = 3;
  std::size_t m_tolerated = 1;
};

std::ostream& operator<<(std::ostream& out, const GroupSize& size) {
  return out << size.m_hosts << " hosts, " << size.m_tolerated << " lost disks";
}

class MembershipSequenceTest : public testing::TestWithParam<GroupSize> {};

// Guards against lost changes, two hosts with a lease and a group without a leader although all its hosts run and are
// connected, after any sequence of joins, planned and unplanned replacements, restarts, cuts, lost disks and losses of
// power.
TEST_P(MembershipSequenceTest, LeaderReturnsAfterEveryStep) {
  constexpr std::uint64_t kSeeds = 40;
  constexpr int kSteps = 8;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Deployment deployment(GetParam().m_hosts, GetParam().m_tolerated, seed);
    for (int step = 0; step < kSteps; ++step) {
      deployment.Step();
      ASSERT_EQ(deployment.Check(), "") << "seed " << seed << ", step " << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipSequenceTest,
                         testing::Values(GroupSize{3, 1}, GroupSize{5, 1}, GroupSize{5, 2}, GroupSize{6, 2},
                                         GroupSize{8, 2}));

}  // namespace
}  // namespace fighatch
