#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "io/reactor.h"
#include "io/tcp_stream.h"
#include "io/udp_socket.h"

namespace fighatch::io {
namespace {

Endpoint Loopback() { return ValueOf(ParseEndpoint("127.0.0.1:0")); }

Deadline TestDeadline() { return std::chrono::steady_clock::now() + std::chrono::seconds(5); }

// Guards against fibers that wait for descriptors and are never resumed, for example while another fiber is always
// ready.
TEST(ReactorTest, ExchangesFramesBesideABusyFiber) {
  Reactor reactor;
  Result<TcpListener> listener = TcpListener::Listen(Loopback());
  ASSERT_TRUE(IsOk(listener));
  bool done = false;
  boost::fibers::fiber busy([&done] {
    while (!done) boost::this_fiber::yield();
  });
  boost::fibers::fiber server([&listener] {
    Result<TcpStream> stream = ValueOf(listener).Accept(TestDeadline());
    ASSERT_TRUE(IsOk(stream));
    Result<std::vector<std::byte>> frame = ValueOf(stream).ReadFrame(100, TestDeadline());
    ASSERT_TRUE(IsOk(frame));
    EXPECT_TRUE(IsOk(ValueOf(stream).WriteFrame(ValueOf(frame), TestDeadline())));
  });
  Result<TcpStream> client = TcpStream::Connect(ValueOf(listener).Local(), TestDeadline());
  ASSERT_TRUE(IsOk(client));
  const std::vector<std::byte> sent(42, std::byte{7});
  ASSERT_TRUE(IsOk(ValueOf(client).WriteFrame(sent, TestDeadline())));
  Result<std::vector<std::byte>> received = ValueOf(client).ReadFrame(100, TestDeadline());
  ASSERT_TRUE(IsOk(received));
  EXPECT_EQ(ValueOf(received), sent);
  done = true;
  server.join();
  busy.join();
}

// Guards against the reuse of a connection whose peer has restarted: the first message on it is lost without an error.
TEST(TcpStreamTest, DetectsThatThePeerHasClosed) {
  Reactor reactor;
  Result<TcpListener> listener = TcpListener::Listen(Loopback());
  ASSERT_TRUE(IsOk(listener));
  Result<TcpStream> client = TcpStream::Connect(ValueOf(listener).Local(), TestDeadline());
  ASSERT_TRUE(IsOk(client));
  Result<TcpStream> server = ValueOf(listener).Accept(TestDeadline());
  ASSERT_TRUE(IsOk(server));
  EXPECT_FALSE(ValueOf(client).HasPeerClosed());
  ValueOf(server).Close();
  EXPECT_TRUE(Reactor::WaitReadable(ValueOf(client).Fd(), TestDeadline()));
  EXPECT_TRUE(ValueOf(client).HasPeerClosed());
}

// Guards against unbounded allocation for a frame length that was read from the network.
TEST(TcpStreamTest, RefusesAFrameAboveTheLimit) {
  Reactor reactor;
  Result<TcpListener> listener = TcpListener::Listen(Loopback());
  boost::fibers::fiber server([&listener] {
    Result<TcpStream> stream = ValueOf(listener).Accept(TestDeadline());
    ASSERT_TRUE(IsOk(stream));
    EXPECT_EQ(ErrorOf(ValueOf(stream).ReadFrame(10, TestDeadline())).m_code, ErrorCode::kMessageOversized);
  });
  Result<TcpStream> client = TcpStream::Connect(ValueOf(listener).Local(), TestDeadline());
  ASSERT_TRUE(IsOk(client));
  EXPECT_TRUE(IsOk(ValueOf(client).WriteFrame(std::vector<std::byte>(11), TestDeadline())));
  server.join();
}

// Guards against lost or mixed-up datagrams in batched calls, and against a receive call that waits beyond its
// deadline.
TEST(UdpSocketTest, SendsAndReceivesBatches) {
  Reactor reactor;
  Result<UdpSocket> left = UdpSocket::Bind(Loopback());
  Result<UdpSocket> right = UdpSocket::Bind(Loopback());
  ASSERT_TRUE(IsOk(left) && IsOk(right));
  std::vector<std::array<std::byte, 2>> payloads(100);
  std::vector<OutgoingDatagram> batch;
  for (std::size_t index = 0; index < payloads.size(); ++index) {
    payloads[index] = {static_cast<std::byte>(index), std::byte{1}};
    batch.push_back({ValueOf(right).Local(), payloads[index]});
  }
  ASSERT_EQ(ValueOf(left).Send(batch), payloads.size());
  std::size_t received = 0;
  while (received < payloads.size()) {
    const auto datagrams = ValueOf(right).Receive(TestDeadline());
    ASSERT_FALSE(datagrams.empty());
    for (const IncomingDatagram& datagram : datagrams) {
      EXPECT_EQ(datagram.m_source, ValueOf(left).Local());
      EXPECT_EQ(datagram.m_bytes[0], static_cast<std::byte>(received++));
    }
  }
  EXPECT_TRUE(ValueOf(right).Receive(std::chrono::steady_clock::now()).empty());
}

}  // namespace
}  // namespace fighatch::io
