#include "fighatch/sync_server.h"

#include <algorithm>

#include "fighatch/hash.h"

namespace fighatch {

SyncServer::SyncServer(HostId self, std::uint64_t incarnation, const TargetDirectory* directory, const RoutingLog* log)
    : m_self(self), m_incarnation(incarnation), m_directory(directory), m_log(log) {
  UpdateHostsDigest();
}

SyncReply SyncServer::Answer(TimePoint now, const SyncRequest& request, bool has_quorum) {
  RemoveSilentFollowers(now);
  const auto [found, is_new] = m_followers.try_emplace(request.m_from);
  Follower& follower = found->second;
  follower.m_role = request.m_role;
  follower.m_data_centre = request.m_data_centre;
  follower.m_last_request = now;
  const bool is_known_incarnation = request.m_position.m_incarnation == m_incarnation;
  follower.m_confirmed = is_known_incarnation ? request.m_position.m_sequence : 0;
  follower.m_sent_sequence = follower.m_confirmed;
  follower.m_sent_state = follower.m_stated_state = request.m_state;
  follower.m_sent_digest = request.m_hosts_digest;
  if (is_new) UpdateHostsDigest();
  return MakeReply(now, has_quorum, &follower);
}

std::vector<std::pair<HostId, SyncReply>> SyncServer::Push(TimePoint now, bool has_quorum) {
  RemoveSilentFollowers(now);
  std::vector<std::pair<HostId, SyncReply>> replies;
  for (auto& [host, follower] : m_followers) {
    const bool has_targets = follower.m_sent_sequence < m_directory->LastChange();
    const bool has_state =
        follower.m_role == SyncRole::kBalancer && follower.m_sent_state.m_index < m_log->Published()->m_index;
    if (has_targets || has_state) replies.emplace_back(host, MakeReply(now, has_quorum, &follower));
  }
  return replies;
}

SyncReply SyncServer::MakeReply(TimePoint now, bool has_quorum, Follower* follower) const {
  const bool is_control = follower->m_role == SyncRole::kControl;
  SyncReply reply;
  reply.m_from = m_self;
  reply.m_has_quorum = has_quorum;
  reply.m_after_sequence = follower->m_sent_sequence;
  reply.m_position = {m_incarnation, m_directory->Sequence()};
  const bool has_changes = follower->m_sent_sequence < m_directory->LastChange();
  const bool sends_refreshes = is_control && now - follower->m_refreshes_sent >= kMinRefreshInterval;
  if (has_changes || sends_refreshes) {
    reply.m_targets = m_directory->ChangedSince(now, follower->m_sent_sequence, is_control);
    if (is_control) follower->m_refreshes_sent = now;
  } else if (is_control) {
    // The refreshes since then are left out, so the position must not cover them.
    reply.m_position.m_sequence = follower->m_sent_sequence;
  }
  follower->m_sent_sequence = reply.m_position.m_sequence;
  if (!is_control && follower->m_sent_state.m_index < m_log->Published()->m_index) {
    reply.m_update = m_log->UpdateFrom(follower->m_sent_state);
    follower->m_sent_state = reply.m_update->m_position;
  }
  reply.m_hosts_digest = m_hosts_digest;
  if (follower->m_sent_digest != m_hosts_digest) {
    reply.m_control_hosts.assign(m_control_hosts.begin(), m_control_hosts.end());
    for (const auto& [host, other] : m_followers) {
      if (other.m_role == SyncRole::kBalancer) reply.m_balancers.push_back({host, other.m_data_centre});
    }
    follower->m_sent_digest = m_hosts_digest;
  }
  return reply;
}

void SyncServer::SetControlHosts(std::set<HostId> hosts) {
  if (hosts == m_control_hosts) return;
  m_control_hosts = std::move(hosts);
  UpdateHostsDigest();
}

void SyncServer::RecordSequence(TimePoint now) {
  m_recorded_sequences.emplace_back(now, m_directory->Sequence());
  while (m_recorded_sequences.size() > 1 && now - m_recorded_sequences[1].first >= kContactTimeout) {
    m_recorded_sequences.pop_front();
  }
}

std::size_t SyncServer::CountInContact(TimePoint now, const std::set<HostId>& hosts) const {
  std::uint64_t recent_sequence = 0;
  for (const auto& [recorded, sequence] : m_recorded_sequences) {
    if (now - recorded >= kContactTimeout) recent_sequence = sequence;
  }
  return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](HostId host) {
    const Follower* follower = FindControlHost(host);
    return follower != nullptr && now - follower->m_last_request < kContactTimeout &&
           follower->m_confirmed >= recent_sequence;
  }));
}

const SyncServer::Follower* SyncServer::FindControlHost(HostId host) const {
  const auto found = m_followers.find(host);
  return found != m_followers.end() && found->second.m_role == SyncRole::kControl ? &found->second : nullptr;
}

std::size_t SyncServer::CountConfirmedBy(std::uint64_t sequence, const std::set<HostId>& hosts) const {
  return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](HostId host) {
    const Follower* follower = FindControlHost(host);
    return follower != nullptr && follower->m_confirmed >= sequence;
  }));
}

std::size_t SyncServer::CountDivergent() const {
  const StatePosition published = m_log->Published()->Position();
  return static_cast<std::size_t>(std::count_if(m_followers.begin(), m_followers.end(), [&](const auto& entry) {
    const StatePosition& stated = entry.second.m_stated_state;
    return entry.second.m_role == SyncRole::kBalancer && stated.m_index != 0 && stated.m_index == published.m_index &&
           stated.m_digest != published.m_digest;
  }));
}

void SyncServer::RemoveSilentFollowers(TimePoint now) {
  const auto erased = std::erase_if(
      m_followers, [now](const auto& entry) { return now - entry.second.m_last_request > kFollowerTimeout; });
  if (erased > 0) UpdateHostsDigest();
}

void SyncServer::UpdateHostsDigest() {
  // The digest is never 0, which is what followers without the lists send.
  std::uint64_t digest = 1;
  for (const HostId host : m_control_hosts) digest = MixHash(digest, host.m_value);
  for (const auto& [host, follower] : m_followers) {
    if (follower.m_role == SyncRole::kBalancer) digest = MixHash(digest, ~std::uint64_t{host.m_value});
  }
  m_hosts_digest = digest == 0 ? 1 : digest;
}

}  // namespace fighatch
