#include "control/log_replica.h"

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "fighatch/file_log_storage.h"
#include "fighatch/hash.h"
#include "memory_directory.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;

const RaftPeer kSelf{HostId{1}, DiskId{1}};
const RaftPeer kOther{HostId{2}, DiskId{1}};

// The other voter: it grants every vote and answers nothing else, so that nothing is ever committed.
class VotingPeer : public MessageTransport {
 public:
  void Start(Receiver receive) override { m_receive = std::move(receive); }
  void Send(HostId /*to*/, std::vector<std::byte> bytes) override {
    const Result<RaftMessage> message = DecodeRaftMessage(bytes);
    if (!IsOk(message)) return;
    m_term = std::max(m_term, ValueOf(message).m_term);
    if (const auto* reply = std::get_if<AppendReply>(&ValueOf(message).m_body)) {
      m_last_answered_ns = reply->m_sent_ns;
      m_vouched_index = reply->m_index;
    }
    if (const auto* receipt = std::get_if<AppendReceipt>(&ValueOf(message).m_body)) {
      m_last_answered_ns = receipt->m_sent_ns;
    }
    if (const auto* request = std::get_if<VoteRequest>(&ValueOf(message).m_body)) {
      const Term request_term = ValueOf(message).m_term;
      const Term own_term = request->m_pre_vote ? request_term - 1 : request_term;
      Deliver(own_term, VoteReply{request->m_pre_vote, true, request_term});
    }
  }
  void Stop() override {}

  void Deliver(Term term, decltype(RaftMessage::m_body) body) {
    m_receive(EncodeRaftMessage({kOther, kSelf, term, std::move(body)}));
  }
  [[nodiscard]] Term HighestTerm() const { return m_term; }
  /// The time in the latest append request that was answered.
  [[nodiscard]] std::int64_t LastAnsweredNs() const { return m_last_answered_ns; }
  /// The index of the last `AppendReply`.
  [[nodiscard]] LogIndex VouchedIndex() const { return m_vouched_index; }

 private:
  Receiver m_receive;
  Term m_term = 0;
  std::int64_t m_last_answered_ns = 0;
  LogIndex m_vouched_index = 0;
};

class NoState : public ReplicatedStateMachine {
 public:
  std::any Apply(const LogEntry& /*entry*/) override { return {}; }
  [[nodiscard]] std::string EncodeSnapshot() const override { return {}; }
  [[nodiscard]] Status Restore(std::span<const std::byte> /*bytes*/) override { return OkStatus(); }
};

// Guards against a proposal that a later leader committed, and that its submitter is told was not accepted, because
// only the snapshot behind it arrives here.
TEST(LogReplicaTest, ProposalCoveredBySnapshotHasUnknownOutcome) {
  const io::Reactor reactor;
  testing_support::MemoryDirectory directory(1);
  const DiskIdentity identity{kSelf, {{{kSelf, true}, {kOther, true}}, {}}};
  ASSERT_TRUE(IsOk(FileLogStorage::Format(&directory, identity)));
  auto storage = FileLogStorage::Open(&directory, kSelf.m_host);
  ASSERT_TRUE(IsOk(storage));
  LogReplicaOptions options;
  options.m_submit_timeout = std::chrono::seconds(20);
  NoState machine;
  VotingPeer peer;
  LogReplica replica(options, ValueOf(storage).get(), ValueOf(storage)->TakeStored(), &machine, &peer);
  replica.Start([] {});
  while (replica.Node().Role() != RaftRole::kLeader) boost::this_fiber::sleep_for(milliseconds(5));
  std::optional<Result<std::any>> result;
  boost::fibers::fiber submitter([&] { result = replica.Submit("payload"); });
  while (replica.Node().Log().LastIndex() < 2) boost::this_fiber::sleep_for(milliseconds(5));
  const std::string state = "state";
  const Term next_term = peer.HighestTerm() + 1;
  peer.Deliver(next_term, SnapshotChunk{100, next_term, identity.m_founding_configuration, 0, state.size(),
                                        HashText(state), 0, state});
  // The entry after the snapshot shows that the proposal's index is committed, but not with which entry.
  peer.Deliver(next_term, AppendRequest{100, next_term, 101, 0, {{101, next_term, EntryKind::kEmpty, {}}}});
  submitter.join();
  ASSERT_TRUE(result.has_value() && !IsOk(*result));
  EXPECT_EQ(ErrorOf(*result).m_code, ErrorCode::kTicketOutcomeUnknown);
  replica.Stop();
}

