#ifndef FIGHATCH_TESTS_UPLINK_REPLAY_H_
#define FIGHATCH_TESTS_UPLINK_REPLAY_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fighatch/bulk_admission.h"
#include "fighatch/egress_scheduler.h"
#include "fighatch/random.h"
#include "steering_fixture.h"

namespace fighatch::testing_support {

/// A load on the uplink of one balancer.
struct UplinkLoad {
  /// Bytes of bulk flows that are opened per second, as a share of the link rate, without retransmissions.
  double m_bulk_share = 0.35;
  /// Flows per second with a small request each.
  double m_small_flows_per_second = 0;
  bool m_scheduled = true;
  bool m_admission = false;
  std::uint64_t m_seed = 1;
};

struct UplinkResult {
  std::uint32_t m_bulk_flows = 0;
  std::uint32_t m_bulk_in_time = 0;
  std::uint32_t m_bulk_refused = 0;
  std::uint32_t m_packets = 0;
  std::uint32_t m_link_drops = 0;
  /// From arrival of a small flow's packet to the start of its transmission.
  Duration m_longest_small_wait{0};
  EgressCounters m_counters;
  [[nodiscard]] double InTimeShare() const { return static_cast<double>(m_bulk_in_time) / m_bulk_flows; }
};

/// Discrete-event simulation of uploads through a balancer whose uplink has a short drop-tail queue. Senders have at
/// most 16 packets in flight and retransmit after 200, 400, 800 and 1,600 ms; every second packet is acknowledged.
class UplinkReplay {
 public:
  static constexpr double kLinkMbps = 2.8;
  static constexpr double kLinkBytesPerSecond = kLinkMbps * 125000;
  static constexpr std::size_t kLinkQueue = 8;
  static constexpr std::uint32_t kBulkPackets = 67;
  static constexpr std::uint32_t kInFlight = 16;
  static constexpr std::uint32_t kPacketBytes = 1200;
  static constexpr std::uint32_t kHeaderBytes = 40;
  static constexpr std::uint32_t kIpBytes = 28;
  static constexpr milliseconds kObjective{1200};
  static constexpr std::chrono::seconds kLength{120};

  explicit UplinkReplay(const UplinkLoad& load) : m_load(load), m_random(load.m_seed) {}

  UplinkResult Run() {
    const double bulk_bytes = kBulkPackets * (kPacketBytes + kHeaderBytes + kIpBytes);
    ScheduleArrivals(m_load.m_bulk_share * kLinkBytesPerSecond / bulk_bytes, true);
    ScheduleArrivals(m_load.m_small_flows_per_second, false);
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      m_now = event->first;
      const std::function<void()> run = std::move(event->second);
      m_events.erase(event);
      run();
    }
    m_result.m_counters = m_scheduler.Counters();
    return m_result;
  }

 private:
  struct Sender {
    std::uint32_t m_client = 0;
    Endpoint m_service;
    TimePoint m_started;
    std::uint32_t m_packets = 0;
    std::uint32_t m_next = 0;
    std::uint32_t m_arrivals = 0;
    std::set<std::uint32_t> m_received;
    std::set<std::uint32_t> m_acknowledged;
  };

  void Schedule(Duration delay, std::function<void()> run) { m_events.emplace(m_now + delay, std::move(run)); }

