#ifndef FIGHATCH_TESTS_EGRESS_FIXTURE_H_
#define FIGHATCH_TESTS_EGRESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "fighatch/egress_scheduler.h"
#include "steering_fixture.h"
#include "uplink_replay.h"

namespace fighatch::testing_support {

inline constexpr milliseconds kObjective{1200};
inline constexpr std::uint32_t kDataBytes = 1200;
inline constexpr std::size_t kDatagramBytes = 1240;

/// A scheduler in virtual time, with the link rate of the replays.
class EgressFixture : public testing::Test {
 protected:
  void Open(std::uint32_t client) { (void)Offer(OpeningPacket(client)); }
  bool Data(std::uint32_t client, std::uint32_t sequence) {
    CookiePacket packet = LaterPacket(client, 1);
    packet.m_sequence = sequence;
    packet.m_data_bytes = kDataBytes;
    return Offer(packet);
  }
  bool Offer(const CookiePacket& packet) {
    const Endpoint destination{packet.m_endpoints.m_client.m_address, static_cast<std::uint16_t>(packet.m_sequence)};
    const std::vector<std::byte> bytes(packet.m_data_bytes > 0 ? kDatagramBytes : 40);
    return m_scheduler.Offer(m_now, packet, kObjective, destination, bytes);
  }
  // Opens a flow and sends data until `packets` of its bulk data are queued.
  void QueueBulk(std::uint32_t client, std::uint32_t packets) {
    Open(client);
    for (std::uint32_t sequence = 1; sequence <= 6 + packets; ++sequence) (void)Data(client, sequence);
  }
  // Sends all that is queued, and leaves the link idle.
  void SendAll() {
    for (; !m_scheduler.IsEmpty(); m_now += milliseconds(1)) (void)m_scheduler.Take(m_now);
    m_now += milliseconds(100);
  }
  bool Close(std::uint32_t client, std::uint32_t sequence, std::uint32_t data_bytes) {
    CookiePacket closing = LaterPacket(client, 1, true);
    closing.m_sequence = sequence;
    closing.m_data_bytes = data_bytes;
    return Offer(closing);
  }
  std::uint64_t OpenBytes() { return m_scheduler.DemandOf(kPublicAddress).m_open_bytes; }
  // Sends until nothing of the short class is left.
  void SendShort() {
    for (; !m_scheduler.IsEmpty(); m_now += EgressScheduler::kPacingInterval) {
      while (const auto next = m_scheduler.Take(m_now)) {
        if (next->m_class == EgressClass::kBulk) return;
      }
    }
  }
  std::uint32_t ClientOf(const EgressDatagram& datagram) {
    return datagram.m_destination.m_address.ToV4() - 0x64400000;
  }
  std::uint64_t Dropped(EgressDropReason reason) {
    return m_scheduler.Counters().m_dropped[static_cast<std::size_t>(reason)];
  }
  // Sends for `span` and counts the datagrams for which `counts` is true, and all of them.
  template <typename Predicate, typename BeforeEach>
  double ShareSent(Duration span, const Predicate& counts, const BeforeEach& before_each) {
    double counted = 0;
    double all = 0;
    for (const TimePoint end = m_now + span; m_now < end; m_now += EgressScheduler::kPacingInterval) {
      before_each();
      while (const auto next = m_scheduler.Take(m_now)) {
        all += static_cast<double>(next->m_bytes.size());
        if (counts(*next)) counted += static_cast<double>(next->m_bytes.size());
      }
    }
    return counted / all;
  }

  TimePoint m_now{std::chrono::seconds(100)};
  EgressScheduler m_scheduler{UplinkReplay::kLinkMbps};
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_EGRESS_FIXTURE_H_
