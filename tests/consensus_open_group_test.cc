#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "raft_cluster.h"

namespace fighatch {
namespace {

using testing_support::MakeTicket;
using testing_support::milliseconds;
using testing_support::RaftCluster;

// A group with open admission; the oracle's invariants are checked at the end of each test.
class OpenGroupTest : public testing::Test {
 protected:
  OpenGroupTest() : m_cluster(3, 1, true) { m_cluster.Run(milliseconds(1500)); }

  ~OpenGroupTest() override { EXPECT_EQ(m_cluster.Oracle().Violation(), ""); }

  // Submits a ticket and returns whether the leader has applied it within 100 ms.
  bool SubmitAndCheckAccepted(std::uint64_t number) {
    if (m_cluster.Leader() == 0) return false;
    m_cluster.Submit(m_cluster.Leader(), MakeTicket(number));
    m_cluster.Run(milliseconds(100));
    const std::uint32_t leader = m_cluster.Leader();
    return leader != 0 &&
           m_cluster.Processor(leader).Find(TicketNumber{number}, DigestOf(MakeTicket(number))).has_value();
  }

  const RaftConfiguration& Configuration() { return m_cluster.Node(m_cluster.Leader()).Configuration(); }
  std::uint32_t Follower() { return m_cluster.Leader() % 3 + 1; }

