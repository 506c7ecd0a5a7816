// Guards against a host that answers for, or counts, what its disk does not hold yet.
#include <gtest/gtest.h>

#include "fighatch/hash.h"
#include "fighatch/raft_node.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;

constexpr RaftPeer kSelf{HostId{1}, kFoundingDiskId};
constexpr RaftPeer kSecond{HostId{2}, kFoundingDiskId};
constexpr RaftPeer kThird{HostId{3}, kFoundingDiskId};
constexpr std::int64_t kSentNs = 7;

// A voter of three in term 1 whose writes end only when the test says so.
class ConsensusPersistenceTest : public testing::Test {
 protected:
  static StoredLog MakeStored() {
    StoredLog stored;
    stored.m_identity = {kSelf, {{{kSelf, true}, {kSecond, true}, {kThird, true}}, {}}};
    stored.m_vote.m_term = 1;
    stored.m_entries = {{1, 1, EntryKind::kPayload, "a"}};
    return stored;
  }

  RaftOutput Receive(const RaftPeer& from, Term term, decltype(RaftMessage::m_body) body) {
    m_node.Receive(m_now, {from, kSelf, term, std::move(body)});
    return m_node.TakeOutput();
  }
  RaftOutput Wait(milliseconds span) {
    m_now += span;
    m_node.Tick(m_now);
    return m_node.TakeOutput();
  }
  RaftOutput FinishWrite() {
    m_node.OnPersisted(m_now);
    return m_node.TakeOutput();
  }
  // Runs until the election timeout and wins the pre-vote; the own vote is being written.
  void BecomeCandidate() {
    (void)Wait(milliseconds(1000));
    (void)Receive(kSecond, 1, VoteReply{true, true, m_node.CurrentTerm() + 1});
    ASSERT_EQ(m_node.Role(), RaftRole::kCandidate);
  }
  // Leads in term 2; its empty entry has index 2, is being written, and is not committed.
  void BecomeLeader() {
    BecomeCandidate();
    (void)FinishWrite();
    (void)Receive(kSecond, 2, VoteReply{false, true, 2});
    ASSERT_EQ(m_node.Role(), RaftRole::kLeader);
  }
  template <typename Body>
  static std::vector<Body> Bodies(const RaftOutput& output) {
    std::vector<Body> bodies;
    for (const RaftMessage& message : output.m_messages) {
      if (const Body* body = std::get_if<Body>(&message.m_body)) bodies.push_back(*body);
    }
    return bodies;
  }

  TimePoint m_now{milliseconds(1000)};
  RaftNode m_node{RaftOptions{}, MakeStored(), m_now, Random(1)};
};

// Guards against two votes in a term: a vote that was told and then lost with a crash.
TEST_F(ConsensusPersistenceTest, VoteIsToldOncePersisted) {
  (void)Wait(milliseconds(400));
  EXPECT_TRUE(Receive(kSecond, 7, VoteRequest{false, false, 1, 1}).m_messages.empty());
  EXPECT_TRUE(Receive(kThird, 7, AppendRequest{1, 1, 0, kSentNs, {}}).m_messages.empty());
  const RaftOutput output = FinishWrite();
  ASSERT_EQ(Bodies<VoteReply>(output).size(), 1U);
  EXPECT_TRUE(Bodies<VoteReply>(output)[0].m_granted);
  EXPECT_EQ(Bodies<AppendReply>(output).size(), 1U);
}

// Guards against a candidate that asks for votes, or wins, in a term that it could forget.
TEST_F(ConsensusPersistenceTest, CandidateAsksOncePersisted) {
  BecomeCandidate();
  (void)Receive(kSecond, 1, VoteReply{false, true, 2});
  (void)Receive(kThird, 1, VoteReply{false, true, 2});
  EXPECT_EQ(m_node.Role(), RaftRole::kCandidate);
  const RaftOutput output = FinishWrite();
  EXPECT_EQ(Bodies<VoteRequest>(output).size(), 2U);
  EXPECT_EQ(m_node.Role(), RaftRole::kLeader);
}