// Guards against a control host that ends because its disk is full, and against one that accepts what it cannot store.
// It takes part again when there is room.
TEST(LogReplicaTest, FullDiskSuspendsTheHostWithoutEndingIt) {
  const io::Reactor reactor;
  testing_support::MemoryDirectory directory(1);
  ASSERT_TRUE(IsOk(FileLogStorage::Format(&directory, {kSelf, {{{kSelf, true}}, {}}})));
  auto storage = FileLogStorage::Open(&directory, kSelf.m_host);
  ASSERT_TRUE(IsOk(storage));
  LogReplicaOptions options;
  options.m_submit_timeout = milliseconds(500);
  NoState machine;
  VotingPeer peer;
  LogReplica replica(options, ValueOf(storage).get(), ValueOf(storage)->TakeStored(), &machine, &peer);
  replica.Start([] {});
  while (replica.Node().Role() != RaftRole::kLeader) boost::this_fiber::sleep_for(milliseconds(5));
  EXPECT_TRUE(IsOk(replica.Submit("before")));
  const LogIndex applied = replica.AppliedIndex();
  directory.SetFull(true);
  const Result<std::any> refused = replica.Submit("meanwhile");
  ASSERT_FALSE(IsOk(refused));
  EXPECT_EQ(ErrorOf(refused).m_code, ErrorCode::kTicketOutcomeUnknown);
  EXPECT_EQ(replica.AppliedIndex(), applied);
  directory.SetFull(false);
  boost::this_fiber::sleep_for(milliseconds(500));
  EXPECT_TRUE(IsOk(replica.Submit("after")));
  replica.Stop();
}

// Guards against a follower whose answers to heartbeats wait for its disk: the leader takes it for silent and loses its
// majority whenever a sync takes longer than the election timeout.
TEST(LogReplicaTest, HeartbeatsAreAnsweredWhileASyncRuns) {
  const io::Reactor reactor;
  testing_support::MemoryDirectory directory(1);
  ASSERT_TRUE(IsOk(FileLogStorage::Format(&directory, {kSelf, {{{kSelf, true}, {kOther, true}}, {}}})));
  auto storage = FileLogStorage::Open(&directory, kSelf.m_host);
  ASSERT_TRUE(IsOk(storage));
  NoState machine;
  VotingPeer peer;
  LogReplica replica({}, ValueOf(storage).get(), ValueOf(storage)->TakeStored(), &machine, &peer);
  replica.Start([] {});
  constexpr Term kTerm = 1000;
  peer.Deliver(kTerm, AppendRequest{0, 0, 0, 1, {}});
  while (peer.LastAnsweredNs() != 1) boost::this_fiber::sleep_for(milliseconds(5));
  directory.SetSyncTime(milliseconds(2000));
  peer.Deliver(kTerm, AppendRequest{0, 0, 0, 2, {{1, kTerm, EntryKind::kPayload, "payload"}}});
  for (std::int64_t sent_ns = 3; sent_ns < 8; ++sent_ns) {
    peer.Deliver(kTerm, AppendRequest{1, kTerm, 0, sent_ns, {}});
    const auto deadline = std::chrono::steady_clock::now() + RaftOptions{}.m_election_timeout;
    while (peer.LastAnsweredNs() != sent_ns && std::chrono::steady_clock::now() < deadline) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    EXPECT_EQ(peer.LastAnsweredNs(), sent_ns);
    EXPECT_EQ(peer.VouchedIndex(), 0U);
  }
  for (int wait = 0; wait < 100 && peer.VouchedIndex() == 0; ++wait) {
    peer.Deliver(kTerm, AppendRequest{1, kTerm, 0, 9, {}});
    boost::this_fiber::sleep_for(milliseconds(50));
  }
  EXPECT_EQ(peer.VouchedIndex(), 1U);
  replica.Stop();
}

}  // namespace
}  // namespace fighatch::daemon
