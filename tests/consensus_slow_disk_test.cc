// Guards against a group that has no lasting leader, or loses what it accepted, because its disks are slow or stall.
#include <gtest/gtest.h>

#include <ostream>

#include "open_group_deployment.h"

namespace fighatch {
namespace {

using testing_support::Deployment;
using testing_support::kCatchUp;
using testing_support::milliseconds;
using testing_support::RaftCluster;
using testing_support::SyncTime;

// The time within which an order is acknowledged while the group is stable.
constexpr milliseconds kAcknowledgeTime{5000};

struct SlowDisks {
  std::uint32_t m_hosts = 3;
  SyncTime m_time;
};

std::ostream& operator<<(std::ostream& out, const SlowDisks& disks) {
  const SyncTime& time = disks.m_time;
  return out << disks.m_hosts << " hosts, syncs of " << time.m_shortest.count() << " to " << time.m_longest.count()
             << " ms, " << time.m_stall_percent << "% of " << time.m_stall.count() << " ms";
}

// All disks are slow from the start of the process on, so that the first election is slow, too.
class SlowDiskTest : public testing::TestWithParam<SlowDisks> {
 protected:
  static constexpr std::uint64_t kSeeds = 10;

  // Starts the hosts and waits up to 30 s for a leader that has committed an entry of its term, and for the end of
  // elections that began before it had won: a host that writes its vote in a later term still deposes it.
  static std::uint32_t StartAndAwaitLeader(RaftCluster* cluster) {
    for (std::uint32_t id = 1; id <= GetParam().m_hosts; ++id) cluster->SetSyncTime(id, GetParam().m_time);
    for (int round = 0; round < 300; ++round) {
      cluster->Run(milliseconds(100));
      const std::uint32_t leader = cluster->Leader();
      if (leader != 0 && cluster->Node(leader).HasLease(cluster->Time()) && IsNewestTerm(*cluster, leader)) {
        return leader;
      }
    }
    return 0;
  }

  static bool IsNewestTerm(const RaftCluster& cluster, std::uint32_t leader) {
    const Term term = cluster.Node(leader).CurrentTerm();
    for (std::uint32_t id = 1; id <= GetParam().m_hosts; ++id) {
      if (cluster.Node(id).CurrentTerm() > term) return false;
    }
    return true;
  }
};

// Guards against elections that start anew before the votes of the last one are persisted, and against a leader that is
// deposed because it, or a voter, waits for its disk.
TEST_P(SlowDiskTest, LeaderIsElectedAndLasts) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RaftCluster cluster(GetParam().m_hosts, seed, true);
    const std::uint32_t leader = StartAndAwaitLeader(&cluster);
    ASSERT_NE(leader, 0U) << "seed " << seed;
    const Term term = cluster.Node(leader).CurrentTerm();
    for (std::uint64_t number = 1; number <= 20; ++number) {
      cluster.Submit(leader, testing_support::MakeTicket(number));
      cluster.Run(kAcknowledgeTime);
      ASSERT_EQ(cluster.Node(leader).Role(), RaftRole::kLeader) << "seed " << seed << ", change " << number;
      ASSERT_EQ(cluster.Node(leader).CurrentTerm(), term) << "seed " << seed << ", change " << number;
      ASSERT_EQ(cluster.Oracle().AcceptedCount(), number) << "seed " << seed;
    }
    EXPECT_EQ(cluster.Oracle().Violation(), "") << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Times, SlowDiskTest,
                         testing::Values(SlowDisks{3, {milliseconds(150), milliseconds(150)}},
                                         SlowDisks{3, {milliseconds(30), milliseconds(30), 20, milliseconds(250)}},
                                         SlowDisks{3, {milliseconds(3), milliseconds(3), 3, milliseconds(1500)}},
                                         SlowDisks{3, {milliseconds(1), milliseconds(2000)}},
                                         SlowDisks{5, {milliseconds(150), milliseconds(150)}},
                                         SlowDisks{5, {milliseconds(1), milliseconds(2000)}}));

// Guards against a restarted host with a new disk that stays a learner for longer than it counts as lost, so that the
// next lost disk ends the group for good.
TEST(SlowDiskLossTest, LostDisksInARowOnStallingDisks) {
  const std::array<SyncTime, 4> times{{{milliseconds(30), milliseconds(30), 20, milliseconds(250)},
                                       {milliseconds(3), milliseconds(3), 3, milliseconds(1500)},
                                       {milliseconds(70), milliseconds(70)},
                                       {milliseconds(150), milliseconds(150)}}};
  for (std::size_t at = 0; at < times.size(); ++at) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Deployment deployment(3, 1, seed);
      deployment.SlowDisksDown(3, times[at]);
      ASSERT_EQ(deployment.Check(), "");
      for (int loss = 0; loss < 4; ++loss) {
        for (int change = 0; change < 10; ++change) (void)deployment.Accepts();
        const std::uint32_t leader = deployment.Cluster().Leader();
        deployment.LoseDisk(leader != 0 ? leader : 1, milliseconds(3000));
        deployment.Cluster().Run(kCatchUp);
      }
      deployment.CatchUp();
      ASSERT_EQ(deployment.Check(), "") << "times " << at << ", seed " << seed;
    }
  }
}