// Guards against elections that end without a leader because votes take longer than the election timeout.
TEST_F(ConsensusPersistenceTest, LateVoteCounts) {
  BecomeCandidate();
  (void)FinishWrite();
  (void)Wait(milliseconds(3000));
  ASSERT_EQ(m_node.Role(), RaftRole::kPreCandidate);
  (void)Receive(kThird, 2, VoteReply{false, true, 2});
  EXPECT_EQ(m_node.Role(), RaftRole::kLeader);
  EXPECT_EQ(m_node.CurrentTerm(), 2U);
}

// Guards against a new election that a host helps to start while it still persists its vote in the last one.
TEST_F(ConsensusPersistenceTest, NoElectionWhileAVoteIsWritten) {
  (void)Wait(milliseconds(400));
  (void)Receive(kSecond, 7, VoteRequest{false, false, 1, 1});
  EXPECT_TRUE(Receive(kThird, 8, VoteRequest{true, false, 1, 1}).m_messages.empty());
  for (int round = 0; round < 20; ++round) EXPECT_TRUE(Wait(milliseconds(400)).m_messages.empty());
  EXPECT_EQ(m_node.Role(), RaftRole::kFollower);
  (void)FinishWrite();
  EXPECT_EQ(Bodies<VoteReply>(Receive(kThird, 8, VoteRequest{true, false, 1, 1})).size(), 1U);
}

// Guards against a wait for votes that is shorter than the votes take, one below the election timeout, and one that a
// hung disk makes as long as it hung.
TEST_F(ConsensusPersistenceTest, NextElectionWaitsTwiceTheWriteWithinBounds) {
  struct Case {
    milliseconds m_write;
    milliseconds m_earliest;
  };
  const milliseconds timeout = std::chrono::duration_cast<milliseconds>(RaftOptions{}.m_election_timeout);
  for (const Case& expected : {Case{milliseconds(0), timeout}, Case{milliseconds(3000), milliseconds(6000) + timeout},
                               Case{milliseconds(9000), milliseconds(8000) + timeout}}) {
    RaftNode node(RaftOptions{}, MakeStored(), m_now, Random(1));
    const TimePoint started = m_now + milliseconds(400);
    node.Receive(started, {kSecond, kSelf, 7, VoteRequest{false, false, 1, 1}});
    ASSERT_TRUE(node.TakeOutput().HasDataToPersist());
    const TimePoint ended = started + expected.m_write;
    node.OnPersisted(ended);
    EXPECT_GE(node.NextDeadline() - ended, expected.m_earliest);
    EXPECT_LE(node.NextDeadline() - ended, expected.m_earliest + timeout);
  }
}

// Guards against an entry that the leader counts as stored here and that a crash takes away, and against a heartbeat
// that waits for the disk.
TEST_F(ConsensusPersistenceTest, EntriesAreVouchedForOncePersisted) {
  const LogEntry entry{2, 1, EntryKind::kPayload, "b"};
  const RaftOutput output = Receive(kSecond, 1, AppendRequest{1, 1, 2, kSentNs, {entry}});
  EXPECT_EQ(Bodies<AppendReceipt>(output), (std::vector<AppendReceipt>{{2, kSentNs}}));
  EXPECT_TRUE(Bodies<AppendReply>(output).empty());
  EXPECT_EQ(m_node.PersistedIndex(), 1U);
  const RaftOutput heartbeat = Receive(kSecond, 1, AppendRequest{2, 1, 2, kSentNs + 1, {}});
  EXPECT_EQ(Bodies<AppendReceipt>(heartbeat), (std::vector<AppendReceipt>{{2, kSentNs + 1}}));
  EXPECT_EQ(Bodies<AppendReply>(FinishWrite()), (std::vector<AppendReply>{{true, 2, kSentNs + 1}}));
}

