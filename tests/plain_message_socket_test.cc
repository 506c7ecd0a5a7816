#include "io/plain_message_socket.h"

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "fighatch/random.h"
#include "io/reactor.h"

namespace fighatch::io {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class PlainMessageSocketTest : public testing::Test {
 protected:
  // Sends the payloads from one socket to the other and returns the messages that arrive.
  std::vector<PlainMessage> Exchange(const std::vector<std::vector<std::byte>>& payloads) {
    std::vector<PlainMessage> received;
    boost::fibers::fiber([&] {
      for (const auto& payload : payloads) {
        EXPECT_TRUE(IsOk(m_sender.Send(m_address, MessageType::kRaft, payload)));
      }
      while (received.size() < payloads.size()) {
        std::vector<PlainMessage> batch = m_receiver.Receive(steady_clock::now() + milliseconds(300));
        if (batch.empty() && m_idle++ > 3) break;
        for (PlainMessage& message : batch) received.push_back(std::move(message));
      }
    }).join();
    return received;
  }

  static std::vector<std::byte> RandomBytes(std::size_t size) {
    Random random(size);
    std::vector<std::byte> bytes(size);
    for (std::byte& byte : bytes) byte = static_cast<std::byte>(random());
    return bytes;
  }

  Reactor m_reactor;
  Endpoint m_address{IpAddress::FromV4(0x7F000001), 39517};
  PlainMessageSocket m_receiver = std::move(ValueOf(*new auto(PlainMessageSocket::Bind(m_address))));
  PlainMessageSocket m_sender = std::move(ValueOf(*new auto(PlainMessageSocket::Bind({m_address.m_address, 0}))));
  int m_idle = 0;
};

// Guards against lost or mixed-up messages above the size of a datagram: log entries hold whole state documents.
TEST_F(PlainMessageSocketTest, ReassemblesLargeMessages) {
  const std::vector<std::vector<std::byte>> payloads = {
      RandomBytes(10), RandomBytes(50000), std::vector<std::byte>(300000, std::byte{7}), {}};
  const std::vector<PlainMessage> received = Exchange(payloads);
  ASSERT_EQ(received.size(), payloads.size());
  for (std::size_t index = 0; index < payloads.size(); ++index) EXPECT_EQ(received[index].m_payload, payloads[index]);
}

// Guards against an empty fragment that arrives twice, counts twice, and completes a message of which a part is
// missing.
TEST_F(PlainMessageSocketTest, RefusesEmptyFragments) {
  Result<UdpSocket> stranger = UdpSocket::Bind({m_address.m_address, 0});
  ASSERT_TRUE(IsOk(stranger));
  // Magic, version, type, flags, message id, fragment 0 of 2.
  const std::vector<std::byte> fragment{
      std::byte{'F'}, std::byte{'P'}, std::byte{1}, static_cast<std::byte>(MessageType::kRaft),
      std::byte{0},   std::byte{0},   std::byte{0}, std::byte{0},
      std::byte{9},   std::byte{0},   std::byte{0}, std::byte{0},
      std::byte{2}};
  for (int copy = 0; copy < 2; ++copy) EXPECT_TRUE(ValueOf(stranger).Send(m_address, fragment));
  boost::fibers::fiber([&] {
    EXPECT_TRUE(m_receiver.Receive(steady_clock::now() + milliseconds(100)).empty());
    EXPECT_TRUE(m_receiver.Receive(steady_clock::now() + milliseconds(100)).empty());
  }).join();
  EXPECT_EQ(m_receiver.Counters().m_malformed, 2U);
}

// Guards against datagrams from other programs being accepted as messages.
TEST_F(PlainMessageSocketTest, CountsAndDropsMalformedDatagrams) {
  Result<UdpSocket> stranger = UdpSocket::Bind({m_address.m_address, 0});
  ASSERT_TRUE(IsOk(stranger));
  for (std::size_t size = 0; size < 40; ++size) EXPECT_TRUE(ValueOf(stranger).Send(m_address, RandomBytes(size)));
  boost::fibers::fiber([&] {
    EXPECT_TRUE(m_receiver.Receive(steady_clock::now() + milliseconds(100)).empty());
  }).join();
  EXPECT_GT(m_receiver.Counters().m_malformed, 0U);
}

}  // namespace
}  // namespace fighatch::io
