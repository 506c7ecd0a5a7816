#include "fighatch/egress_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/steering_balancer_settings.h"
#include "uplink_replay.h"

namespace fighatch {
namespace {

using testing_support::LaterPacket;
using testing_support::milliseconds;
using testing_support::OpeningPacket;
using testing_support::UplinkReplay;

constexpr milliseconds kObjective{1200};
constexpr std::uint32_t kDataBytes = 1200;
constexpr std::size_t kDatagramBytes = 1240;

class EgressSchedulerTest : public testing::Test {
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
  std::uint64_t OpenBytes() { return m_scheduler.DemandOf(testing_support::kPublicAddress).m_open_bytes; }
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

// Guards against a link that carries the same data twice because retransmissions wait behind their originals.
TEST_F(EgressSchedulerTest, DropsDuplicatesOfQueuedData) {
  QueueBulk(1, 10);
  QueueBulk(2, 1);
  EXPECT_FALSE(Data(1, 16));
  EXPECT_EQ(Dropped(EgressDropReason::kDuplicate), 1U);
  while (!m_scheduler.IsEmpty()) {
    (void)m_scheduler.Take(m_now);
    m_now += milliseconds(1);
  }
  m_now += milliseconds(100);
  EXPECT_TRUE(Data(1, 16));
  EXPECT_EQ(Dropped(EgressDropReason::kDuplicate), 1U);
}

// Guards against a target that sees the end of a flow before its data.
TEST_F(EgressSchedulerTest, PacketsOfAFlowKeepTheirOrder) {
  for (const std::uint32_t packets : {4U, 12U}) {
    Open(packets);
    std::vector<int> sent;
    for (std::uint32_t sequence = 1; sequence <= packets; ++sequence) {
      if (Data(packets, sequence)) sent.push_back(static_cast<int>(sequence));
    }
    CookiePacket closing = LaterPacket(packets, 1, true);
    closing.m_sequence = packets + 1;
    EXPECT_FALSE(Offer(closing));
    for (; !m_scheduler.IsEmpty(); m_now += EgressScheduler::kPacingInterval) {
      while (const auto next = m_scheduler.Take(m_now)) sent.push_back(next->m_destination.m_port);
    }
    ASSERT_EQ(sent.size(), packets + 1);
    EXPECT_TRUE(std::is_sorted(sent.begin(), sent.end()));
  }
}

// Guards against bulk data that stops while short packets fill the link; it gets at least a tenth.
TEST_F(EgressSchedulerTest, BulkDataKeepsItsShareUnderShortPackets) {
  QueueBulk(1, 400);
  SendShort();
  std::uint32_t client = 10;
  const double share = ShareSent(
      std::chrono::seconds(1), [](const EgressDatagram& sent) { return sent.m_class == EgressClass::kBulk; },
      [&] {
        for (int count = 0; count < 3; ++count) (void)Data(++client, 1);
      });
  EXPECT_GE(share, 0.1);
  EXPECT_LE(share, 0.2);
}

// Guards against short packets that all arrive late once they exceed the link: those that are sent waited briefly.
TEST_F(EgressSchedulerTest, ShortPacketsWaitForALimitedTime) {
  constexpr double kLoad = 1.3;
  const auto gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((kDatagramBytes + 28) / (kLoad * UplinkReplay::kLinkBytesPerSecond)));
  std::uint32_t client = 0;
  std::uint32_t in_time = 0;
  TimePoint arrival = m_now;
  for (const TimePoint end = m_now + std::chrono::seconds(3); m_now < end; m_now += EgressScheduler::kPacingInterval) {
    for (; arrival <= m_now; arrival += gap) in_time += Data(++client, 1) ? 1U : 0U;
    while (const auto next = m_scheduler.Take(m_now)) {
      EXPECT_LE(m_now - next->m_queued_at, milliseconds(150));
      ++in_time;
    }
  }
  EXPECT_GT(Dropped(EgressDropReason::kTooLate), 0U);
  EXPECT_GE(in_time / static_cast<double>(client), 0.95 * EgressScheduler::kPacedShareOfLink / kLoad);
}

// Guards against bulk data that is evicted when opening packets fill the queue; it gets at least a tenth of the link.
TEST_F(EgressSchedulerTest, BulkDataKeepsItsShareUnderOpeningPackets) {
  QueueBulk(1, 400);
  SendShort();
  std::uint32_t client = 10;
  const double share = ShareSent(
      std::chrono::seconds(5), [](const EgressDatagram& sent) { return sent.m_class == EgressClass::kBulk; },
      [&] {
        (void)Offer(LaterPacket(1, 1));
        for (int count = 0; count < 200; ++count) Open(++client);
      });
  EXPECT_GT(Dropped(EgressDropReason::kQueueFull), 0U);
  EXPECT_GE(share, 0.1);
}

// Guards against an upload that loses its share of the link by the acknowledgements that it sends.
TEST_F(EgressSchedulerTest, AcknowledgementsDoNotHoldBackBulkData) {
  QueueBulk(1, 400);
  SendShort();
  std::uint32_t client = 10;
  const double share = ShareSent(
      std::chrono::seconds(1), [](const EgressDatagram& sent) { return sent.m_class == EgressClass::kBulk; },
      [&] {
        (void)Offer(LaterPacket(1, 1));
        for (int count = 0; count < 3; ++count) (void)Data(++client, 1);
      });
  EXPECT_GE(share, 0.1);
  EXPECT_LE(share, 0.2);
}

// Guards against late flows that stop while others can still finish in time, and against an order other than by age.
TEST_F(EgressSchedulerTest, LateFlowsProgressWhileOthersAreServed) {
  QueueBulk(1, 200);
  QueueBulk(2, 200);
  SendShort();
  m_now += kObjective;
  QueueBulk(3, 200);
  SendShort();
  std::set<std::uint32_t> clients;
  const double share = ShareSent(
      milliseconds(400),
      [&](const EgressDatagram& sent) {
        clients.insert(ClientOf(sent));
        return ClientOf(sent) == 1;
      },
      [] {});
  EXPECT_GE(share, 0.1);
  EXPECT_LE(share, 0.2);
  EXPECT_EQ(clients, (std::set<std::uint32_t>{1, 3}));
}

// Guards against requests on a long flow that are treated as bulk data once the flow has sent enough in all.
TEST_F(EgressSchedulerTest, EachRequestOfALongFlowIsShort) {
  Open(1);
  QueueBulk(2, 400);
  for (std::uint32_t request = 1; request <= 20; ++request) {
    bool is_sent = Data(1, request);
    for (int wait = 0; wait < 12; ++wait, m_now += EgressScheduler::kPacingInterval) {
      while (const auto next = m_scheduler.Take(m_now)) {
        if (ClientOf(*next) != 1) continue;
        EXPECT_EQ(next->m_class, EgressClass::kShort) << request;
        is_sent = true;
      }
    }
    EXPECT_TRUE(is_sent) << request;
    (void)Offer(LaterPacket(1, 1));
    (void)Offer(LaterPacket(2, 1));
  }
  EXPECT_LT(m_scheduler.DemandOf(testing_support::kPublicAddress).m_mean_bytes, BulkAdmission::kMinBulkBytes);
}

// Guards against the first data of a request that counts as bulk because of the bytes of the request before it.
TEST_F(EgressSchedulerTest, FirstDataAfterALargeRequestIsShort) {
  QueueBulk(1, 10);
  SendAll();
  EXPECT_TRUE(Offer(LaterPacket(1, 1)));
  m_scheduler.Charge(m_now, 10000);
  EXPECT_FALSE(Data(1, 17));
  m_now += milliseconds(100);
  const auto next = m_scheduler.Take(m_now);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->m_class, EgressClass::kShort);
}

// Guards against a second target for a flow whose first opening packet has not left this host yet.
TEST_F(EgressSchedulerTest, DropsOpeningPacketsWhileOneIsQueued) {
  m_scheduler.Charge(m_now, 40000);
  Open(1);
  EXPECT_FALSE(Offer(OpeningPacket(1, 1)));
  EXPECT_EQ(Dropped(EgressDropReason::kDuplicate), 1U);
  EXPECT_EQ(m_scheduler.QueuedPackets(), 1U);
  m_now += milliseconds(130);
  EXPECT_TRUE(m_scheduler.Take(m_now).has_value());
  EXPECT_TRUE(Offer(OpeningPacket(1, 1)));
}

// Guards against a place in the order that is lost when data follows a closing packet that still waits.
TEST_F(EgressSchedulerTest, DataAfterAWaitingClosingPacketIsSent) {
  QueueBulk(1, 3);
  (void)Offer(LaterPacket(1, 1, true));
  while (m_scheduler.QueuedPackets() > 1) {
    (void)m_scheduler.Take(m_now);
    m_now += std::chrono::microseconds(100);
  }
  EXPECT_FALSE(Data(1, 20));
  EXPECT_FALSE(Data(1, 21));
  for (int sent = 0; sent < 3; m_now += milliseconds(1)) sent += m_scheduler.Take(m_now).has_value() ? 1 : 0;
  EXPECT_TRUE(m_scheduler.IsEmpty());
  m_now += milliseconds(100);
  for (const std::uint32_t client : {2U, 3U}) EXPECT_TRUE(Offer(OpeningPacket(client))) << client;
}

// Guards against memory that grows with the load: beyond the limit the flow that would finish last loses packets.
TEST_F(EgressSchedulerTest, QueueIsBounded) {
  QueueBulk(1, 200);
  m_now += milliseconds(1);
  QueueBulk(2, 2000);
  EXPECT_LE(m_scheduler.QueuedBytes(), EgressScheduler::kMaxQueuedBytes);
  EXPECT_LE(m_scheduler.QueuedPackets(), EgressScheduler::kMaxQueuedPackets);
  EXPECT_GT(Dropped(EgressDropReason::kQueueFull), 0U);
  std::map<std::uint32_t, int> sent;
  while (!m_scheduler.IsEmpty()) {
    (void)Offer(LaterPacket(1, 1));
    (void)Offer(LaterPacket(2, 1));
    while (const auto next = m_scheduler.Take(m_now)) sent[ClientOf(*next)] += next->m_class == EgressClass::kBulk;
    m_now += EgressScheduler::kPacingInterval;
  }
  EXPECT_EQ(sent[1], 200);
}

// Guards against a queue that is kept for clients that have gone.
TEST_F(EgressSchedulerTest, SilentAndResetFlowsGiveUpTheirQueue) {
  QueueBulk(1, 20);
  QueueBulk(2, 20);
  m_scheduler.Forget(m_now, OpeningPacket(1).m_endpoints);
  EXPECT_EQ(Dropped(EgressDropReason::kFlowSilent), 20U);
  m_now += EgressScheduler::kMaxSilence + milliseconds(1);
  while (m_scheduler.Take(m_now)) {
  }
  EXPECT_TRUE(m_scheduler.IsEmpty());
  EXPECT_GE(Dropped(EgressDropReason::kFlowSilent), 40U);
}

// Guards against resets and messages that are sent beyond the rate of the link.
TEST_F(EgressSchedulerTest, ChargedBytesDelayPackets) {
  m_scheduler.Charge(m_now, 40000);
  Open(1);
  EXPECT_FALSE(m_scheduler.IsEmpty());
  m_now += milliseconds(100);
  EXPECT_FALSE(m_scheduler.Take(m_now).has_value());
  m_now += milliseconds(30);
  EXPECT_TRUE(m_scheduler.Take(m_now).has_value());
}

// Guards against a burst of resets after which nothing is sent for seconds.
TEST_F(EgressSchedulerTest, ChargedBytesDelayPacketsForALimitedTime) {
  for (const TimePoint end = m_now + std::chrono::seconds(5); m_now < end; m_now += milliseconds(1)) {
    m_scheduler.Charge(m_now, static_cast<std::size_t>(2 * UplinkReplay::kLinkBytesPerSecond / 1000));
  }
  Open(1);
  m_now += milliseconds(150);
  EXPECT_TRUE(m_scheduler.Take(m_now).has_value());
}

// Guards against refusals because of bytes that nobody is going to send: of flows that routers moved here, and of
// clients that have gone.
TEST_F(EgressSchedulerTest, ExpectsBytesOnlyOfActiveFlowsThatOpenedHere) {
  for (std::uint32_t client = 1; client <= BulkAdmission::kMinFinishedFlows; ++client) {
    QueueBulk(client, 14);
    (void)Close(client, 21, 0);
    SendAll();
  }
  EXPECT_EQ(OpenBytes(), 0U);
  // A retransmission after the closing packet.
  EXPECT_TRUE(Data(1, 20));
  EXPECT_EQ(OpenBytes(), 0U);
  Open(100);
  EXPECT_EQ(OpenBytes(), 20 * kDataBytes);
  m_now += milliseconds(501);
  m_scheduler.RemoveSilentFlows(m_now);
  EXPECT_EQ(OpenBytes(), 0U);
  EXPECT_TRUE(Data(100, 1));
  EXPECT_EQ(OpenBytes(), 19 * kDataBytes);
}

// Guards against the refusal of an opening packet that resets a flow which is open.
TEST_F(EgressSchedulerTest, KnowsOpenFlows) {
  EXPECT_FALSE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
  QueueBulk(1, 3);
  EXPECT_TRUE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
  (void)Close(1, 10, 0);
  EXPECT_FALSE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
}

// Guards against a flow that is not closed at its target because its last data, which closes it, is retransmitted.
TEST_F(EgressSchedulerTest, KeepsClosingPacketsWithQueuedData) {
  QueueBulk(1, 10);
  EXPECT_FALSE(Data(1, 17));
  EXPECT_FALSE(Close(1, 17, kDataBytes));
  EXPECT_EQ(Dropped(EgressDropReason::kDuplicate), 0U);
}

// Guards against new flows that are not scheduled because flows which send nothing any more use all places.
TEST_F(EgressSchedulerTest, NewFlowsReplaceInactiveOnes) {
  for (std::uint32_t client = 1; client <= EgressScheduler::kMaxFlows; ++client) Open(client);
  constexpr std::uint32_t kNewClient = 100000;
  QueueBulk(kNewClient, 3);
  int bulk = 0;
  for (; !m_scheduler.IsEmpty(); m_now += milliseconds(1)) {
    while (const auto next = m_scheduler.Take(m_now)) {
      bulk += ClientOf(*next) == kNewClient && next->m_class == EgressClass::kBulk ? 1 : 0;
    }
  }
  EXPECT_GT(bulk, 0);
}

// Guards against log lines for each short queue, and against none for a link that stays full.
TEST_F(EgressSchedulerTest, SaturationFollowsLongQueues) {
  QueueBulk(1, 1000);
  m_now += milliseconds(900);
  EXPECT_FALSE(m_scheduler.UpdateSaturation(m_now));
  m_now += milliseconds(200);
  EXPECT_TRUE(m_scheduler.UpdateSaturation(m_now));
  m_scheduler.Forget(m_now, OpeningPacket(1).m_endpoints);
  while (!m_scheduler.IsEmpty()) {
    (void)m_scheduler.Take(m_now);
    m_now += milliseconds(1);
  }
  EXPECT_TRUE(m_scheduler.UpdateSaturation(m_now));
  m_now += milliseconds(1100);
  EXPECT_FALSE(m_scheduler.UpdateSaturation(m_now));
}

// Guards against counts that drift: what was offered is sent, queued or dropped, and nothing is left of flows that end.
RC_GTEST_FIXTURE_PROP(EgressSchedulerTest, AccountsForEveryPacket, ()) {
  std::uint64_t offered = 0;
  const auto accounted = [&] {
    const EgressCounters& counters = m_scheduler.Counters();
    const std::uint64_t dropped = Dropped(EgressDropReason::kDuplicate) + Dropped(EgressDropReason::kQueueFull) +
                                  Dropped(EgressDropReason::kFlowSilent) + Dropped(EgressDropReason::kTooLate);
    return counters.m_sent + dropped + m_scheduler.QueuedPackets();
  };
  for (int step = 0; step < 2000; ++step) {
    CookiePacket packet = LaterPacket(*rc::gen::inRange(1U, 6U), 1);
    const int kind = *rc::gen::inRange(0, 40);
    packet.m_opening = kind == 0;
    packet.m_closing = kind % 8 == 1;
    // Mostly new data, at times a retransmission.
    packet.m_sequence = static_cast<std::uint32_t>(step) + *rc::gen::inRange(0U, 40U);
    packet.m_data_bytes = kind > 15 ? kDataBytes : 0;
    if (kind == 2) m_scheduler.Forget(m_now, packet.m_endpoints);
    (void)Offer(packet);
    ++offered;
    m_now += std::chrono::microseconds(*rc::gen::inRange(0, 6000));
    if (kind % 2 == 0) (void)m_scheduler.Take(m_now);
    RC_ASSERT(accounted() == offered);
  }
  m_now += EgressScheduler::kMaxSilence + milliseconds(1);
  while (m_scheduler.Take(m_now)) m_now += milliseconds(10);
  RC_ASSERT(m_scheduler.IsEmpty() && m_scheduler.QueuedBytes() == 0U && accounted() == offered);
  RC_ASSERT(m_scheduler.OpenBulkFlows() == 0U);
  RC_ASSERT(m_scheduler.DemandOf(testing_support::kPublicAddress).m_open_bytes == 0U);
}

// Guards against pacing of links that send a whole batch within one interval anyway.
TEST(EgressSchedulerSetupTest, IsOffWithoutAnEffect) {
  EXPECT_FALSE(EgressScheduler::IsNeeded(0, 32));
  EXPECT_TRUE(EgressScheduler::IsNeeded(2.8, 32));
  EXPECT_TRUE(EgressScheduler::IsNeeded(9.2, 32));
  EXPECT_FALSE(EgressScheduler::IsNeeded(1000, 32));
}

// Guards against a rate that is read wrongly or not bounded.
TEST(EgressSchedulerSetupTest, ReadsTheLinkRateFromTheSettings) {
  const auto parse = [](const std::string& rate) {
    return config::ParseSteeringBalancerSettings(
        R"({"address":"192.0.2.21","data_centre":"north","seeds":["192.0.2.11:7400"],"control_message_port":7401,)"
        R"("balancer_message_port":7402,"unsealed_messages":true,"packets":"192.0.2.21:7500",)"
        R"("readiness":"192.0.2.21:7501")" +
        rate + "}");
  };
  ASSERT_TRUE(IsOk(parse("")));
  EXPECT_EQ(ValueOf(parse("")).m_link_mbps, 0);
  EXPECT_EQ(ValueOf(parse(R"(,"link_mbps":2.8)")).m_link_mbps, 2.8);
  EXPECT_EQ(ValueOf(parse(R"(,"link_mbps":0)")).m_link_mbps, 0);
  EXPECT_EQ(ValueOf(parse(R"(,"link_mbps":0.01)")).m_link_mbps, 0.01);
  EXPECT_FALSE(IsOk(parse(R"(,"link_mbps":0.009)")));
  EXPECT_FALSE(IsOk(parse(R"(,"link_mbps":-1)")));
  EXPECT_FALSE(IsOk(parse(R"(,"link_mbps":1000001)")));
  EXPECT_FALSE(IsOk(parse(R"(,"link_mbps":"2.8")")));
}

}  // namespace
}  // namespace fighatch
