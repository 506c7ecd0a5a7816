// Guards against membership changes of an open group that leave it without a majority that can come back.
#include <gtest/gtest.h>

#include <ostream>

#include "raft_cluster.h"

namespace fighatch {
namespace {

using testing_support::MakeTicket;
using testing_support::milliseconds;
using testing_support::RaftCluster;

// How long a host must have run and been connected before another one may be lost.
constexpr milliseconds kCatchUp{4000};

// A group with open admission and the operations of its deployment. Every operation keeps within the losses that the
// group must tolerate: at most `m_tolerated` disks at a time, and any number of hosts that are down or cut off.
class Deployment {
 public:
  Deployment(std::uint32_t hosts, std::size_t tolerated, std::uint64_t seed)
      : m_random(seed), m_tolerated(tolerated), m_cluster(hosts, seed, true, tolerated), m_next_host(hosts + 1) {
    for (std::uint32_t id = 1; id <= hosts; ++id) m_hosts.push_back(id);
    m_cluster.Run(kCatchUp);
  }

  [[nodiscard]] RaftCluster& Cluster() { return m_cluster; }
  [[nodiscard]] const std::vector<std::uint32_t>& Hosts() const { return m_hosts; }
  [[nodiscard]] const RaftConfiguration& Configuration() { return m_cluster.Node(m_cluster.Leader()).Configuration(); }

  std::uint32_t Add() {
    m_hosts.push_back(m_next_host);
    m_cluster.AddHost(m_next_host);
    return m_next_host++;
  }

  void StopForGood(std::uint32_t id, bool announced) {
    if (announced) m_cluster.AnnounceStop(id);
    m_cluster.RemoveHost(id);
    std::erase(m_hosts, id);
  }

  void LoseDisk(std::uint32_t id, milliseconds down_for) {
    m_cluster.WipeUnconditionally(id);
    m_cluster.Run(down_for);
    m_cluster.Start(id);
  }

  // Cuts the first `count` hosts of `order` off from the others.
  void Cut(const std::vector<std::uint32_t>& order, std::size_t count) {
    for (std::size_t inside = 0; inside < count; ++inside) {
      for (std::size_t outside = count; outside < order.size(); ++outside) {
        m_cluster.Faults().m_blocked_links.insert({order[inside], order[outside]});
        m_cluster.Faults().m_blocked_links.insert({order[outside], order[inside]});
      }
    }
  }

  // Submits a change and returns whether the leader has applied it within 500 ms.
  bool Accepts() {
    const std::uint32_t leader = m_cluster.Leader();
    if (leader == 0) return false;
    m_cluster.Submit(leader, MakeTicket(++m_number));
    m_cluster.Run(milliseconds(500));
    const std::uint32_t now = m_cluster.Leader();
    return now != 0 &&
           m_cluster.Processor(now).Find(TicketNumber{m_number}, DigestOf(MakeTicket(m_number))).has_value();
  }

  // What is wrong with the group while all its hosts run and are connected; empty if nothing is.
  std::string Check() {
    if (!m_cluster.Oracle().Violation().empty()) return m_cluster.Oracle().Violation();
    if (!Accepts()) return "no leader accepts a change";
    m_cluster.Oracle().CheckAcceptedTickets(m_cluster.Processor(m_cluster.Leader()));
    return m_cluster.Oracle().Violation();
  }

  // One random operation, after which all hosts run and have had time to catch up.
  void Step() {
    (void)Accepts();
    static constexpr std::array<void (Deployment::*)(), 6> kOperations{
        &Deployment::ReplaceAsPlanned, &Deployment::ReplaceLostHost, &Deployment::LoseDisks,
        &Deployment::LosePower,        &Deployment::CutHostsOff,     &Deployment::RestartInTurn};
    (this->*kOperations.at(m_random.Below(kOperations.size())))();
    m_cluster.Run(kCatchUp);
  }

 private:
  std::uint32_t AnyHost() { return m_hosts.at(m_random.Below(m_hosts.size())); }
  milliseconds Pause(std::uint64_t limit_ms) { return milliseconds(m_random.Below(limit_ms)); }

  std::vector<std::uint32_t> Shuffled() {
    std::vector<std::uint32_t> order = m_hosts;
    for (std::size_t last = order.size(); last > 1; --last) std::swap(order[last - 1], order[m_random.Below(last)]);
    return order;
  }

  // The new hosts come first. Once they have caught up, the hosts that they replace do not count as lost, so that disks
  // may be lost right after the stops.
  void ReplaceAsPlanned() {
    const std::uint64_t count = 1 + m_random.Below(2);
    const std::vector<std::uint32_t> order = Shuffled();
    for (std::uint64_t added = 0; added < count; ++added) Add();
    m_cluster.Run(kCatchUp);
    for (std::uint64_t stopped = 0; stopped < count; ++stopped) {
      StopForGood(order.at(stopped), true);
      m_cluster.Run(Pause(3000));
    }
    if (m_random.Below(2) == 0) LoseDisks();
  }

  void ReplaceLostHost() {
    StopForGood(AnyHost(), false);
    m_cluster.Run(Pause(2000));
    Add();
  }

  void LoseDisks() {
    const std::vector<std::uint32_t> order = Shuffled();
    const std::uint64_t count = 1 + m_random.Below(m_tolerated);
    for (std::uint64_t lost = 0; lost < count; ++lost) m_cluster.WipeUnconditionally(order.at(lost));
    m_cluster.Run(Pause(3000));
    for (std::uint64_t lost = 0; lost < count; ++lost) m_cluster.Start(order.at(lost));
  }

  void LosePower() {
    for (const std::uint32_t id : m_hosts) m_cluster.Crash(id);
    for (const std::uint32_t id : Shuffled()) {
      m_cluster.Start(id);
      m_cluster.Run(Pause(300));
    }
  }

  // Cuts off any number of hosts, also half of them or more; a disk may be lost meanwhile.
  void CutHostsOff() {
    const std::vector<std::uint32_t> order = Shuffled();
    Cut(order, 1 + m_random.Below(order.size() - 1));
    m_cluster.Run(Pause(10000));
    (void)Accepts();
    if (m_random.Below(2) == 0) LoseDisks();
    m_cluster.Run(Pause(5000));
    m_cluster.Faults().m_blocked_links.clear();
  }

  void RestartInTurn() {
    for (const std::uint32_t id : Shuffled()) {
      m_cluster.AnnounceStop(id);
      m_cluster.Crash(id);
      m_cluster.Run(Pause(1000));
      m_cluster.Start(id);
      m_cluster.Run(Pause(1000));
    }
  }

  Random m_random;
  std::size_t m_tolerated;
  RaftCluster m_cluster;
  std::vector<std::uint32_t> m_hosts;
  std::uint32_t m_next_host;
  std::uint64_t m_number = 0;
};

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
