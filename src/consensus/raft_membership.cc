#include <algorithm>

#include "fighatch/raft_node.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

// Interval between join requests, in heartbeat intervals.
constexpr int kJoinIntervalHeartbeats = 5;
// With open admission, a member that has not heard from a leader for this many election timeouts asks to join again.
constexpr int kRejoinAfterElectionTimeouts = 4;

}  // namespace

bool RaftNode::NeedsToJoin() const {
  if (!Configuration().HasMember(m_self)) return true;
  // A host that was removed while it was isolated never receives the configuration without it.
  const bool has_lost_leader =
      m_now - m_last_leader_contact > m_options.m_election_timeout * kRejoinAfterElectionTimeouts;
  return m_options.m_open_admission && has_lost_leader;
}

void RaftNode::RequestJoin() {
  if (m_now < m_join_deadline) return;
  m_join_deadline = m_now + m_options.m_heartbeat * kJoinIntervalHeartbeats;
  std::set<HostId> contacts = m_options.m_hosts;
  for (const RaftMember& member : Configuration().m_members) contacts.insert(member.m_peer.m_host);
  for (const HostId host : contacts) {
    if (host != m_self.m_host) Send({host, DiskId{}}, 0, JoinRequest{});
  }
}

bool RaftNode::MayChangeMembership() const {
  return m_role == RaftRole::kLeader && m_commit_index >= m_term_start_index &&
         m_configurations.back().first <= m_commit_index && !m_transfer_deadline;
}

void RaftNode::ProposeConfiguration(const RaftConfiguration& configuration) {
  const std::vector<std::byte> bytes = wire::Encode(configuration);
  AppendAsLeader(EntryKind::kConfiguration, std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

void RaftNode::Handle(const RaftMessage& message, const JoinRequest& /*request*/) {
  const RaftPeer& peer = message.m_from;
  const bool is_admitted = m_options.m_open_admission || m_options.m_hosts.contains(peer.m_host);
  if (!MayChangeMembership() || !is_admitted || peer.m_disk == DiskId{}) return;
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
  if (!MayChangeMembership() || PromoteLearner()) return;
  if (m_options.m_open_admission) RemoveSilentVoter();
}

bool RaftNode::PromoteLearner() {
  const RaftConfiguration& current = Configuration();
  const auto is_caught_up = [this](const RaftMember& member) {
    return !member.m_voter && m_progress.at(member.m_peer).m_match_index >= m_commit_index;
  };
  const auto learner = std::find_if(current.m_members.begin(), current.m_members.end(), is_caught_up);
  if (learner == current.m_members.end()) return false;
  RaftConfiguration next = current;
  RaftMember& promoted = next.m_members[static_cast<std::size_t>(learner - current.m_members.begin())];
  const auto replaced =
      std::find_if(next.m_members.begin(), next.m_members.end(), [&learner](const RaftMember& member) {
        return member.m_voter && member.m_peer.m_host == learner->m_peer.m_host;
      });
  if (replaced != next.m_members.end()) {
    // The host has a new disk, so the old identity can no longer vote, and one configuration change can replace the old
    // identity by the new one: any majority that can still form before the change shares a host with any majority after
    // it. With two changes the group would depend on every remaining disk in between.
    next.m_retired.push_back(replaced->m_peer);
    promoted.m_voter = true;
    next.m_members.erase(replaced);
  } else if (const RaftMember* silent = FindSilentVoter(); m_options.m_open_admission && silent != nullptr) {
    RemoveMember(silent->m_peer);
    return true;
  } else if (m_options.m_open_admission && current.VoterCount() >= m_options.m_max_voters) {
    return false;
  } else {
    promoted.m_voter = true;
  }
  ProposeConfiguration(next);
  return true;
}

const RaftMember* RaftNode::FindSilentVoter() const {
  const auto& members = Configuration().m_members;
  const auto silent = std::find_if(members.begin(), members.end(), [this](const RaftMember& member) {
    if (!member.m_voter || member.m_peer == m_self) return false;
    return m_now - m_progress.at(member.m_peer).m_last_acked_send_time > m_options.m_replace_silent_after;
  });
  return silent == members.end() ? nullptr : &*silent;
}

void RaftNode::RemoveSilentVoter() {
  // Removal helps only with an even number of voters, where it lowers the size of a majority. With an odd number the
  // majority would stay the same.
  if (Configuration().VoterCount() % 2 != 0 || Configuration().VoterCount() <= 2) return;
  if (const RaftMember* silent = FindSilentVoter(); silent != nullptr) RemoveMember(silent->m_peer);
}

void RaftNode::RemoveMember(const RaftPeer& peer) {
  RaftConfiguration next = Configuration();
  std::erase_if(next.m_members, [&peer](const RaftMember& member) { return member.m_peer == peer; });
  ProposeConfiguration(next);
}

void RaftNode::MatchProgressToMembers() {
  std::erase_if(m_progress, [this](const auto& entry) { return !Configuration().HasMember(entry.first); });
  for (const RaftMember& member : Configuration().m_members) {
    if (member.m_peer == m_self || m_progress.contains(member.m_peer)) continue;
    Progress& progress = m_progress[member.m_peer];
    progress.m_next_index = m_log.LastIndex() + 1;
    progress.m_last_acked_send_time = m_now;
  }
}

}  // namespace fighatch
