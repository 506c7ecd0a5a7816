#include <algorithm>

#include "fighatch/raft_node.h"

namespace fighatch {
namespace {

// Upper limit of the random part of the election deadline, in election timeouts.
constexpr std::uint64_t kMaxElectionSpreadTimeouts = 4;
// Upper limit of the time that the next election waits for votes that are being persisted. A host whose own disk hung
// must not hold the group up for as long again.
constexpr Duration kMaxVoteWait = std::chrono::seconds(8);

}  // namespace

void RaftNode::SaveVote(Term term, RaftPeer voted_for) {
  m_vote = {term, voted_for};
  m_output.m_vote = m_vote;
  m_messages_after_vote.clear();
  m_matched_index = m_commit_index;
}

void RaftNode::OnVotePersisted(Duration write_time) {
  for (RaftMessage& message : m_messages_after_vote) m_output.m_messages.push_back(std::move(message));
  m_messages_after_vote.clear();
  ResetElectionDeadline();
  // The other voters may need as long as this host for their votes, and some have received the request only now.
  m_election_deadline += std::min(2 * write_time, kMaxVoteWait);
  if (m_role != RaftRole::kCandidate) return;
  m_votes.insert(m_self);
  CountVotes();
}

void RaftNode::ResetElectionDeadline() {
  const auto timeout = static_cast<std::uint64_t>(m_options.m_election_timeout.count());
  // The random range grows with each failed election, since many hosts whose deadlines lie close together keep
  // splitting the votes.
  const std::uint64_t spread = timeout * std::min<std::uint64_t>(1 + m_failed_elections, kMaxElectionSpreadTimeouts);
  m_election_deadline = m_now + Duration(static_cast<Duration::rep>(timeout + m_random.Below(spread)));
}

void RaftNode::BecomeFollower(Term term, std::optional<RaftPeer> leader) {
  if (term > m_vote.m_term) SaveVote(term, {});
  if (m_role == RaftRole::kLeader) ResetElectionDeadline();
  m_role = RaftRole::kFollower;
  m_leader = leader;
  m_pre_votes.clear();
  m_votes.clear();
  m_progress.clear();
  m_pending_read_barriers.clear();
  m_transfer_deadline.reset();
}

bool RaftNode::HeardLeaderRecently() const {
  return m_role == RaftRole::kLeader || m_now - m_last_leader_contact < m_options.m_election_timeout;
}

bool RaftNode::IsUpToDate(const VoteRequest& request) const {
  return std::pair(request.m_last_term, request.m_last_index) >= std::pair(m_log.LastTerm(), m_log.LastIndex());
}

void RaftNode::SendVoteRequests(bool pre_vote, bool transfer) {
  for (const RaftMember& member : Configuration().m_members) {
    if (!member.m_voter || member.m_peer == m_self) continue;
    const VoteRequest request{pre_vote, transfer, m_log.LastIndex(), m_log.LastTerm()};
    if (pre_vote) {
      Send(member.m_peer, m_vote.m_term + 1, request);
    } else {
      SendOnceVotePersisted(member.m_peer, request);
    }
  }
}

void RaftNode::StartPreVote() {
  ResetElectionDeadline();
  m_role = RaftRole::kPreCandidate;
  m_leader.reset();
  m_pre_votes = {m_self};
  SendVoteRequests(true, false);
  if (IsMajority(m_pre_votes)) StartElection(false);
}

void RaftNode::StartElection(bool transfer) {
  ++m_failed_elections;
  ResetElectionDeadline();
  m_role = RaftRole::kCandidate;
  m_leader.reset();
  SaveVote(m_vote.m_term + 1, m_self);
  m_votes.clear();
  SendVoteRequests(false, transfer);
}

bool RaftNode::IsMajority(const std::set<RaftPeer>& voters) const {
  const auto granted = std::count_if(voters.begin(), voters.end(),
                                     [this](const RaftPeer& peer) { return Configuration().HasVoter(peer); });
  return static_cast<std::size_t>(granted) > Configuration().VoterCount() / 2;
}

void RaftNode::CountVotes() {
  // This host's own vote is among them once it is persisted.
  if (m_votes.contains(m_self) && IsMajority(m_votes)) BecomeLeader();
}

void RaftNode::Handle(const RaftMessage& message, const VoteRequest& request) {
  // A host that hears from its leader ignores candidates. This keeps a host that returns from isolation from disrupting
  // the group, and it is what the leader's lease relies on.
  if (HeardLeaderRecently() && !request.m_leadership_transfer) return;
  if (request.m_pre_vote) {
    // A host that still persists a vote has an election to wait for, and it could not vote in another one soon.
    if (!IsVotePersisted() || IsWriteStalled()) return;
    SendVoteReply(message, request, message.m_term > m_vote.m_term && IsUpToDate(request));
    return;
  }
  if (message.m_term > m_vote.m_term) BecomeFollower(message.m_term, std::nullopt);
  const bool vote_available = m_vote.m_voted_for == RaftPeer{} || m_vote.m_voted_for == message.m_from;
  const bool granted = message.m_term == m_vote.m_term && vote_available && IsUpToDate(request);
  if (granted) {
    SaveVote(m_vote.m_term, message.m_from);
    ResetElectionDeadline();
  }
  SendVoteReply(message, request, granted);
}

void RaftNode::SendVoteReply(const RaftMessage& message, const VoteRequest& request, bool granted) {
  SendOnceVotePersisted(message.m_from, VoteReply{request.m_pre_vote, granted, message.m_term});
}

void RaftNode::Handle(const RaftMessage& message, const VoteReply& reply) {
  if (message.m_term > m_vote.m_term) return BecomeFollower(message.m_term, std::nullopt);
  const bool is_candidate = m_role == RaftRole::kCandidate || m_role == RaftRole::kPreCandidate;
  if (!is_candidate || !reply.m_granted) return;
  if (!reply.m_pre_vote) {
    if (reply.m_request_term != m_vote.m_term || m_vote.m_voted_for != m_self) return;
    m_votes.insert(message.m_from);
    return CountVotes();
  }
  if (m_role != RaftRole::kPreCandidate || reply.m_request_term != m_vote.m_term + 1) return;
  m_pre_votes.insert(message.m_from);
  if (IsMajority(m_pre_votes)) StartElection(false);
}

void RaftNode::Handle(const RaftMessage& message, const TimeoutNow& /*request*/) {
  if (message.m_term != m_vote.m_term || m_role == RaftRole::kLeader) return;
  if (Configuration().HasVoter(m_self) && !IsWriteStalled()) StartElection(true);
}

void RaftNode::BecomeLeader() {
  m_role = RaftRole::kLeader;
  m_failed_elections = 0;
  m_leader = m_self;
  m_pre_votes.clear();
  m_votes.clear();
  m_progress.clear();
  m_transfer_deadline.reset();
  m_lease_relinquished = false;
  m_incoming_snapshot.reset();
  MatchProgressToMembers();
  AppendAsLeader(EntryKind::kEmpty, {});
  m_term_start_index = m_log.LastIndex();
  Broadcast();
}

}  // namespace fighatch
