#include "fighatch/admission_queue.h"

#include <algorithm>
#include <iterator>
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

void AdmissionQueue::Expire(TimePoint now) {
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
