#include <algorithm>
#include <array>
#include <vector>

#include "fighatch/raft_node.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

// Interval between join requests, in heartbeat intervals.
constexpr int kJoinIntervalHeartbeats = 5;
// With open admission, a member that has not heard from a leader for this many election timeouts asks to join again.
constexpr int kRejoinAfterElectionTimeouts = 4;
// Limit on the hosts that a host remembers from their messages while it is no member.
constexpr std::size_t kMaxJoinContacts = 64;
// How long, and how often, a host that left the group is invited to join again. The period exceeds the time that a host
// usually is down, and a host that has ended for good costs one message per interval until then.
constexpr std::chrono::minutes kInvitationPeriod{10};
constexpr std::chrono::milliseconds kInvitationInterval{1000};

}  // namespace

bool RaftNode::NeedsToJoin() const {
  if (m_stop_notice) return false;
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
  contacts.insert(m_join_contacts.begin(), m_join_contacts.end());
  for (const RaftMember& member : Configuration().m_members) contacts.insert(member.m_peer.m_host);
  for (const HostId host : contacts) {
    if (host != m_self.m_host) Send({host, DiskId{}}, 0, JoinRequest{});
  }
}

void RaftNode::AddJoinContact(HostId host) {
  if (NeedsToJoin() && m_join_contacts.size() < kMaxJoinContacts) m_join_contacts.insert(host);
}

void RaftNode::Handle(const RaftMessage& message, const Invitation& /*invitation*/) {
  AddJoinContact(message.m_from.m_host);
}

void RaftNode::RecordFormerHosts(const RaftConfiguration& before, const RaftConfiguration& after) {
  if (!m_options.m_open_admission) return;
  for (const RaftMember& member : before.m_members) m_former_hosts[member.m_peer.m_host] = m_now + kInvitationPeriod;
  for (const RaftMember& member : after.m_members) m_former_hosts.erase(member.m_peer.m_host);
}

void RaftNode::InviteFormerHosts() {
  if (m_now < m_invitation_deadline) return;
  m_invitation_deadline = m_now + kInvitationInterval;
  std::erase_if(m_former_hosts, [this](const auto& entry) { return entry.second < m_now; });
  for (const auto& [host, until] : m_former_hosts) Send({host, DiskId{}}, m_vote.m_term, Invitation{});
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
  if (m_role != RaftRole::kLeader || peer.m_disk == DiskId{} || Configuration().HasMember(peer)) return;
  if (const std::optional<JoinRefusal> reason = ReasonToRefuse(peer)) {
    m_output.m_refused_joins.emplace_back(peer, *reason);
  } else {
    AddLearner(peer);
  }
}

std::optional<JoinRefusal> RaftNode::ReasonToRefuse(const RaftPeer& peer) const {
  if (!m_options.m_open_admission && !m_options.m_hosts.contains(peer.m_host)) return JoinRefusal::kNotListed;
  if (Configuration().IsRetired(peer)) return JoinRefusal::kRetired;
  return MayChangeMembership() ? std::nullopt : std::optional(JoinRefusal::kChangeInProgress);
}