  RaftCluster m_cluster;
};

// Guards against a replacement host that never becomes a voter, and against a lost host that remains one.
TEST_F(OpenGroupTest, NewHostReplacesLostVoter) {
  ASSERT_TRUE(SubmitAndCheckAccepted(1));
  const std::uint32_t lost = Follower();
  m_cluster.RemoveHost(lost);
  m_cluster.Run(milliseconds(500));
  m_cluster.AddHost(7);
  m_cluster.Run(milliseconds(4000));
  EXPECT_EQ(Configuration().VoterCount(), 3U);
  EXPECT_TRUE(Configuration().HasVoter(m_cluster.Node(7).Self()));
  EXPECT_TRUE(SubmitAndCheckAccepted(2));
  m_cluster.Oracle().CheckAcceptedTickets(m_cluster.Processor(7));
}

// Guards against a second loss, after the first lost host was replaced, leaving the group without a majority.
TEST_F(OpenGroupTest, ToleratesSecondLossAfterRepair) {
  const std::uint32_t first = Follower();
  m_cluster.RemoveHost(first);
  m_cluster.AddHost(7);
  m_cluster.Run(milliseconds(4000));
  ASSERT_TRUE(SubmitAndCheckAccepted(1));
  m_cluster.WipeUnconditionally(m_cluster.Leader());
  m_cluster.Run(milliseconds(2000));
  EXPECT_TRUE(SubmitAndCheckAccepted(2));
}

// Guards against restarted hosts that serve no state until an election, although they know which entries were
// committed.
TEST_F(OpenGroupTest, AppliesKnownCommitBeforeElection) {
  ASSERT_TRUE(SubmitAndCheckAccepted(1));
  ASSERT_TRUE(SubmitAndCheckAccepted(2));
  m_cluster.Run(milliseconds(500));
  for (std::uint32_t id = 1; id <= 3; ++id) m_cluster.Crash(id);
  for (std::uint32_t id = 1; id <= 3; ++id) m_cluster.Start(id);
  for (std::uint32_t id = 1; id <= 3; ++id) {
    m_cluster.ProcessOutput(id);
    EXPECT_TRUE(m_cluster.Processor(id).Find(TicketNumber{2}, DigestOf(MakeTicket(2))).has_value());
  }
  EXPECT_EQ(m_cluster.Leader(), 0U);
  m_cluster.Run(milliseconds(1500));
  EXPECT_TRUE(SubmitAndCheckAccepted(3));
}

// Guards against a planned replacement in which the new host joins first, leaving four voters of which one has stopped.
TEST_F(OpenGroupTest, EvenGroupRemovesSilentVoter) {
  m_cluster.AddHost(7);
  m_cluster.Run(milliseconds(1500));
  EXPECT_EQ(Configuration().VoterCount(), 4U);
  m_cluster.RemoveHost(Follower());
  m_cluster.Run(milliseconds(4000));
  EXPECT_EQ(Configuration().VoterCount(), 3U);
  EXPECT_TRUE(SubmitAndCheckAccepted(1));
}

// Guards against a wiped host that votes under its old identity, and against replacing that identity in two membership
// changes, between which the group would depend on every remaining disk.
TEST_F(OpenGroupTest, WipedHostIsReplacedInOneStep) {
  ASSERT_TRUE(SubmitAndCheckAccepted(1));
  const std::uint32_t wiped = Follower();
  const RaftPeer before = m_cluster.Node(wiped).Self();
  m_cluster.WipeUnconditionally(wiped);
  m_cluster.Start(wiped);
  std::size_t min_voters = 3;
  for (int step = 0; step < 300; ++step) {
    m_cluster.Run(milliseconds(10));
    if (m_cluster.Leader() != 0) min_voters = std::min(min_voters, Configuration().VoterCount());
  }
  EXPECT_EQ(min_voters, 3U);
  EXPECT_TRUE(Configuration().IsRetired(before));
  EXPECT_TRUE(Configuration().HasVoter(m_cluster.Node(wiped).Self()));
}

// Guards against a host that was replaced while it was isolated and never rejoins.
TEST_F(OpenGroupTest, ReplacedHostRejoinsAfterPartition) {
  const std::uint32_t isolated = Follower();
  m_cluster.Isolate(isolated, true, true);
  m_cluster.Run(milliseconds(200));
  m_cluster.AddHost(7);
  m_cluster.Run(milliseconds(5000));
  ASSERT_FALSE(Configuration().HasVoter(m_cluster.Node(isolated).Self()));
  m_cluster.Faults().m_blocked_links.clear();
  m_cluster.Run(milliseconds(5000));
  EXPECT_TRUE(Configuration().HasVoter(m_cluster.Node(isolated).Self()));
  EXPECT_TRUE(SubmitAndCheckAccepted(1));
  m_cluster.Oracle().CheckAcceptedTickets(m_cluster.Processor(isolated));
}

// Guards against lost tickets and diverging logs while hosts join, leave, lose disks and are isolated in any order that
// leaves a majority with its disks.
RC_GTEST_PROP(OpenGroupProperty, KeepsWhatWasAccepted, (std::uint64_t seed)) {
  Random random(seed);
  RaftCluster cluster(3, seed, true);
  cluster.Run(milliseconds(1500));
  std::uint32_t next_host = 10;
  std::uint64_t number = 0;
  for (int step = 0; step < 12; ++step) {
    const std::uint32_t leader = cluster.Leader();
    if (leader != 0) cluster.Submit(leader, MakeTicket(++number));
    const bool has_all_voters = leader != 0 && cluster.Node(leader).Configuration().VoterCount() == 3;
    const std::uint64_t kind = random.Below(5);
    if (kind == 0 && has_all_voters) {
      cluster.WipeUnconditionally(leader);
      cluster.Start(leader);
    } else if (kind == 1 && has_all_voters && number > 2) {
      cluster.RemoveHost(leader);
      cluster.AddHost(next_host++);
    } else if (kind == 2 && leader != 0) {
      cluster.Crash(leader);
      cluster.Run(milliseconds(random.Below(800)));
      cluster.Start(leader);
    } else if (kind == 3 && leader != 0) {
      cluster.Isolate(leader, random.Below(2) == 0, true);
      cluster.Run(milliseconds(random.Below(3000)));
      cluster.Faults().m_blocked_links.clear();
    }
    // Long enough for the group to replace a lost voter: several faults at once could exceed what it tolerates.
    cluster.Run(milliseconds(6000));
    RC_ASSERT(cluster.Oracle().Violation() == "");
  }
  RC_ASSERT(cluster.Heal());
  RC_ASSERT(cluster.Leader() != 0);
  cluster.Oracle().CheckAcceptedTickets(cluster.Processor(cluster.Leader()));
  RC_ASSERT(cluster.Oracle().Violation() == "");
}

}  // namespace
}  // namespace fighatch
