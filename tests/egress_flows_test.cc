#include <gtest/gtest.h>

#include "egress_fixture.h"

namespace fighatch {
namespace {

using testing_support::kDataBytes;
using testing_support::LaterPacket;
using testing_support::milliseconds;
using testing_support::OpeningPacket;

using EgressFlowsTest = testing_support::EgressFixture;

// Guards against requests on a long flow that are treated as bulk data once the flow has sent enough in all.
TEST_F(EgressFlowsTest, EachRequestOfALongFlowIsShort) {
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
TEST_F(EgressFlowsTest, FirstDataAfterALargeRequestIsShort) {
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

// Guards against a queue that is kept for clients that have gone.
TEST_F(EgressFlowsTest, SilentAndResetFlowsGiveUpTheirQueue) {
  QueueBulk(1, 20);
  QueueBulk(2, 20);
  m_scheduler.Forget(m_now, OpeningPacket(1).m_endpoints);
  EXPECT_EQ(Dropped(EgressDropReason::kFlowRemoved), 20U);
  m_now += EgressScheduler::kFlowIdleTimeout + milliseconds(1);
  while (m_scheduler.Take(m_now)) {
  }
  EXPECT_TRUE(m_scheduler.IsEmpty());
  EXPECT_GE(Dropped(EgressDropReason::kFlowRemoved), 40U);
}

// Guards against refusals because of bytes that nobody is going to send: of flows that routers moved here, and of
// clients that have gone.
TEST_F(EgressFlowsTest, ExpectsBytesOnlyOfActiveFlowsThatOpenedHere) {
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
TEST_F(EgressFlowsTest, KnowsOpenFlows) {
  EXPECT_FALSE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
  QueueBulk(1, 3);
  EXPECT_TRUE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
  (void)Close(1, 10, 0);
  EXPECT_FALSE(m_scheduler.IsOpen(OpeningPacket(1).m_endpoints));
}

// Guards against new flows that are not scheduled because flows which send nothing any more use all places.
TEST_F(EgressFlowsTest, NewFlowsReplaceInactiveOnes) {
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

// Guards against a place in the order that is lost when data follows a closing packet that still waits.
TEST_F(EgressFlowsTest, DataAfterAWaitingClosingPacketIsSent) {
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

}  // namespace
}  // namespace fighatch
