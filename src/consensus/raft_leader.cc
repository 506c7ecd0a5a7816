#include <algorithm>

#include "fighatch/hash.h"
#include "fighatch/raft_node.h"

namespace fighatch {

void RaftNode::LeaderTick() {
  if (m_now < m_heartbeat_deadline) return;
  if (IsWriteStalled()) return BecomeFollower(m_vote.m_term, std::nullopt);
  if (Configuration().VoterCount() > 1 && m_now - QuorumAckedSendTime() > m_options.m_election_timeout) {
    // Without a majority this leader cannot commit anything. It steps down so that callers turn to another host.
    return BecomeFollower(m_vote.m_term, std::nullopt);
  }
  if (m_transfer_deadline && m_now >= *m_transfer_deadline) m_transfer_deadline.reset();
  AdvanceMembership();
  Broadcast();
  InviteFormerHosts();
  ContinueTransfer();
}

void RaftNode::Broadcast() {
  m_heartbeat_deadline = m_now + m_options.m_heartbeat;
  for (auto& [peer, progress] : m_progress) SendTo(peer, progress);
}

void RaftNode::SendTo(const RaftPeer& peer, Progress& progress) {
  progress.m_request_in_flight = true;
  progress.m_sent_commit_index = m_commit_index;
  const LogIndex previous_index = progress.m_next_index - 1;
  const std::optional<Term> previous_term = m_log.TermAt(previous_index);
  if (!previous_term) return SendChunk(peer, progress);
  progress.m_snapshot.reset();
  AppendRequest request{previous_index, *previous_term, m_commit_index, m_now.time_since_epoch().count(), {}};
  if (MaySendEntries(progress)) {
    request.m_entries = m_log.Slice(progress.m_next_index, m_options.m_max_append_bytes);
  }
  Send(peer, m_vote.m_term, std::move(request));
}

bool RaftNode::MaySendEntries(const Progress& progress) const {
  if (progress.m_next_index > m_log.LastIndex()) return false;
  if (progress.m_next_index <= progress.m_match_index + 1) return true;
  const std::size_t unpersisted =
      m_log.PayloadBytesAfter(progress.m_match_index) - m_log.PayloadBytesAfter(progress.m_next_index - 1);
  return unpersisted < m_options.m_max_unpersisted_bytes_of_member;
}

void RaftNode::SendChunk(const RaftPeer& peer, Progress& progress) {
  if (!progress.m_snapshot || progress.m_snapshot->m_index < progress.m_match_index) {
    progress.m_snapshot = m_snapshot;
    progress.m_offset = 0;
  }
  const RaftSnapshot& snapshot = *progress.m_snapshot;
  const std::size_t size =
      std::min<std::size_t>(m_options.m_snapshot_chunk_bytes, snapshot.m_data.size() - progress.m_offset);
  Send(peer, m_vote.m_term,
       SnapshotChunk{snapshot.m_index, snapshot.m_term, snapshot.m_configuration, progress.m_offset,
                     snapshot.m_data.size(), HashText(snapshot.m_data), m_now.time_since_epoch().count(),
                     snapshot.m_data.substr(progress.m_offset, size)});
}

void RaftNode::AppendAsLeader(EntryKind kind, std::string payload) {
  LogEntry entry{m_log.LastIndex() + 1, m_vote.m_term, kind, std::move(payload)};
  if (kind == EntryKind::kConfiguration) AddConfiguration(entry.m_index, entry.m_payload);
  m_output.m_entries.push_back(entry);
  m_log.Append(std::move(entry));
  if (kind == EntryKind::kConfiguration) MatchProgressToMembers();
  AdvanceCommit();
}

void RaftNode::AdvanceCommit() {
  std::vector<LogIndex> matches;
  for (const RaftMember& member : Configuration().m_members) {
    if (!member.m_voter) continue;
    matches.push_back(member.m_peer == m_self ? m_persisted_index : m_progress.at(member.m_peer).m_match_index);
  }
  if (matches.empty()) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex majority_index = matches[matches.size() / 2];
  // A majority is proof of commitment only for an entry of the leader's own term: an entry of an earlier term could
  // still be replaced by another leader.
  if (majority_index > m_commit_index && m_log.TermAt(majority_index) == m_vote.m_term) CommitUpTo(majority_index);
}

TimePoint RaftNode::QuorumAckedSendTime() const {
  std::vector<TimePoint> acked_send_times;
  for (const RaftMember& member : Configuration().m_members) {
    if (!member.m_voter) continue;
    acked_send_times.push_back(member.m_peer == m_self ? m_now : m_progress.at(member.m_peer).m_last_acked_send_time);
  }
  if (acked_send_times.empty()) return TimePoint{};
  std::sort(acked_send_times.begin(), acked_send_times.end(), std::greater<>());
  return acked_send_times[acked_send_times.size() / 2];
}

RaftNode::Progress* RaftNode::ProgressForReply(const RaftMessage& message) {
  if (message.m_term > m_vote.m_term) BecomeFollower(message.m_term, std::nullopt);
  if (m_role != RaftRole::kLeader || message.m_term != m_vote.m_term) return nullptr;
  const auto found = m_progress.find(message.m_from);
  return found == m_progress.end() ? nullptr : &found->second;
}

void RaftNode::RecordAck(Progress* progress, std::int64_t sent_ns) {
  // A future time cannot have been sent by this leader, so it is capped at the present.
  const TimePoint sent = std::min(m_now, TimePoint(Duration(sent_ns)));
  progress->m_last_acked_send_time = std::max(progress->m_last_acked_send_time, sent);
  CompleteReadBarriers();
}

void RaftNode::Handle(const RaftMessage& message, const AppendReply& reply) {
  Progress* progress = ProgressForReply(message);
  if (progress == nullptr || reply.m_index > m_log.LastIndex()) return;
  RecordAck(progress, reply.m_sent_ns);
  progress->m_request_in_flight = false;
  if (reply.m_success) {
    progress->m_match_index = std::max(progress->m_match_index, reply.m_index);
    progress->m_next_index =
        std::max(progress->m_match_index + 1, std::min(progress->m_next_index, m_log.LastIndex() + 1));
    AdvanceCommit();
    AdvanceMembership();
    ContinueTransfer();
  } else if (reply.m_index + 1 < progress->m_next_index) {
    progress->m_next_index = std::max(progress->m_match_index, reply.m_index) + 1;
    SendTo(message.m_from, *progress);
  }
}

void RaftNode::Handle(const RaftMessage& message, const AppendReceipt& receipt) {
  Progress* progress = ProgressForReply(message);
  if (progress == nullptr || receipt.m_index > m_log.LastIndex()) return;
  RecordAck(progress, receipt.m_sent_ns);
  progress->m_request_in_flight = false;
  progress->m_next_index = std::max(progress->m_next_index, receipt.m_index + 1);
}

void RaftNode::Handle(const RaftMessage& message, const SnapshotReply& reply) {
  Progress* progress = ProgressForReply(message);
  if (progress == nullptr) return;
  RecordAck(progress, reply.m_sent_ns);
  if (!progress->m_snapshot || progress->m_snapshot->m_index != reply.m_index) return;
  if (reply.m_installed) {
    progress->m_match_index = std::max(progress->m_match_index, reply.m_index);
    progress->m_next_index = progress->m_match_index + 1;
    progress->m_snapshot.reset();
  } else {
    progress->m_offset = std::min<std::uint64_t>(reply.m_next_offset, progress->m_snapshot->m_data.size());
    // The member has all of it and still persists it; it tells when it is done. Until then it gets heartbeats only.
    if (progress->m_offset == progress->m_snapshot->m_data.size()) return;
  }
  SendTo(message.m_from, *progress);
}

bool RaftNode::HasLease(TimePoint now) const {
  if (m_role != RaftRole::kLeader || m_lease_relinquished || m_commit_index < m_term_start_index) return false;
  if (Configuration().VoterCount() == 1) return true;
  return now < QuorumAckedSendTime() + m_options.m_election_timeout * 3 / 4;
}

bool RaftNode::HasQuorum(TimePoint now) const {
  if (m_role == RaftRole::kLeader) return HasLease(now);
  return m_leader.has_value() && now - m_last_leader_contact < m_options.m_election_timeout;
}

Result<std::uint64_t> RaftNode::StartReadBarrier(TimePoint now) {
  AdvanceClock(now);
  if (m_role != RaftRole::kLeader) return MakeError(ErrorCode::kTicketNotLeader);
  m_pending_read_barriers.push_back({++m_last_read_barrier_id, std::max(m_commit_index, m_term_start_index), m_now});
  CompleteReadBarriers();
  return m_last_read_barrier_id;
}

void RaftNode::CompleteReadBarriers() {
  // Until an entry of its own term is committed, the leader's commit index may not cover all entries that earlier
  // leaders committed.
  if (m_commit_index < m_term_start_index) return;
  const bool has_lease = HasLease(m_now);
  const TimePoint acked_send_time = QuorumAckedSendTime();
  std::erase_if(m_pending_read_barriers, [&](const PendingReadBarrier& barrier) {
    if (!has_lease && acked_send_time <= barrier.m_started) return false;
    m_output.m_passed_read_barriers.emplace_back(barrier.m_id, barrier.m_index);
    return true;
  });
}

void RaftNode::TransferLeadership(TimePoint now) {
  AdvanceClock(now);
  if (m_role != RaftRole::kLeader || m_transfer_deadline) return;
  m_transfer_deadline = m_now + m_options.m_election_timeout;
  m_timeout_now_sent = false;
  ContinueTransfer();
}

void RaftNode::ContinueTransfer() {
  if (m_role != RaftRole::kLeader || !m_transfer_deadline || m_timeout_now_sent) return;
  const RaftPeer* successor = nullptr;
  TimePoint successor_acked_send_time;
  for (const auto& [peer, progress] : m_progress) {
    if (!Configuration().HasVoter(peer) || progress.m_match_index != m_log.LastIndex()) continue;
    if (successor != nullptr && progress.m_last_acked_send_time <= successor_acked_send_time) continue;
    successor = &peer;
    successor_acked_send_time = progress.m_last_acked_send_time;
  }
  if (successor == nullptr) return;
  m_timeout_now_sent = true;
  m_lease_relinquished = true;
  Send(*successor, m_vote.m_term, TimeoutNow{});
}

}  // namespace fighatch