// The number of hosts, and of those with slow disks.
struct SlowGroup {
  std::uint32_t m_hosts = 3;
  std::size_t m_tolerated = 1;
  std::size_t m_slow = 3;
};

std::ostream& operator<<(std::ostream& out, const SlowGroup& group) {
  return out << group.m_hosts << " hosts, " << group.m_tolerated << " lost disks, " << group.m_slow << " slow";
}

class SlowDiskSequenceTest : public testing::TestWithParam<SlowGroup> {};

// Guards against lost changes, two hosts with a lease and a group without a leader, after any sequence of replacements,
// restarts, cuts, lost disks and losses of power while syncs take 1 ms to 2 s.
TEST_P(SlowDiskSequenceTest, LeaderReturnsAfterEveryStep) {
  constexpr std::uint64_t kSeeds = 12;
  constexpr int kSteps = 6;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    Deployment deployment(GetParam().m_hosts, GetParam().m_tolerated, seed);
    for (int step = 0; step < kSteps; ++step) {
      const milliseconds longest(1 + random.Below(2000));
      deployment.SlowDisksDown(std::min(GetParam().m_slow, deployment.Hosts().size()), {milliseconds(1), longest});
      deployment.Step();
      ASSERT_EQ(deployment.Check(), "") << "seed " << seed << ", step " << step << ", syncs up to " << longest.count();
    }
  }
}

constexpr std::size_t kAll = 100;

INSTANTIATE_TEST_SUITE_P(Groups, SlowDiskSequenceTest,
                         testing::Values(SlowGroup{3, 1, 1}, SlowGroup{3, 1, 2}, SlowGroup{3, 1, kAll},
                                         SlowGroup{5, 2, 2}, SlowGroup{5, 2, kAll}));

// Guards against a leader whose disk hangs and that keeps the others from accepting changes, and against one that leads
// on without a disk.
TEST(HungDiskTest, OthersGoOnAndReplaceTheLeader) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Deployment deployment(3, 1, seed);
    RaftCluster& cluster = deployment.Cluster();
    const std::uint32_t hung = cluster.Leader();
    cluster.SetSyncTime(hung, {std::chrono::hours(1), std::chrono::hours(1)});
    ASSERT_TRUE(deployment.Accepts());
    ASSERT_TRUE(deployment.Accepts());
    cluster.Run(milliseconds(12000));
    EXPECT_NE(cluster.Leader(), hung);
    EXPECT_EQ(deployment.Check(), "") << "seed " << seed;
    cluster.Crash(hung);
    cluster.SetSyncTime(hung, {});
    cluster.Start(hung);
    cluster.Run(kCatchUp);
    EXPECT_EQ(deployment.Check(), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace fighatch
