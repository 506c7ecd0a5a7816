#include "fighatch/admission_queue.h"

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace fighatch {
namespace {

using testing_support::milliseconds;
using testing_support::OpeningPacket;

const TimePoint kStart{std::chrono::seconds(50)};

WaitingPacket MakePacket(std::uint32_t client, std::uint32_t priority, int since_ms) {
  return {OpeningPacket(client), priority, kStart + milliseconds(since_ms), {}, {}};
}

std::uint32_t ClientOf(const std::optional<WaitingPacket>& packet) {
  return packet ? packet->m_packet.m_endpoints.m_client.m_address.ToV4() - 0x64400000 : 0;
}

// Guards against a backlog that makes every new caller late because the oldest packets, which are late already, are
// served first.
TEST(AdmissionQueueTest, ServesByPriorityAndThenTheNewest) {
  AdmissionQueue queue;
  queue.Put(MakePacket(1, 2, 0));
  queue.Put(MakePacket(2, 1, 10));
  queue.Put(MakePacket(3, 2, 20));
  queue.Put(MakePacket(4, 1, 5));
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart)), 2U);
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart)), 4U);
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart)), 3U);
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart)), 1U);
  EXPECT_FALSE(queue.TakeNext(kStart).has_value());
}

// Guards against a flow that seems as young as its packet was when it arrived: its time in this queue counts as well.
TEST(AdmissionQueueTest, ReleasedPacketsHaveTheirPresentAge) {
  AdmissionQueue queue;
  queue.Put(MakePacket(1, 0, 0));
  const std::optional<WaitingPacket> released = queue.TakeNext(kStart + milliseconds(700));
  ASSERT_TRUE(released.has_value());
  EXPECT_EQ(released->m_packet.m_age, milliseconds(700));
}

// Guards against callers that give up because newer ones, which are late as well, are served before them.
TEST(AdmissionQueueTest, ServesTheOldestOfThoseThatAreLate) {
  AdmissionQueue queue;
  for (std::uint32_t client = 1; client <= 4; ++client) {
    WaitingPacket packet = MakePacket(client, 2, static_cast<int>(client) * 100);
    packet.m_objective_deadline = packet.m_first_sent + milliseconds(150);
    queue.Put(std::move(packet));
  }
  const TimePoint now = kStart + milliseconds(500);
  EXPECT_EQ(ClientOf(queue.TakeNext(now)), 4U);
  EXPECT_EQ(ClientOf(queue.TakeNext(now)), 1U);
  EXPECT_EQ(ClientOf(queue.TakeNext(now)), 2U);
  EXPECT_EQ(ClientOf(queue.TakeNext(now)), 3U);
}

// Guards against a service without free targets that blocks packets to other services.
TEST(AdmissionQueueTest, SkipsBlockedAddresses) {
  AdmissionQueue queue;
  queue.Put(MakePacket(1, 2, 0));
  queue.Put(MakePacket(2, 1, 0));
  WaitingPacket other = MakePacket(3, 3, 0);
  other.m_packet.m_endpoints.m_service.m_port = 8443;
  queue.Put(std::move(other));
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart, {testing_support::kPublicAddress})), 3U);
  EXPECT_FALSE(queue.TakeNext(kStart, {testing_support::kPublicAddress}).has_value());
  EXPECT_EQ(ClientOf(queue.TakeNext(kStart)), 2U);
}

// Guards against one request that is run twice, and against retransmissions that keep a packet queued after its client
// has given up.
TEST(AdmissionQueueTest, RetransmissionReplacesItsPacketAndKeepsTheTime) {
  AdmissionQueue queue;
  queue.Put(MakePacket(1, 2, 0));
  queue.Put(MakePacket(1, 2, 1000));
  EXPECT_EQ(queue.Size(), 1U);
  queue.Expire(kStart + milliseconds(1400));
  EXPECT_EQ(queue.Size(), 0U);
}

// Guards against callers that wait until their timeout for requests that cannot be served: they are refused while they
// can still retry.
TEST(AdmissionQueueTest, RemovesThePacketsServedLastBeyondTheLimit) {
  AdmissionQueue queue;
  for (std::uint32_t client = 1; client <= 5; ++client) queue.Put(MakePacket(client, 2, static_cast<int>(client)));
  const std::vector<WaitingPacket> refused = queue.RemoveExcess(3);
  ASSERT_EQ(refused.size(), 2U);
  EXPECT_EQ(ClientOf(refused[0]), 1U);
  EXPECT_EQ(ClientOf(refused[1]), 2U);
  EXPECT_EQ(queue.Size(), 3U);
  EXPECT_TRUE(queue.RemoveExcess(3).empty());
}

// Guards against one client address that takes the turns of others, and against late packets that go before those that
// can still be answered in time.
TEST(AdmissionQueueTest, AddressesTakeTurnsWhileTheServiceIsShort) {
  AdmissionQueue queue;
  const auto put = [&queue](std::uint32_t client, std::uint16_t port, int since_ms) {
    WaitingPacket packet = MakePacket(client, 2, since_ms);
    packet.m_packet.m_endpoints.m_client.m_port = port;
    packet.m_objective_deadline = packet.m_first_sent + milliseconds(600);
    queue.Put(std::move(packet));
  };
  for (std::uint16_t port = 1; port <= 3; ++port) put(1, port, 500 + port);
  put(2, 1, 400);
  put(3, 1, 450);
  put(4, 1, 0);
  queue.RecordServed(kStart, OpeningPacket(3).m_endpoints.m_client.m_address);
  const TimePoint answer_at = kStart + milliseconds(700);
  std::vector<std::uint32_t> order;
  for (const WaitingPacket& packet : queue.TakeInTurns(testing_support::kPublicAddress, answer_at)) {
    order.push_back(ClientOf(packet));
  }
  EXPECT_EQ(order, (std::vector<std::uint32_t>{1, 2, 3, 1, 1, 4}));
  EXPECT_EQ(queue.Size(), 0U);
}

}  // namespace
}  // namespace fighatch
