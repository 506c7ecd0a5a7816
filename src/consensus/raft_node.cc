#include "fighatch/raft_node.h"

#include <algorithm>

#include "wire/codec.h"

namespace fighatch {

std::string_view RaftRoleName(RaftRole role) noexcept {
  constexpr std::array<std::string_view, 4> kNames{"follower", "pre_candidate", "candidate", "leader"};
  return kNames[static_cast<std::size_t>(role)];
}

RaftNode::RaftNode(const RaftOptions& options, StoredLog stored, TimePoint now, Random random)
    : m_options(options),
      m_self(stored.m_identity.m_self),
      m_random(random),
      m_now(now),
      m_vote(stored.m_vote),
      m_last_leader_contact(now),
      m_join_deadline(now) {
  m_configurations.emplace_back(0, stored.m_identity.m_founding_configuration);
  if (stored.m_snapshot) {
    m_snapshot = std::make_shared<const RaftSnapshot>(std::move(*stored.m_snapshot));
    m_configurations.front() = {m_snapshot->m_index, m_snapshot->m_configuration};
    m_commit_index = m_snapshot->m_index;
    m_log.Reset(m_snapshot->m_index, m_snapshot->m_term);
  }
  if (!stored.m_entries.empty() && stored.m_entries.front().m_index <= m_commit_index) {
    m_log.Reset(stored.m_entries.front().m_index, stored.m_entries.front().m_term);
  }
  for (LogEntry& entry : stored.m_entries) {
    if (entry.m_index != m_log.LastIndex() + 1) continue;  // The base entry.
    if (entry.m_kind == EntryKind::kConfiguration && entry.m_index > m_commit_index) {
      AddConfiguration(entry.m_index, entry.m_payload);
    }
    m_log.Append(std::move(entry));
  }
  m_persisted_index = m_log.LastIndex();
  CommitUpTo(std::min(stored.m_known_commit_index, m_log.LastIndex()));
  ResetElectionDeadline();
}

void RaftNode::Tick(TimePoint now) {
  AdvanceClock(now);
  if (m_role == RaftRole::kLeader) return LeaderTick();
  if (NeedsToJoin()) RequestJoin();
  if (m_now < m_election_deadline) return;
  if (Configuration().HasVoter(m_self) && IsVotePersisted() && !IsWriteStalled()) {
    StartPreVote();
  } else {
    ResetElectionDeadline();
  }
}

void RaftNode::Receive(TimePoint now, const RaftMessage& message) {
  AdvanceClock(now);
  if (message.m_to.m_host != m_self.m_host || message.m_from.m_host == m_self.m_host) return;
  const bool is_for_this_disk = message.m_to.m_disk == m_self.m_disk || message.m_to.m_disk == DiskId{};
  // The sender takes this host for the one with its former disk. It is a member of the group to join, and it may be the
  // only one that this host can reach: its seeds may be gone.
  if (!is_for_this_disk) return AddJoinContact(message.m_from.m_host);
  std::visit([this, &message](const auto& body) { Handle(message, body); }, message.m_body);
}

Result<std::pair<LogIndex, Term>> RaftNode::Propose(TimePoint now, std::string payload) {
  AdvanceClock(now);
  if (payload.size() > kMaxEntryPayloadBytes) return MakeError(ErrorCode::kTicketTooLarge);
  if (m_role != RaftRole::kLeader || m_transfer_deadline) return MakeError(ErrorCode::kTicketNotLeader);
  if (m_log.PayloadBytesAfter(m_persisted_index) > m_options.m_max_unpersisted_bytes_of_leader) {
    return MakeError(ErrorCode::kTicketNoQuorum, "the disk of the leader is behind; send it again later");
  }
  AppendAsLeader(EntryKind::kPayload, std::move(payload));
  return std::pair(m_log.LastIndex(), m_vote.m_term);
}

std::pair<std::shared_ptr<const RaftSnapshot>, LogIndex> RaftNode::Compact(LogIndex index, std::string data) {
  const LogIndex old_index = m_snapshot ? m_snapshot->m_index : 0;
  const std::optional<Term> term = m_log.TermAt(index);
  if (index > m_commit_index || index <= old_index || !term) return {};
  while (m_configurations.size() > 1 && m_configurations[1].first <= index) {
    m_configurations.erase(m_configurations.begin());
  }
  m_snapshot = std::make_shared<const RaftSnapshot>(
      RaftSnapshot{index, *term, m_configurations.front().second, std::move(data)});
  m_log.DiscardUpTo(m_log.BaseFor(index, m_options.m_trailing_entries, m_options.m_trailing_bytes));
  return {m_snapshot, m_log.BaseIndex() + 1};
}

RaftOutput RaftNode::TakeOutput() {
  if (m_role == RaftRole::kLeader) {
    for (auto& [peer, progress] : m_progress) {
      // A new commit index is sent at once, not with the next heartbeat: followers serve the state to balancers.
      if (progress.m_request_in_flight) continue;
      if (progress.m_sent_commit_index < m_commit_index || MaySendEntries(progress)) SendTo(peer, progress);
    }
  }
  RaftOutput output = std::exchange(m_output, {});
  if (!output.HasDataToPersist()) return output;
  if (!m_write) {
    m_write = Write{m_now, output.m_vote.has_value(), m_log.LastIndex()};
    return output;
  }
  m_output.m_vote = std::exchange(output.m_vote, {});
  m_output.m_entries = std::exchange(output.m_entries, {});
  if (output.m_snapshot) {
    // The entries are applied after the snapshot.
    m_output.m_snapshot = std::exchange(output.m_snapshot, {});
    m_output.m_committed = std::exchange(output.m_committed, {});
  }
  return output;
}

void RaftNode::OnPersisted(TimePoint now) {
  AdvanceClock(now);
  if (!m_write) return;
  const Write write = *std::exchange(m_write, {});
  m_persisted_index = std::max(m_persisted_index, write.m_last_index);
  if (write.m_has_vote && !m_output.m_vote) OnVotePersisted(m_now - write.m_started);
  if (m_role == RaftRole::kLeader) {
    AdvanceCommit();
    AdvanceMembership();
    ContinueTransfer();
  } else if (m_leader) {
    ReplyWithPersisted(*m_leader);
  }
}

void RaftNode::ForgetPersistedFrom(LogIndex index) {
  m_persisted_index = std::min(m_persisted_index, index - 1);
  if (m_write) m_write->m_last_index = std::min(m_write->m_last_index, index - 1);
}

TimePoint RaftNode::NextDeadline() const noexcept {
  if (m_role == RaftRole::kLeader) return m_heartbeat_deadline;
  if (NeedsToJoin()) return std::min(m_join_deadline, m_election_deadline);
  return m_election_deadline;
}

void RaftNode::Send(const RaftPeer& to, Term term, decltype(RaftMessage::m_body) body) {
  m_output.m_messages.push_back({m_self, to, term, std::move(body)});
}

void RaftNode::SendOnceVotePersisted(const RaftPeer& to, decltype(RaftMessage::m_body) body) {
  if (IsVotePersisted()) return Send(to, m_vote.m_term, std::move(body));
  m_messages_after_vote.push_back({m_self, to, m_vote.m_term, std::move(body)});
}

void RaftNode::AddConfiguration(LogIndex index, const std::string& payload) {
  Result<RaftConfiguration> decoded = wire::Decode<RaftConfiguration>(std::as_bytes(std::span(payload)));
  if (!IsOk(decoded)) return;
  RecordFormerHosts(Configuration(), ValueOf(decoded));
  m_configurations.emplace_back(index, std::move(ValueOf(decoded)));
}

Status Persist(const RaftOutput& output, LogStorage* storage) {
  // The vote is stored first: if a crash left entries of a term that is not stored itself, the host could vote a second
  // time in that term.
  if (output.m_vote) {
    Status status = storage->SaveVote(*output.m_vote);
    if (!IsOk(status)) return status;
  }
  if (output.m_snapshot) {
    Status status = storage->InstallSnapshot(*output.m_snapshot);
    if (!IsOk(status)) return status;
  }
  return output.m_entries.empty() ? OkStatus() : storage->Append(output.m_entries);
}

}  // namespace fighatch
