#include "fighatch/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace fighatch {
namespace {

// Sort order of the queue: true if `left` has the lower priority, or the same priority and is older.
bool HasLowerPrecedence(const WaitingPacket& left, const WaitingPacket& right) {
  if (left.m_priority != right.m_priority) return left.m_priority > right.m_priority;
  return left.m_first_sent < right.m_first_sent;
}

}  // namespace

void AdmissionQueue::Put(WaitingPacket packet) {
  const auto same = std::find_if(m_packets.begin(), m_packets.end(), [&packet](const WaitingPacket& other) {
    return other.m_packet.m_endpoints == packet.m_packet.m_endpoints;
  });
  if (same != m_packets.end()) {
    packet.m_first_sent = std::min(packet.m_first_sent, same->m_first_sent);
    m_packets.erase(same);
  }
  const auto place = std::upper_bound(m_packets.begin(), m_packets.end(), packet, HasLowerPrecedence);
  m_packets.insert(place, std::move(packet));
}

std::optional<WaitingPacket> AdmissionQueue::TakeNext(TimePoint now, const std::set<Endpoint>& blocked) {
  const auto may_go = [&blocked](const WaitingPacket& packet) {
    return !blocked.contains(packet.m_packet.m_endpoints.m_service);
  };
  const auto newest = std::find_if(m_packets.rbegin(), m_packets.rend(), may_go);
  if (newest == m_packets.rend()) return std::nullopt;
  auto place = std::prev(newest.base());
  const bool is_late = place->m_objective_deadline && now >= *place->m_objective_deadline;
  if (is_late) {
    place = std::find_if(m_packets.begin(), place, [&](const WaitingPacket& packet) {
      return packet.m_priority == place->m_priority && may_go(packet);
    });
  }
  WaitingPacket next = std::move(*place);
  m_packets.erase(place);
  next.m_packet.m_age = now - next.m_first_sent;
  return next;
}

std::vector<WaitingPacket> AdmissionQueue::TakeInTurns(const Endpoint& service, TimePoint answer_at) {
  const auto first = std::stable_partition(m_packets.begin(), m_packets.end(), [&service](const WaitingPacket& packet) {
    return packet.m_packet.m_endpoints.m_service != service;
  });
  std::vector<WaitingPacket> taken(std::make_move_iterator(first), std::make_move_iterator(m_packets.end()));
  m_packets.erase(first, m_packets.end());
  // The newest first.
  std::reverse(taken.begin(), taken.end());
  // Late packets last; then by number of packets of the same address before this one, and by its last turn.
  using Key = std::tuple<bool, std::size_t, TimePoint, std::size_t>;
  std::vector<Key> keys;
  std::map<IpAddress, std::size_t> turns;
  for (const WaitingPacket& packet : taken) {
    const IpAddress& client = packet.m_packet.m_endpoints.m_client.m_address;
    const auto last = m_last_served.find(client);
    const bool is_late = packet.m_objective_deadline && answer_at > *packet.m_objective_deadline;
    keys.emplace_back(is_late, turns[client]++, last == m_last_served.end() ? TimePoint{} : last->second, keys.size());
  }
  std::sort(keys.begin(), keys.end());
  std::vector<WaitingPacket> ordered;
  ordered.reserve(taken.size());
  for (const Key& key : keys) ordered.push_back(std::move(taken[std::get<3>(key)]));
  return ordered;
}

void AdmissionQueue::RecordServed(TimePoint now, const IpAddress& client) {
  if (m_last_served.size() >= kMaxClients) m_last_served.clear();
  m_last_served[client] = now;
}

void AdmissionQueue::Expire(TimePoint now) {
  std::erase_if(m_last_served, [now](const auto& entry) { return now - entry.second > kMaxWait; });
  std::erase_if(m_packets, [now](const WaitingPacket& packet) { return now - packet.m_first_sent > kMaxWait; });
}

std::vector<WaitingPacket> AdmissionQueue::RemoveExcess(std::size_t limit) {
  if (m_packets.size() <= limit) return {};
  const auto first_kept = m_packets.end() - static_cast<std::ptrdiff_t>(limit);
  std::vector<WaitingPacket> taken(std::make_move_iterator(m_packets.begin()), std::make_move_iterator(first_kept));
  m_packets.erase(m_packets.begin(), first_kept);
  return taken;
}

}  // namespace fighatch