  void ScheduleArrivals(double per_second, bool bulk) {
    if (per_second <= 0) return;
    const double unit = static_cast<double>(m_random.Below(1000000) + 1) / 1000001.0;
    const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(unit) / per_second));
    Schedule(gap, [this, per_second, bulk] {
      if (m_now >= m_start + kLength) return;
      StartFlow(bulk);
      ScheduleArrivals(per_second, bulk);
    });
  }

  void StartFlow(bool bulk) {
    auto sender = std::make_shared<Sender>();
    sender->m_client = ++m_clients;
    sender->m_service = {kPublicAddress.m_address, static_cast<std::uint16_t>(bulk ? 443 : 80)};
    sender->m_started = m_now;
    sender->m_packets = bulk ? kBulkPackets : 1;
    if (bulk && m_load.m_admission &&
        !m_admission.Admit(MakePacket(*sender, 0), kObjective, m_scheduler.DemandOf(sender->m_service))) {
      ++m_result.m_bulk_refused;
      return;
    }
    m_result.m_bulk_flows += bulk ? 1 : 0;
    Transmit(sender, 0, 0);
  }

  // Packet 0 opens the flow; the one after the last data packet closes it.
  static CookiePacket MakePacket(const Sender& sender, std::uint32_t number) {
    CookiePacket packet;
    packet.m_endpoints = {{IpAddress::FromV4(0x64400000 + sender.m_client), 40000}, sender.m_service};
    packet.m_opening = number == 0;
    packet.m_closing = number > sender.m_packets;
    packet.m_sequence = number;
    const bool has_data = !packet.m_opening && !packet.m_closing;
    if (has_data) packet.m_data_bytes = sender.m_packets == 1 ? 400 : kPacketBytes;
    return packet;
  }

  void Transmit(const std::shared_ptr<Sender>& sender, std::uint32_t number, std::uint32_t copy) {
    if (sender->m_acknowledged.contains(number)) return;
    CookiePacket packet = MakePacket(*sender, number);
    if (packet.m_opening) packet.m_retransmissions = copy;
    if (packet.m_opening) packet.m_age = m_now - sender->m_started;
    if (copy < 4) Schedule(milliseconds(200U << copy), [=, this] { Transmit(sender, number, copy + 1); });
    ++m_result.m_packets;
    const std::vector<std::byte> bytes(kHeaderBytes + packet.m_data_bytes);
    m_deliveries[{sender->m_client, number}] = {sender, m_now};
    const Endpoint destination{IpAddress::FromV4(sender->m_client), static_cast<std::uint16_t>(number)};
    if (!m_load.m_scheduled || m_scheduler.Offer(m_now, packet, kObjective, destination, bytes)) {
      SendToLink(destination, bytes.size());
    }
    if (!m_scheduler.IsEmpty() && !std::exchange(m_pacing, true)) Pace();
  }

  void Pace() {
    while (const std::optional<EgressDatagram> next = m_scheduler.Take(m_now)) {
      SendToLink(next->m_destination, next->m_bytes.size());
    }
    m_pacing = !m_scheduler.IsEmpty();
    if (m_pacing) Schedule(EgressScheduler::kPacingInterval, [this] { Pace(); });
  }

  void SendToLink(const Endpoint& destination, std::size_t bytes) {
    if (m_link_packets >= kLinkQueue) {
      ++m_result.m_link_drops;
      return;
    }
    ++m_link_packets;
    const auto [sender, sent] = m_deliveries.at({destination.m_address.ToV4(), destination.m_port});
    const TimePoint begin = std::max(m_now, m_link_free_at);
    if (sender->m_packets == 1) m_result.m_longest_small_wait = std::max(m_result.m_longest_small_wait, begin - sent);
    const std::chrono::duration<double> transmission(static_cast<double>(bytes + kIpBytes) / kLinkBytesPerSecond);
    m_link_free_at = begin + std::chrono::duration_cast<Duration>(transmission);
    const std::uint32_t number = destination.m_port;
    Schedule(m_link_free_at - m_now, [this, sender = sender, number] {
      --m_link_packets;
      Deliver(sender, number);
    });
  }

  void Deliver(const std::shared_ptr<Sender>& sender, std::uint32_t number) {
    sender->m_received.insert(number);
    const bool is_complete = sender->m_received.size() > sender->m_packets;
    if (++sender->m_arrivals % 2 == 0 || number == 0 || is_complete) sender->m_acknowledged = sender->m_received;
    if (number == 0) sender->m_next = std::max(sender->m_next, 1U);
    const auto in_flight = [&] { return sender->m_next - sender->m_acknowledged.size(); };
    while (sender->m_next > 0 && sender->m_next <= sender->m_packets && in_flight() < kInFlight) {
      Transmit(sender, sender->m_next++, 0);
    }
    if (!is_complete || sender->m_next != sender->m_packets + 1) return;
    const bool in_time = m_now - sender->m_started <= kObjective;
    m_result.m_bulk_in_time += sender->m_packets == kBulkPackets && in_time ? 1 : 0;
    Transmit(sender, sender->m_next++, 0);
  }

  UplinkLoad m_load;
  Random m_random;
  const TimePoint m_start{std::chrono::seconds(100)};
  TimePoint m_now = m_start;
  std::multimap<TimePoint, std::function<void()>> m_events;
  EgressScheduler m_scheduler{kLinkMbps};
  BulkAdmission m_admission;
  std::uint32_t m_clients = 0;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::shared_ptr<Sender>, TimePoint>> m_deliveries;
  bool m_pacing = false;
  std::size_t m_link_packets = 0;
  TimePoint m_link_free_at;
  UplinkResult m_result;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_UPLINK_REPLAY_H_
