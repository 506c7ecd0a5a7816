#include <algorithm>

#include "fighatch/raft_node.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

// Heartbeats between two requests to join.
constexpr int kJoinInterval = 5;

}  // namespace

void RaftNode::RequestJoin() {
  if (m_now < m_join_deadline) return;
  m_join_deadline = m_now + m_options.m_heartbeat * kJoinInterval;
  for (const HostId host : m_options.m_hosts) {
    if (host != m_self.m_host) Send({host, DiskId{}}, 0, JoinRequest{});
  }
}

bool RaftNode::MayChangeMembership() const {
  return m_role == RaftRole::kLeader && m_commit >= m_term_start && m_configurations.back().first <= m_commit &&
         !m_transfer_until;
}

void RaftNode::ProposeConfiguration(const RaftConfiguration& configuration) {
  const std::vector<std::byte> bytes = wire::Encode(configuration);
  AppendAsLeader(EntryKind::kConfiguration, std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

void RaftNode::Handle(const RaftMessage& message, const JoinRequest& /*request*/) {
  const RaftPeer& peer = message.m_from;
  if (!MayChangeMembership() || !m_options.m_hosts.contains(peer.m_host) || peer.m_disk == DiskId{}) return;
  if (!Configuration().HasMember(peer) && !Configuration().IsRetired(peer)) AddLearner(peer);
}

void RaftNode::AddLearner(const RaftPeer& peer) {
  RaftConfiguration next = Configuration();
  std::erase_if(next.m_members,
                [&peer](const RaftMember& member) { return !member.m_voter && member.m_peer.m_host == peer.m_host; });
  next.m_members.push_back({peer, false});
  ProposeConfiguration(next);
}

void RaftNode::AdvanceMembership() {
  if (!MayChangeMembership()) return;
  const RaftConfiguration& current = Configuration();
  const auto caught_up = [this](const RaftMember& member) {
    return !member.m_voter && m_progress.at(member.m_peer).m_match >= m_commit;
  };
  const auto learner = std::find_if(current.m_members.begin(), current.m_members.end(), caught_up);
  if (learner == current.m_members.end()) return;
  RaftConfiguration next = current;
  // The lost disk leaves before the new one votes, so that each change moves one voter only.
  const auto lost = std::find_if(next.m_members.begin(), next.m_members.end(), [&learner](const RaftMember& member) {
    return member.m_voter && member.m_peer.m_host == learner->m_peer.m_host;
  });
  if (lost == next.m_members.end()) {
    next.m_members[static_cast<std::size_t>(learner - current.m_members.begin())].m_voter = true;
  } else {
    next.m_retired.push_back(lost->m_peer);
    next.m_members.erase(lost);
  }
  ProposeConfiguration(next);
}

void RaftNode::SyncProgress() {
  std::erase_if(m_progress, [this](const auto& entry) { return !Configuration().HasMember(entry.first); });
  for (const RaftMember& member : Configuration().m_members) {
    if (member.m_peer == m_self || m_progress.contains(member.m_peer)) continue;
    Progress& progress = m_progress[member.m_peer];
    progress.m_next = m_log.LastIndex() + 1;
    progress.m_confirmed = m_now;
  }
}

}  // namespace fighatch