std::string_view JoinRefusalName(JoinRefusal reason) noexcept {
  constexpr std::array<std::string_view, 3> kNames{"change_in_progress", "not_listed", "retired"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::optional<Duration> RaftNode::SilenceOf(const RaftPeer& peer) const {
  const auto found = m_progress.find(peer);
  if (m_role != RaftRole::kLeader || found == m_progress.end()) return std::nullopt;
  return m_now - found->second.m_last_acked_send_time;
}

void RaftNode::AddLearner(const RaftPeer& peer) {
  RaftConfiguration next = Configuration();
  std::erase_if(next.m_members,
                [&peer](const RaftMember& member) { return !member.m_voter && member.m_peer.m_host == peer.m_host; });
  next.m_members.push_back({peer, false});
  ProposeConfiguration(next);
}

void RaftNode::AnnounceStop(TimePoint now) {
  AdvanceClock(now);
  m_stop_notice = StopNotice{m_role == RaftRole::kLeader ? SilentVoters() : std::vector<RaftPeer>{}};
  TransferLeadership(now);
  if (m_role != RaftRole::kLeader && m_leader) ReplyToLeader(*m_leader, *m_stop_notice);
}

void RaftNode::Handle(const RaftMessage& message, const StopNotice& notice) {
  if (ProgressForReply(message) == nullptr) return;
  std::vector<RaftPeer> silent = notice.m_silent;
  silent.push_back(message.m_from);
  for (const RaftPeer& peer : silent) {
    const auto found = m_progress.find(peer);
    if (found != m_progress.end()) found->second.m_noted_silent_until = m_now + m_options.m_replace_silent_after;
  }
  AdvanceMembership();
}

void RaftNode::AdvanceMembership() {
  if (!MayChangeMembership() || ReplaceLostDisk()) return;
  // A silent voter is removed before a learner is promoted: of four voters, one of them silent, three remain that all
  // run, and not five with a silent one among them.
  if (m_options.m_open_admission && RemoveSilentVoter()) return;
  PromoteLearner();
}

bool RaftNode::ReplaceLostDisk() {
  RaftConfiguration next = Configuration();
  for (const RaftPeer& learner : CaughtUpLearners()) {
    const auto replaced = std::find_if(next.m_members.begin(), next.m_members.end(), [&learner](const auto& member) {
      return member.m_voter && member.m_peer.m_host == learner.m_host;
    });
    if (replaced == next.m_members.end()) continue;
    // The host has a new disk, so the old identity can no longer vote, and one configuration change can replace the old
    // identity by the new one: any majority that can still form before the change shares a host with any majority after
    // it. With two changes the group would depend on every remaining disk in between.
    next.m_retired.push_back(replaced->m_peer);
    replaced->m_peer = learner;
    std::erase_if(next.m_members,
                  [&learner](const auto& member) { return !member.m_voter && member.m_peer == learner; });
    ProposeConfiguration(next);
    return true;
  }
  return false;
}

bool RaftNode::PromoteLearner() {
  const std::vector<RaftPeer> learners = CaughtUpLearners();
  if (learners.empty()) return false;
  const std::size_t voters = Configuration().VoterCount();
  // A successor votes before the silent voter is removed. In the opposite order a group of three would depend on both
  // remaining disks in between, although the silent voter may only be cut off. The promotion makes the number of voters
  // even, so that the removal follows, also above the highest number.
  const bool has_room =
      voters < m_options.m_max_voters || (voters == m_options.m_max_voters && !SilentVoters().empty());
  if (m_options.m_open_admission && !has_room) return false;
  RaftConfiguration next = Configuration();
  for (RaftMember& member : next.m_members) member.m_voter = member.m_voter || member.m_peer == learners.front();
  ProposeConfiguration(next);
  return true;
}

std::vector<RaftPeer> RaftNode::CaughtUpLearners() const {
  std::vector<RaftPeer> learners;
  for (const RaftMember& member : Configuration().m_members) {
    if (member.m_voter || IsSilent(member.m_peer)) continue;
    if (m_progress.at(member.m_peer).m_match_index >= m_commit_index) learners.push_back(member.m_peer);
  }
  return learners;
}

bool RaftNode::IsSilent(const RaftPeer& peer) const {
  const Progress& progress = m_progress.at(peer);
  return m_now < progress.m_noted_silent_until ||
         m_now - progress.m_last_acked_send_time > m_options.m_replace_silent_after;
}

std::vector<RaftPeer> RaftNode::SilentVoters() const {
  std::vector<RaftPeer> silent;
  for (const RaftMember& member : Configuration().m_members) {
    if (member.m_voter && member.m_peer != m_self && IsSilent(member.m_peer)) silent.push_back(member.m_peer);
  }
  std::sort(silent.begin(), silent.end(), [this](const RaftPeer& left, const RaftPeer& right) {
    return m_progress.at(left).m_last_acked_send_time < m_progress.at(right).m_last_acked_send_time;
  });
  return silent;
}

bool RaftNode::RemoveSilentVoter() {
  const std::vector<RaftPeer> silent = SilentVoters();
  const std::size_t voters = Configuration().VoterCount();
  if (silent.empty() || voters <= 2) return false;
  // Of an even number, one voter fewer lowers the size of a majority, and the remaining voters outlast as many lost
  // disks as all of them with the silent one back. Of an odd number, two removals are needed to lower it, and if the
  // two are only cut off, the group then outlasts one lost disk fewer than with them back.
  const bool is_odd = voters % 2 != 0;
  const bool may_remove_two = silent.size() >= 2 && voters - 2 >= 2 * m_options.m_tolerated_lost_disks + 1;
  if (is_odd && !may_remove_two) return false;
  RaftConfiguration next = Configuration();
  std::erase_if(next.m_members, [&silent](const RaftMember& member) { return member.m_peer == silent.front(); });
  ProposeConfiguration(next);
  return true;
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
