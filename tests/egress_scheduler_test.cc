#include "fighatch/egress_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/steering_balancer_settings.h"
#include "egress_fixture.h"

namespace fighatch {
namespace {

using testing_support::kDataBytes;
using testing_support::kDatagramBytes;
using testing_support::kObjective;
using testing_support::LaterPacket;
using testing_support::milliseconds;
using testing_support::OpeningPacket;
using testing_support::UplinkReplay;

using EgressSchedulerTest = testing_support::EgressFixture;

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

// Guards against a flow that is not closed at its target because its last data, which closes it, is retransmitted.
TEST_F(EgressSchedulerTest, KeepsClosingPacketsWithQueuedData) {
  QueueBulk(1, 10);
  EXPECT_FALSE(Data(1, 17));
  EXPECT_FALSE(Close(1, 17, kDataBytes));
  EXPECT_EQ(Dropped(EgressDropReason::kDuplicate), 0U);
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
                                  Dropped(EgressDropReason::kFlowRemoved) + Dropped(EgressDropReason::kTooLate);
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
  m_now += EgressScheduler::kFlowIdleTimeout + milliseconds(1);
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
