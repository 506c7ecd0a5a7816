#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "raft_cluster.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using testing_support::RaftCluster;

Ticket MakeTicket(std::uint64_t number, std::uint32_t author) {
  Ticket ticket;
  ticket.m_number.m_value = number;
  ticket.m_author = "operator-" + std::to_string(author);
  ticket.m_data_centres.push_back({"dc" + std::to_string(number % 5), {}, DataCentreState::kIn, "r1", {}});
  return ticket;
}

// One step of a random run: a fault or a request, followed by a wait. `ApplyAction` defines the kinds.
struct Action {
  int m_kind = 0;
  std::uint32_t m_host = 1;
  std::uint32_t m_amount = 0;
  std::uint32_t m_wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << "{" << action.m_kind << ", " << action.m_host << ", " << action.m_amount << ", " << action.m_wait_ms
             << "}";
}

void ApplyAction(RaftCluster* cluster, const Action& action) {
  const std::uint32_t host = action.m_host;
  const std::uint32_t amount = action.m_amount;
  const std::uint32_t leader = cluster->Leader() == 0 ? host : cluster->Leader();
  switch (action.m_kind) {
    case 0:
      return cluster->Crash(host);
    case 1:
      return cluster->CrashDuringFileCall(amount % 2 == 0 ? leader : host, amount % 13);
    case 2:
      return cluster->Isolate(host, amount % 3 != 0, amount % 3 != 1);
    case 3:
      return cluster->Faults().m_blocked_links.clear();
    case 4:
      cluster->Faults().m_loss_percent = amount % 60;
      cluster->Faults().m_duplicate_percent = amount % 30;
      cluster->Faults().m_max_delay_ms = 1 + amount % 300;
      return;
    case 5:
      return cluster->WipeIfSafe(host);
    case 6:
      return cluster->JumpClock(host, milliseconds(amount * 10));
    case 7:
      return cluster->TransferLeadership(leader);
    case 8:
      return cluster->SubmitReadBarrier(amount % 3 == 0 ? host : leader);
    case 9:
    case 10:
      return cluster->Start(host);
    default:
      // Submits tickets with the same number at several hosts at once, and the same ticket repeatedly.
      for (std::uint32_t count = 0; count < amount % 8; ++count) {
        cluster->Submit(count % 2 == 0 ? leader : host, MakeTicket(1 + (amount + count) % 40, amount % 3));
      }
  }
}

std::string RunActions(std::uint32_t hosts, std::uint64_t seed, const std::vector<Action>& actions) {
  RaftCluster cluster(hosts, seed);
  cluster.Run(milliseconds(1500));
  for (const Action& action : actions) {
    ApplyAction(&cluster, action);
    cluster.Run(milliseconds(action.m_wait_ms));
    if (!cluster.Oracle().Violation().empty()) return cluster.Oracle().Violation();
  }
  if (!cluster.Heal()) return "the hosts did not reach the same state after all faults had ended";
  for (std::uint32_t host = 1; host <= hosts; ++host) cluster.Oracle().CheckAcceptedTickets(cluster.Processor(host));
  return cluster.Oracle().Violation();
}

rc::Gen<std::vector<Action>> GenerateActions(std::uint32_t hosts) {
  return rc::gen::container<std::vector<Action>>(rc::gen::build<Action>(
      rc::gen::set(&Action::m_kind, rc::gen::inRange(0, 20)),
      rc::gen::set(&Action::m_host, rc::gen::inRange<std::uint32_t>(1, hosts + 1)),
      rc::gen::set(&Action::m_amount, rc::gen::inRange<std::uint32_t>(0, 1000)),
      rc::gen::set(&Action::m_wait_ms, rc::gen::element<std::uint32_t>(0, 1, 10, 100, 400, 1200))));
}

// Guards against lost or twice accepted tickets, diverging logs, two hosts with a lease and a group that does not
// recover, under any combination of crashes in writes, lossy networks, one-way partitions, lost disks and clock jumps.
RC_GTEST_PROP(ConsensusFaultTest, ThreeHostsAgree, (std::uint64_t seed)) {
  const std::vector<Action> actions = *GenerateActions(3);
  RC_ASSERT(RunActions(3, seed, actions) == "");
}

// Guards against miscounted majorities in a larger group.
RC_GTEST_PROP(ConsensusFaultTest, FiveHostsAgree, (std::uint64_t seed)) {
  const std::vector<Action> actions = *GenerateActions(5);
  RC_ASSERT(RunActions(5, seed, actions) == "");
}

// Guards against a failure that two random runs found: a host crashed while it opened its folder, right after a
// leadership transfer.
TEST(ConsensusRegressionTest, CrashWhileOpeningFolder) {
  EXPECT_EQ(RunActions(3, 25, {{7, 1, 0, 1200}, {1, 2, 395, 10}, {0, 1, 0, 1200}, {1, 2, 0, 1}, {9, 2, 0, 0}}), "");
  EXPECT_EQ(RunActions(5, 170792, {{7, 1, 0, 10}, {1, 1, 0, 1}, {11, 1, 1, 10}, {1, 2, 0, 400}, {9, 2, 0, 0}}), "");
}

