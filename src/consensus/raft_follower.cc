#include <algorithm>

#include "fighatch/hash.h"
#include "fighatch/raft_node.h"

namespace fighatch {
namespace {

// A larger snapshot is refused, so that a forged total size cannot exhaust the memory.
constexpr std::uint64_t kMaxSnapshotBytes = 256ULL << 20U;

// True if the entries have consecutive indexes after the previous one, terms that neither decrease nor exceed `term`,
// and payloads that the storage takes.
bool IsWellFormed(const AppendRequest& request, Term term) {
  LogIndex index = request.m_previous_index;
  Term last_term = request.m_previous_term;
  for (const LogEntry& entry : request.m_entries) {
    if (entry.m_index != ++index || entry.m_term < last_term || entry.m_term > term) return false;
    if (entry.m_payload.size() > kMaxEntryPayloadBytes) return false;
    last_term = entry.m_term;
  }
  return true;
}

}  // namespace

bool RaftNode::AcceptLeader(const RaftMessage& message) {
  if (message.m_term < m_vote.m_term || (message.m_term == m_vote.m_term && m_role == RaftRole::kLeader)) return false;
  BecomeFollower(message.m_term, message.m_from);
  m_last_leader_contact = m_now;
  m_failed_elections = 0;
  ResetElectionDeadline();
  if (m_stop_notice) ReplyToLeader(message.m_from, *m_stop_notice);
  return true;
}

void RaftNode::ReplyToLeader(const RaftPeer& leader, decltype(RaftMessage::m_body) body) {
  if (IsVotePersisted() && !IsWriteStalled()) Send(leader, m_vote.m_term, std::move(body));
}

void RaftNode::ReplyWithPersisted(const RaftPeer& leader) {
  ReplyToLeader(leader, AppendReply{true, std::min(m_matched_index, m_persisted_index), m_request_sent_ns});
}

void RaftNode::Handle(const RaftMessage& message, const AppendRequest& request) {
  if (!IsWellFormed(request, message.m_term)) return;
  if (!AcceptLeader(message)) return ReplyToLeader(message.m_from, AppendReply{false, 0, 0});
  const LogIndex previous_index = request.m_previous_index;
  const std::optional<Term> own_term = m_log.TermAt(previous_index);
  // Entries up to the commit index match on all hosts, so no check is needed there; their terms may have been
  // discarded.
  if (previous_index > m_commit_index && own_term != request.m_previous_term) {
    // Skips all entries of the conflicting term at once.
    LogIndex retry_index = std::min(m_log.LastIndex(), previous_index - 1);
    while (retry_index > m_commit_index && m_log.TermAt(retry_index) == own_term) --retry_index;
    return ReplyToLeader(message.m_from, AppendReply{false, std::max(retry_index, m_commit_index), request.m_sent_ns});
  }
  for (const LogEntry& entry : request.m_entries) AppendFromLeader(entry);
  const LogIndex matched_index = previous_index + request.m_entries.size();
  CommitUpTo(std::min(request.m_commit_index, matched_index));
  m_matched_index = std::max({m_matched_index, matched_index, m_commit_index});
  m_request_sent_ns = request.m_sent_ns;
  if (m_matched_index <= m_persisted_index) return ReplyWithPersisted(message.m_from);
  ReplyToLeader(message.m_from, AppendReceipt{m_matched_index, request.m_sent_ns});
}

void RaftNode::AppendFromLeader(const LogEntry& entry) {
  if (entry.m_index <= m_commit_index || m_log.TermAt(entry.m_index) == entry.m_term) return;
  if (entry.m_index <= m_log.LastIndex()) {
    m_log.TruncateFrom(entry.m_index);
    ForgetPersistedFrom(entry.m_index);
    std::erase_if(m_output.m_entries, [&entry](const LogEntry& pending) { return pending.m_index >= entry.m_index; });
    while (m_configurations.size() > 1 && m_configurations.back().first >= entry.m_index) m_configurations.pop_back();
  }
  if (entry.m_kind == EntryKind::kConfiguration) AddConfiguration(entry.m_index, entry.m_payload);
  m_log.Append(entry);
  m_output.m_entries.push_back(entry);
}

void RaftNode::CommitUpTo(LogIndex index) {
  while (m_commit_index < index) m_output.m_committed.push_back(m_log.At(++m_commit_index));
}

void RaftNode::Handle(const RaftMessage& message, const SnapshotChunk& chunk) {
  if (!AcceptLeader(message)) return ReplyToLeader(message.m_from, SnapshotReply{});
  if (chunk.m_index > m_commit_index && m_log.TermAt(chunk.m_index) == chunk.m_snapshot_term) CommitUpTo(chunk.m_index);
  m_request_sent_ns = chunk.m_sent_ns;
  if (chunk.m_index <= m_commit_index) {
    m_incoming_snapshot.reset();
    return ReplyWithInstalled(message.m_from, chunk);
  }
  const bool is_same_snapshot = m_incoming_snapshot && m_incoming_snapshot->m_index == chunk.m_index &&
                                m_incoming_snapshot->m_term == chunk.m_snapshot_term &&
                                m_incoming_snapshot->m_digest == chunk.m_digest;
  if (!is_same_snapshot)
    m_incoming_snapshot = IncomingSnapshot{chunk.m_index, chunk.m_snapshot_term, chunk.m_digest, {}};
  const bool fits = chunk.m_total_bytes <= kMaxSnapshotBytes &&
                    m_incoming_snapshot->m_data.size() + chunk.m_bytes.size() <= chunk.m_total_bytes;
  if (fits && chunk.m_offset == m_incoming_snapshot->m_data.size()) m_incoming_snapshot->m_data += chunk.m_bytes;
  if (m_incoming_snapshot->m_data.size() == chunk.m_total_bytes) InstallSnapshot(chunk);
  if (m_commit_index >= chunk.m_index) return ReplyWithInstalled(message.m_from, chunk);
  const std::uint64_t next_offset = m_incoming_snapshot ? m_incoming_snapshot->m_data.size() : 0;
  ReplyToLeader(message.m_from, SnapshotReply{chunk.m_index, next_offset, false, chunk.m_sent_ns});
}

void RaftNode::ReplyWithInstalled(const RaftPeer& leader, const SnapshotChunk& chunk) {
  m_matched_index = std::max(m_matched_index, m_commit_index);
  const bool is_persisted = m_persisted_index >= chunk.m_index;
  ReplyToLeader(leader,
                SnapshotReply{chunk.m_index, is_persisted ? 0 : chunk.m_total_bytes, is_persisted, chunk.m_sent_ns});
}

void RaftNode::InstallSnapshot(const SnapshotChunk& chunk) {
  IncomingSnapshot incoming = std::move(*m_incoming_snapshot);
  m_incoming_snapshot.reset();
  if (HashText(incoming.m_data) != chunk.m_digest) return;
  m_snapshot = std::make_shared<const RaftSnapshot>(
      RaftSnapshot{chunk.m_index, chunk.m_snapshot_term, chunk.m_configuration, std::move(incoming.m_data)});
  ForgetPersistedFrom(m_commit_index + 1);
  m_log.Reset(chunk.m_index, chunk.m_snapshot_term);
  m_configurations.assign(1, {chunk.m_index, chunk.m_configuration});
  m_commit_index = chunk.m_index;
  m_output.m_snapshot = *m_snapshot;
  m_output.m_entries.clear();
  m_output.m_committed.clear();
}

}  // namespace fighatch
