#include "fighatch/sync_client.h"

#include <algorithm>

#include "fighatch/hash.h"

namespace fighatch {

std::set<HostId> SyncClient::Contacts() const {
  std::set<HostId> contacts = m_seeds;
  contacts.insert(m_control_hosts.begin(), m_control_hosts.end());
  contacts.erase(m_options.m_self);
  return contacts;
}

bool SyncClient::RepliedRecently(TimePoint now, const Link& link) const {
  return link.m_has_replied && now - link.m_replied < kReplyTimeout;
}

std::vector<std::pair<HostId, SyncRequest>> SyncClient::Tick(TimePoint now, const StatePosition& state) {
  const std::set<HostId> contacts = Contacts();
  std::erase_if(m_links, [&contacts](const auto& entry) { return !contacts.contains(entry.first); });
  std::vector<HostId> current;
  std::vector<HostId> others;
  for (const HostId host : contacts) {
    const Link& link = m_links[host];
    (RepliedRecently(now, link) && link.m_has_quorum ? current : others).push_back(host);
  }
  // Rendezvous hashing spreads followers over the control hosts, and each follower keeps to the same ones.
  std::sort(current.begin(), current.end(), [this](HostId left, HostId right) {
    return MixHash(m_options.m_self.m_value, left.m_value) < MixHash(m_options.m_self.m_value, right.m_value);
  });
  if (current.size() > m_options.m_polled_control_hosts) current.resize(m_options.m_polled_control_hosts);
  const std::size_t retries = std::min(others.size(), m_options.m_polled_control_hosts - current.size());
  for (std::size_t count = 0; count < retries; ++count) current.push_back(others[m_next_retry++ % others.size()]);
  std::vector<std::pair<HostId, SyncRequest>> requests;
  requests.reserve(current.size());
  for (const HostId host : current) requests.emplace_back(host, RequestTo(host, state));
  return requests;
}

SyncRequest SyncClient::RequestTo(HostId host, const StatePosition& state) const {
  const auto link = m_links.find(host);
  SyncRequest request;
  request.m_from = m_options.m_self;
  request.m_role = m_options.m_role;
  request.m_data_centre = m_options.m_data_centre;
  if (link != m_links.end()) {
    request.m_position = link->second.m_position;
    request.m_hosts_digest = link->second.m_hosts_digest;
  }
  request.m_state = state;
  return request;
}

bool SyncClient::Receive(TimePoint now, const SyncReply& reply) {
  Link& link = m_links[reply.m_from];
  link.m_has_replied = true;
  link.m_replied = now;
  link.m_has_quorum = reply.m_has_quorum;
  if (!reply.m_control_hosts.empty() && reply.m_has_quorum) {
    m_control_hosts = {reply.m_control_hosts.begin(), reply.m_control_hosts.end()};
    link.m_balancers = reply.m_balancers;
    link.m_hosts_digest = reply.m_hosts_digest;
    MergeBalancers();
  }
  // Without contact to a leader a control host may not know the members of its group, but it knows its followers.
  if (m_balancers.empty() && !reply.m_balancers.empty() && !reply.m_has_quorum) {
    link.m_balancers = reply.m_balancers;
    MergeBalancers();
  }
  const bool is_same_process = link.m_position.m_incarnation == reply.m_position.m_incarnation;
  const std::uint64_t held = is_same_process ? link.m_position.m_sequence : 0;
  // If a message was lost, the position stays, so that the next request asks for the missing changes.
  if (reply.m_after_sequence > held || reply.m_position.m_sequence < held) return false;
  link.m_position = reply.m_position;
  return !reply.m_targets.empty();
}

void SyncClient::MergeBalancers() {
  std::set<BalancerPeer> all;
  for (const auto& [host, link] : m_links) all.insert(link.m_balancers.begin(), link.m_balancers.end());
  m_balancers.assign(all.begin(), all.end());
}

bool SyncClient::IsCurrent(TimePoint now) const {
  return std::any_of(m_links.begin(), m_links.end(), [&](const auto& entry) {
    return RepliedRecently(now, entry.second) && entry.second.m_has_quorum;
  });
}

bool SyncClient::HasRecentReply(TimePoint now) const {
  return std::any_of(m_links.begin(), m_links.end(),
                     [&](const auto& entry) { return RepliedRecently(now, entry.second); });
}

}  // namespace fighatch
