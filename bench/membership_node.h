#ifndef FIGHATCH_BENCH_MEMBERSHIP_NODE_H_
#define FIGHATCH_BENCH_MEMBERSHIP_NODE_H_

#include <stdexcept>
#include <utility>
#include <vector>

#include "fighatch/membership.h"
#include "virtual_network.h"

namespace fighatch::bench {

/// A `VirtualNetwork` node that runs a `Membership` and records its events. It throws if a message does not fit a
/// datagram or is rejected.
class MembershipNode {
 public:
  struct TimedEvent {
    TimePoint m_at;
    MembershipEvent m_event;
  };

  MembershipNode(const MembershipSettings& settings, std::uint64_t seed) : m_membership(settings, Random(seed)) {}

  std::vector<OutgoingMessage> Tick(TimePoint now) { return CollectEvents(now, m_membership.Tick(now)); }
  std::vector<OutgoingMessage> Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                       const std::vector<std::byte>& payload) {
    auto actions = m_membership.Receive(now, sender, source, type, payload);
    if (!IsOk(actions)) throw std::logic_error(ToString(ErrorOf(actions)));
    return CollectEvents(now, std::move(ValueOf(actions)));
  }
  std::vector<OutgoingMessage> CollectEvents(TimePoint now, MembershipActions actions) {
    for (const MembershipEvent& event : actions.m_events) m_events.push_back({now, event});
    for (const OutgoingMessage& message : actions.m_messages) {
      if (message.m_payload.size() > kMaxUdpPayloadBytes) throw std::logic_error("message exceeds a datagram");
    }
    return std::move(actions.m_messages);
  }
  [[nodiscard]] TimePoint NextDeadline() const { return m_membership.NextDeadline(); }

  [[nodiscard]] Membership& Get() { return m_membership; }
  [[nodiscard]] std::vector<TimedEvent>& Events() { return m_events; }

 private:
  Membership m_membership;
  std::vector<TimedEvent> m_events;
};

/// Settings of a host on the virtual network, which joins through `seeds` and reaches other data centres through
/// `remote_seeds`.
inline MembershipSettings MembershipSettingsOf(std::uint32_t host, std::uint16_t data_centre, std::uint64_t incarnation,
                                               std::vector<HostId> seeds, std::vector<HostId> remote_seeds = {}) {
  MembershipSettings settings;
  settings.m_self.m_host = {host};
  settings.m_self.m_data_centre = {data_centre};
  settings.m_self.m_incarnation = {incarnation};
  settings.m_self.m_control_endpoint = EndpointOf({host});
  for (const HostId seed : seeds) settings.m_seeds.push_back(EndpointOf(seed));
  for (const HostId remote_seed : remote_seeds) settings.m_remote_seeds.push_back(EndpointOf(remote_seed));
  return settings;
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_MEMBERSHIP_NODE_H_