// Guards against vouching for an entry that another leader's entry has replaced while it was written.
TEST_F(ConsensusPersistenceTest, ReplacedEntryIsNotVouchedFor) {
  (void)Receive(kSecond, 1, AppendRequest{1, 1, 0, kSentNs, {{2, 1, EntryKind::kPayload, "b"}}});
  const RaftOutput output = Receive(kThird, 2, AppendRequest{1, 1, 0, kSentNs, {{2, 2, EntryKind::kPayload, "c"}}});
  EXPECT_TRUE(output.m_messages.empty());
  const RaftOutput first = FinishWrite();
  EXPECT_EQ(m_node.PersistedIndex(), 1U);
  EXPECT_TRUE(first.m_messages.empty()) << "the term is not persisted";
  EXPECT_EQ(first.m_entries.size(), 1U);
  EXPECT_EQ(Bodies<AppendReply>(FinishWrite()), (std::vector<AppendReply>{{true, 2, kSentNs}}));
}

// Guards against a commit that counts the leader's own entry before its disk has it, and against one that waits for the
// leader's disk although a majority of the others has the entry.
TEST_F(ConsensusPersistenceTest, LeaderCountsItsOwnEntriesOncePersisted) {
  BecomeLeader();
  EXPECT_TRUE(Receive(kSecond, 2, AppendReply{true, 2, kSentNs}).m_committed.empty());
  EXPECT_EQ(FinishWrite().m_committed.size(), 2U);
  ASSERT_TRUE(IsOk(m_node.Propose(m_now, "b")));
  (void)m_node.TakeOutput();
  (void)Receive(kSecond, 2, AppendReply{true, 3, kSentNs});
  EXPECT_EQ(Receive(kThird, 2, AppendReply{true, 3, kSentNs}).m_committed.size(), 1U);
  EXPECT_EQ(m_node.PersistedIndex(), 2U);
}

// Guards against a leader that goes on sending to a member whose disk hangs, until the member's memory is full, and
// against one that takes proposals without end while its own disk hangs.
TEST_F(ConsensusPersistenceTest, UnpersistedBytesAreBounded) {
  BecomeLeader();
  const RaftOptions options;
  const std::string payload(kMaxEntryPayloadBytes, 'x');
  std::size_t accepted = 0;
  while (accepted < 100 && IsOk(m_node.Propose(m_now, payload))) ++accepted;
  EXPECT_EQ(accepted, options.m_max_unpersisted_bytes_of_leader / kMaxEntryPayloadBytes + 1);
  std::size_t sent = 0;
  for (LogIndex received = 2; received < 2 + accepted; received += 1) {
    const RaftOutput output = Receive(kSecond, 2, AppendReceipt{received, kSentNs});
    const std::vector<AppendRequest> requests = Bodies<AppendRequest>(output);
    if (requests.empty() || requests[0].m_entries.empty()) break;
    ++sent;
  }
  EXPECT_EQ(sent, options.m_max_unpersisted_bytes_of_member / kMaxEntryPayloadBytes + 1);
}

// Guards against a snapshot that the leader takes as installed although it is not on the disk.
TEST_F(ConsensusPersistenceTest, SnapshotIsInstalledOncePersisted) {
  const std::string state = "state";
  const SnapshotChunk chunk{
      9, 1, MakeStored().m_identity.m_founding_configuration, 0, state.size(), HashText(state), kSentNs, state};
  const RaftOutput output = Receive(kSecond, 1, chunk);
  EXPECT_TRUE(output.m_snapshot.has_value());
  EXPECT_EQ(Bodies<SnapshotReply>(output), (std::vector<SnapshotReply>{{9, state.size(), false, kSentNs}}));
  EXPECT_EQ(Bodies<AppendReply>(FinishWrite()), (std::vector<AppendReply>{{true, 9, kSentNs}}));
}

// Guards against a host that seems to take part in the group although its disk hangs.
TEST_F(ConsensusPersistenceTest, HostWithAStalledWriteIsSilent) {
  (void)Receive(kSecond, 1, AppendRequest{1, 1, 0, kSentNs, {{2, 1, EntryKind::kPayload, "b"}}});
  m_now += RaftOptions{}.m_stalled_write_after + milliseconds(1);
  EXPECT_TRUE(Receive(kSecond, 1, AppendRequest{2, 1, 0, kSentNs, {}}).m_messages.empty());
  EXPECT_TRUE(Wait(milliseconds(1000)).m_messages.empty());
  EXPECT_EQ(Bodies<AppendReply>(FinishWrite()).size(), 1U);
}

}  // namespace
}  // namespace fighatch
