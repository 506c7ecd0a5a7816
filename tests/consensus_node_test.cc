#include <gtest/gtest.h>

#include "fighatch/raft_node.h"
#include "raft_cluster.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using testing_support::RaftCluster;

constexpr RaftPeer kSelf{HostId{1}, kFoundingDiskId};
constexpr RaftPeer kSecond{HostId{2}, kFoundingDiskId};
constexpr RaftPeer kThird{HostId{3}, kFoundingDiskId};

StoredLog MakeStored(std::vector<LogEntry> entries) {
  StoredLog stored;
  stored.m_identity = {kSelf, {{{kSelf, true}, {kSecond, true}, {kThird, true}}, {}}};
  stored.m_vote.m_term = 1;
  stored.m_entries = std::move(entries);
  return stored;
}

// A disk that persists at once.
class ConsensusNodeTest : public testing::Test {
 protected:
  RaftOutput Receive(const RaftPeer& from, Term term, decltype(RaftMessage::m_body) body) {
    m_node.Receive(m_now, {from, kSelf, term, std::move(body)});
    return TakeAllOutput();
  }
  void Wait(milliseconds span) {
    m_now += span;
    m_node.Tick(m_now);
    (void)TakeAllOutput();
  }
  // The output, and that which follows once its data is persisted.
  RaftOutput TakeAllOutput() {
    RaftOutput all = m_node.TakeOutput();
    for (RaftOutput last = all; last.HasDataToPersist();) {
      m_node.OnPersisted(m_now);
      last = m_node.TakeOutput();
      if (last.m_vote) all.m_vote = last.m_vote;
      std::copy(last.m_messages.begin(), last.m_messages.end(), std::back_inserter(all.m_messages));
      std::copy(last.m_committed.begin(), last.m_committed.end(), std::back_inserter(all.m_committed));
    }
    return all;
  }
  void BecomeLeader() {
    Wait(milliseconds(1000));
    const Term next = m_node.CurrentTerm() + 1;
    (void)Receive(kSecond, 1, VoteReply{true, true, next});
    (void)Receive(kSecond, next, VoteReply{false, true, next});
    ASSERT_EQ(m_node.Role(), RaftRole::kLeader);
  }

  TimePoint m_now{milliseconds(1000)};
  RaftNode m_node{RaftOptions{}, MakeStored({{1, 1, EntryKind::kPayload, "a"}}), m_now, Random(1)};
};

// Guards against granting a vote to a candidate that lacks entries: as leader it would replace accepted ones.
TEST_F(ConsensusNodeTest, RefusesVoteToCandidateWithStaleLog) {
  Wait(milliseconds(400));
  for (const bool pre_vote : {true, false}) {
    const RaftOutput output = Receive(kSecond, 7, VoteRequest{pre_vote, false, 9, 0});
    ASSERT_EQ(output.m_messages.size(), 1U);
    EXPECT_FALSE(std::get<VoteReply>(output.m_messages[0].m_body).m_granted);
  }
  const RaftOutput output = Receive(kThird, 7, VoteRequest{false, false, 1, 1});
  EXPECT_TRUE(std::get<VoteReply>(output.m_messages.at(0).m_body).m_granted);
  EXPECT_EQ(output.m_vote, (RaftVote{7, kThird}));
}

// Guards against committing an entry of an earlier term because a majority stores it: another leader could still
// replace it.
TEST_F(ConsensusNodeTest, CommitsOnlyWithEntryOfOwnTerm) {
  BecomeLeader();
  const std::int64_t sent = m_now.time_since_epoch().count();
  EXPECT_TRUE(Receive(kSecond, 2, AppendReply{true, 1, sent}).m_committed.empty());
  EXPECT_EQ(Receive(kSecond, 2, AppendReply{true, 2, sent}).m_committed.size(), 2U);
}

// Guards against a lease or read barrier that an acknowledgement with an old or forged send time extends.
TEST_F(ConsensusNodeTest, LeaseExpiresWithoutAcknowledgements) {
  BecomeLeader();
  EXPECT_FALSE(m_node.HasLease(m_now));
  const std::int64_t far_future = (m_now + std::chrono::hours(1)).time_since_epoch().count();
  (void)Receive(kSecond, 2, AppendReply{true, 2, far_future});
  EXPECT_TRUE(m_node.HasLease(m_now));
  Wait(milliseconds(230));
  EXPECT_FALSE(m_node.HasLease(m_now));
  ASSERT_TRUE(IsOk(m_node.StartReadBarrier(m_now)));
  const std::int64_t before = (m_now - milliseconds(1)).time_since_epoch().count();
  EXPECT_TRUE(Receive(kSecond, 2, AppendReply{true, 2, before}).m_passed_read_barriers.empty() ||
              m_node.HasLease(m_now));
}

// Guards against accepting entries with gaps or with terms above the message's term, and messages for another disk.
TEST_F(ConsensusNodeTest, IgnoresMalformedRequests) {
  const std::vector<LogEntry> gap{{2, 1, EntryKind::kPayload, "b"}, {4, 1, EntryKind::kPayload, "c"}};
  EXPECT_TRUE(Receive(kSecond, 1, AppendRequest{1, 1, 9, 0, gap}).m_messages.empty());
  const std::vector<LogEntry> future{{2, 5, EntryKind::kPayload, "b"}};
  EXPECT_TRUE(Receive(kSecond, 1, AppendRequest{1, 1, 9, 0, future}).m_messages.empty());
  m_node.Receive(m_now, {kSecond, {HostId{1}, DiskId{77}}, 9, TimeoutNow{}});
  EXPECT_EQ(m_node.CurrentTerm(), 1U);
  EXPECT_EQ(m_node.Log().LastIndex(), 1U);
}

// Guards against an append request with the largest ticket exceeding the 64 KiB that the transport carries.
TEST_F(ConsensusNodeTest, LargestTicketFitsOneMessage) {
  BecomeLeader();
  for (int count = 0; count < 2; ++count) {
    ASSERT_TRUE(IsOk(m_node.Propose(m_now, std::string(kMaxEncodedTicketBytes, 'x'))));
  }
  // Entries are sent only after the reply to the request in flight.
  const RaftOutput output = Receive(kSecond, 2, AppendReply{true, 2, 0});
  ASSERT_FALSE(output.m_messages.empty());
  EXPECT_FALSE(std::get<AppendRequest>(output.m_messages[0].m_body).m_entries.empty());
  for (const RaftMessage& message : output.m_messages) EXPECT_LT(EncodeRaftMessage(message).size(), 63U * 1024);
}

// Guards against a restarted host that votes at once although it may have acknowledged a leader's lease just before it
// stopped. The host that can reach both sides of a partition is restarted repeatedly.
TEST(ConsensusLeaseTest, RestartedHostWaitsBeforeItVotes) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RaftCluster cluster(3, seed);
    cluster.Run(milliseconds(1500));
    const std::uint32_t leader = cluster.Leader();
    const std::uint32_t isolated = leader % 3 + 1;
    const std::uint32_t restarting = 6 - leader - isolated;
    cluster.Faults().m_blocked_links = {{leader, isolated}, {isolated, leader}};
    for (int round = 0; round < 10; ++round) {
      cluster.Run(milliseconds(350));
      cluster.Crash(restarting);
      cluster.Start(restarting);
    }
    cluster.Run(milliseconds(1000));
    EXPECT_EQ(cluster.Oracle().Violation(), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace fighatch