class ConsensusTest : public testing::Test {
 protected:
  ConsensusTest() : m_cluster(3, 1) { m_cluster.Run(milliseconds(1500)); }
  std::uint32_t Follower() { return m_cluster.Leader() % 3 + 1; }
  void SubmitMany(std::uint64_t from, std::uint64_t to) {
    for (std::uint64_t number = from; number <= to; ++number) {
      m_cluster.Submit(m_cluster.Leader(), MakeTicket(number, 1));
      m_cluster.Run(milliseconds(20));
    }
  }
  ~ConsensusTest() override {
    EXPECT_TRUE(m_cluster.Heal());
    for (std::uint32_t host = 1; host <= 3; ++host) m_cluster.Oracle().CheckAcceptedTickets(m_cluster.Processor(host));
    EXPECT_EQ(m_cluster.Oracle().Violation(), "");
  }

  RaftCluster m_cluster;
};

// Guards against an isolated host that disrupts the group with a higher term when it returns.
TEST_F(ConsensusTest, ReturnFromIsolationKeepsLeaderAndTerm) {
  const std::uint32_t leader = m_cluster.Leader();
  const Term term = m_cluster.Node(leader).CurrentTerm();
  m_cluster.Isolate(Follower(), true, true);
  m_cluster.Run(milliseconds(20000));
  m_cluster.Faults().m_blocked_links.clear();
  m_cluster.Run(milliseconds(3000));
  EXPECT_EQ(m_cluster.Leader(), leader);
  EXPECT_EQ(m_cluster.Node(leader).CurrentTerm(), term);
}

// Guards against a leader that sends to its followers but receives nothing from them blocking the group indefinitely.
TEST_F(ConsensusTest, LeaderThatReceivesNothingIsReplaced) {
  const std::uint32_t leader = m_cluster.Leader();
  m_cluster.Isolate(leader, false, true);
  m_cluster.Run(milliseconds(3000));
  EXPECT_NE(m_cluster.Leader(), leader);
  EXPECT_NE(m_cluster.Leader(), 0U);
}

// Guards against a host with a lost disk that votes under its old identity or is excluded permanently, and against the
// loss of accepted tickets if a second disk is lost right after the first was replaced.
TEST_F(ConsensusTest, LostDiskRejoinsUnderNewIdentity) {
  SubmitMany(1, 20);
  const std::uint32_t lost = Follower();
  const RaftPeer old = m_cluster.Node(lost).Self();
  m_cluster.WipeIfSafe(lost);
  SubmitMany(21, 30);
  m_cluster.Start(lost);
  m_cluster.Run(milliseconds(3000));
  const RaftConfiguration configuration = m_cluster.Node(m_cluster.Leader()).Configuration();
  EXPECT_FALSE(configuration.HasMember(old));
  EXPECT_TRUE(configuration.IsRetired(old));
  EXPECT_TRUE(configuration.HasVoter(m_cluster.Node(lost).Self()));
  EXPECT_GT(m_cluster.SnapshotsInstalled(), 0U);
  m_cluster.WipeIfSafe(m_cluster.Leader());
  m_cluster.Run(milliseconds(3000));
  EXPECT_NE(m_cluster.Leader(), 0U);
  SubmitMany(31, 40);
  EXPECT_EQ(m_cluster.Oracle().AcceptedCount(), 40U);
}

// Guards against a planned shutdown that leaves the group without a leader for an election timeout.
TEST_F(ConsensusTest, TransferLeadershipTakesEffectImmediately) {
  SubmitMany(1, 5);
  const std::uint32_t leader = m_cluster.Leader();
  m_cluster.TransferLeadership(leader);
  m_cluster.Run(milliseconds(50));
  EXPECT_NE(m_cluster.Leader(), leader);
  EXPECT_NE(m_cluster.Leader(), 0U);
}

// Guards against a leader without a majority that accepts tickets or keeps its lease.
TEST_F(ConsensusTest, MinorityAcceptsNothing) {
  const std::uint32_t leader = m_cluster.Leader();
  m_cluster.Isolate(leader, true, true);
  m_cluster.Submit(leader, MakeTicket(1, 1));
  m_cluster.Run(milliseconds(3000));
  EXPECT_EQ(m_cluster.Node(leader).Role(), RaftRole::kPreCandidate);
  EXPECT_EQ(m_cluster.Oracle().AcceptedCount(), 0U);
  m_cluster.Submit(m_cluster.Leader(), MakeTicket(1, 2));
  m_cluster.Run(milliseconds(500));
  EXPECT_EQ(m_cluster.Oracle().AcceptedCount(), 1U);
}

}  // namespace
}  // namespace fighatch
