#ifndef FIGHATCH_BENCH_VIRTUAL_NETWORK_H_
#define FIGHATCH_BENCH_VIRTUAL_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/envelope.h"
#include "fighatch/outgoing_message.h"
#include "fighatch/random.h"
#include "fighatch/time.h"

namespace fighatch::bench {

/// How the links between nodes behave.
struct LinkSettings {
  /// Probability that a message is lost, and that it is sent twice.
  double m_loss = 0;
  double m_duplicates = 0;
  Duration m_delay = std::chrono::milliseconds(1);
  /// Each message is delayed further by a random time up to this, which reorders messages.
  Duration m_jitter = Duration(0);
};

/// IP, UDP and envelope bytes around a payload.
inline constexpr std::size_t kDatagramOverheadBytes = 28 + kEnvelopeOverheadBytes;

/// The endpoint by which the virtual network finds a host.
inline Endpoint EndpointOf(HostId host) { return {IpAddress::FromV4(host.m_value), 1}; }

/// Simulates a network of nodes in virtual time, with loss, duplication, delay, cut links and pauses. `Node` has
/// `Tick(now)`, `Receive(now, sender, source, type, payload)`, both returning messages, and `NextDeadline()`.
template <typename Node>
class VirtualNetwork {
 public:
  VirtualNetwork(LinkSettings links, std::uint64_t seed) : m_links(links), m_random(seed) {}

  /// Starts a node; it replaces the one of that host.
  void Add(HostId host, std::unique_ptr<Node> node) {
    Slot& slot = m_slots[host];
    slot = {};
    slot.m_node = std::move(node);
    slot.m_start_sequence = ++m_sequence;
    Dispatch(host, slot, slot.m_node->Tick(m_now));
  }
  void Remove(HostId host) { m_slots.erase(host); }
  [[nodiscard]] Node* Find(HostId host) {
    const auto found = m_slots.find(host);
    return found != m_slots.end() ? found->second.m_node.get() : nullptr;
  }
  [[nodiscard]] std::vector<HostId> Hosts() const {
    std::vector<HostId> hosts;
    for (const auto& [host, slot] : m_slots) hosts.push_back(host);
    return hosts;
  }

  /// Sends messages that a node returned to a call made from outside.
  void Send(HostId from, std::vector<OutgoingMessage> messages) {
    Dispatch(from, m_slots.at(from), std::move(messages));
  }

  /// Drops all messages from one host to another until `RestoreLinks`.
  void Cut(HostId from, HostId to) { m_cut_links.insert({from, to}); }
  void RestoreLinks() { m_cut_links.clear(); }
  /// A paused node takes no messages and no ticks until the time given.
  void Pause(HostId host, Duration time) { m_slots.at(host).m_paused_until = m_now + time; }
  LinkSettings& Links() { return m_links; }

  [[nodiscard]] TimePoint Now() const { return m_now; }
  [[nodiscard]] std::uint64_t BytesSentBy(HostId host) const { return m_bytes_sent.at(host); }
  [[nodiscard]] const std::map<HostId, std::uint64_t>& BytesSent() const { return m_bytes_sent; }
  [[nodiscard]] const std::map<HostId, std::uint64_t>& BytesReceived() const { return m_bytes_received; }
  void ClearCounts() {
    m_bytes_sent.clear();
    m_bytes_received.clear();
    m_messages = 0;
  }
  [[nodiscard]] std::uint64_t Messages() const { return m_messages; }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.top().m_at <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.m_at);
      Handle(event);
    }
    m_now = end;
  }

 private:
  /// A running node with its timer.
  struct Slot {
    std::unique_ptr<Node> m_node;
    TimePoint m_timer_at = TimePoint::max();
    TimePoint m_paused_until;
    /// Tells this node from earlier ones of the same host.
    std::uint64_t m_start_sequence = 0;
  };
  struct Event {
    TimePoint m_at;
    std::uint64_t m_sequence = 0;
    HostId m_to;
    HostId m_from;
    /// `Slot::m_start_sequence` of the node whose timer it is, so that a removed node's timer is ignored; 0 for a
    /// message.
    std::uint64_t m_timer_start_sequence = 0;
    std::shared_ptr<const OutgoingMessage> m_message;

    /// Reversed, so that the priority queue gives the earliest event first.
    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(left.m_at, left.m_sequence) > std::pair(right.m_at, right.m_sequence);
    }
  };

  void Handle(Event& event) {
    const auto found = m_slots.find(event.m_to);
    if (found == m_slots.end()) return;
    Slot& slot = found->second;
    const bool is_paused = m_now < slot.m_paused_until;
    if (event.m_timer_start_sequence != 0) {
      if (event.m_timer_start_sequence != slot.m_start_sequence || event.m_at != slot.m_timer_at) return;
      slot.m_timer_at = TimePoint::max();
      if (is_paused) return Schedule(event.m_to, slot, slot.m_paused_until);
      return Dispatch(event.m_to, slot, slot.m_node->Tick(m_now));
    }
    if (is_paused) return;
    m_bytes_received[event.m_to] += kDatagramOverheadBytes + event.m_message->m_payload.size();
    const OutgoingMessage& message = *event.m_message;
    Dispatch(event.m_to, slot,
             slot.m_node->Receive(m_now, event.m_from, EndpointOf(event.m_from), message.m_type, message.m_payload));
  }

  void Dispatch(HostId from, Slot& slot, std::vector<OutgoingMessage> messages) {
    for (OutgoingMessage& message : messages) Transmit(from, std::move(message));
    Schedule(from, slot, slot.m_node->NextDeadline());
  }

  void Schedule(HostId host, Slot& slot, TimePoint at) {
    at = std::max(at, m_now + std::chrono::microseconds(1));
    if (at >= slot.m_timer_at) return;
    slot.m_timer_at = at;
    m_events.push({at, ++m_sequence, host, host, slot.m_start_sequence, nullptr});
  }

  void Transmit(HostId from, OutgoingMessage message) {
    const HostId to{message.m_destination.m_address.ToV4()};
    m_bytes_sent[from] += kDatagramOverheadBytes + message.m_payload.size();
    ++m_messages;
    const int copies = m_links.m_duplicates > 0 && m_random.NextDouble() < m_links.m_duplicates ? 2 : 1;
    const auto shared = std::make_shared<const OutgoingMessage>(std::move(message));
    for (int copy = 0; copy < copies; ++copy) {
      if (m_cut_links.contains({from, to}) || m_random.NextDouble() < m_links.m_loss) continue;
      const auto jitter = static_cast<std::uint64_t>(m_links.m_jitter.count());
      const Duration delay = m_links.m_delay + Duration(static_cast<Duration::rep>(m_random.Below(jitter + 1)));
      m_events.push({m_now + delay, ++m_sequence, to, from, 0, shared});
    }
  }

  LinkSettings m_links;
  Random m_random;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_messages = 0;
  std::map<HostId, Slot> m_slots;
  std::set<std::pair<HostId, HostId>> m_cut_links;
  std::map<HostId, std::uint64_t> m_bytes_sent;
  std::map<HostId, std::uint64_t> m_bytes_received;
  std::priority_queue<Event> m_events;
};

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_VIRTUAL_NETWORK_H_
