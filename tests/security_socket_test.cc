#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <cstdio>
#include <filesystem>

#include "io/message_socket.h"
#include "io/synced_file_store.h"

namespace fighatch::io {
namespace {

using Bytes = std::vector<std::byte>;

Endpoint Loopback() { return ValueOf(ParseEndpoint("127.0.0.1:0")); }
Deadline TestDeadline() { return std::chrono::steady_clock::now() + std::chrono::seconds(5); }

KeyRing TestRing() {
  KeyRing ring;
  EXPECT_TRUE(IsOk(ring.Add(KeyKind::kCluster, 1, KeyBytes{}, true)));
  return ring;
}

// A host with its secure channel and counters.
struct TestHost {
  explicit TestHost(std::uint32_t host) : m_channel({{host}, {1}, host}, TestRing()) {}

  SecureChannel m_channel;
  MessageCounters m_counters;
};

// Guards against a first message that is not sent again after its challenge, and against replies that are challenged
// once more.
TEST(SecuritySocketTest, DeliversTheFirstMessageToAnEndpointOfUnknownHost) {
  Reactor reactor;
  TestHost left(1);
  TestHost right(2);
  auto left_socket = MessageSocket::Bind(Loopback(), &left.m_channel, &left.m_counters);
  auto right_socket = MessageSocket::Bind(Loopback(), &right.m_channel, &right.m_counters);
  ASSERT_TRUE(IsOk(left_socket) && IsOk(right_socket));
  const Bytes payload(30, std::byte{4});
  ASSERT_TRUE(
      IsOk(ValueOf(left_socket)
               .Send(ValueOf(right_socket).Local(), SecureChannel::kUnknownReceiver, MessageType::kProbe, payload)));
  EXPECT_TRUE(ValueOf(right_socket).Receive(TestDeadline()).empty());
  EXPECT_TRUE(ValueOf(left_socket).Receive(TestDeadline()).empty());
  const auto messages = ValueOf(right_socket).Receive(TestDeadline());
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0].m_envelope.m_payload, payload);
  ASSERT_TRUE(IsOk(ValueOf(right_socket).Send(messages[0].m_source, {1}, MessageType::kProbeAck, payload)));
  EXPECT_EQ(ValueOf(left_socket).Receive(TestDeadline()).size(), 1U);
}

// Guards against refused datagrams that are not counted under their error code.
TEST(SecuritySocketTest, CountsRefusedDatagramsByCode) {
  Reactor reactor;
  TestHost host(1);
  auto socket = MessageSocket::Bind(Loopback(), &host.m_channel, &host.m_counters);
  auto raw = UdpSocket::Bind(Loopback());
  ASSERT_TRUE(IsOk(socket) && IsOk(raw));
  for (const std::size_t size : {std::size_t{3}, std::size_t{1201}, std::size_t{60000}, std::size_t{200}})
    ASSERT_TRUE(ValueOf(raw).Send(ValueOf(socket).Local(), Bytes(size)));
  std::uint64_t refused = 0;
  while (refused < 4) {
    EXPECT_TRUE(ValueOf(socket).Receive(TestDeadline()).empty());
    refused = 0;
    for (const auto& [code, count] : host.m_counters.m_refused) refused += count;
  }
  EXPECT_EQ(host.m_counters.m_refused[ErrorCode::kMessageTruncated], 1U);
  EXPECT_EQ(host.m_counters.m_refused[ErrorCode::kMessageOversized], 2U);
  EXPECT_EQ(host.m_counters.m_refused[ErrorCode::kMessageMalformed], 1U);
}

// Guards against a connection whose first messages are refused because the peers do not know each other's session
// tokens.
TEST(SecuritySocketTest, ExchangesTokensBeforeTheFirstMessageOfAConnection) {
  Reactor reactor;
  TestHost left(1);
  TestHost right(2);
  Result<TcpListener> listener = TcpListener::Listen(Loopback());
  ASSERT_TRUE(IsOk(listener));
  boost::fibers::fiber server([&] {
    Result<TcpStream> accepted = ValueOf(listener).Accept(TestDeadline());
    ASSERT_TRUE(IsOk(accepted));
    MessageStream stream(std::move(ValueOf(accepted)), &right.m_channel, &right.m_counters);
    Result<Envelope> message = stream.Receive(TestDeadline());
    ASSERT_TRUE(IsOk(message));
    EXPECT_EQ(stream.Peer(), HostId{1});
    EXPECT_TRUE(IsOk(stream.Send(MessageType::kRaft, ValueOf(message).m_payload, TestDeadline())));
    EXPECT_EQ(ErrorOf(stream.Receive(TestDeadline())).m_code, ErrorCode::kIoClosed);
  });
  auto stream =
      MessageStream::Connect(ValueOf(listener).Local(), {2}, &left.m_channel, &left.m_counters, TestDeadline());
  ASSERT_TRUE(IsOk(stream));
  const Bytes large(60000, std::byte{9});
  ASSERT_TRUE(IsOk(ValueOf(stream).Send(MessageType::kRaft, large, TestDeadline())));
  Result<Envelope> answer = ValueOf(stream).Receive(TestDeadline());
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).m_payload, large);
  ValueOf(stream).Close();
  server.join();
}

// Guards against a replacement that leaves bytes of the old content, and against a missing file that is reported as an
// error.
TEST(SyncedFileStoreTest, ReplacesWholeFiles) {
  const std::string folder = std::string(FIGHATCH_BINARY_DIR) + "/synced_file_store_test";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directory(folder);
  SyncedFileStore store(folder);
  EXPECT_TRUE(ValueOf(store.Read("file")).empty());
  for (const std::size_t size : {std::size_t{40000}, std::size_t{5}}) {
    const Bytes bytes(size, std::byte{3});
    ASSERT_TRUE(IsOk(store.Replace("file", bytes)));
    EXPECT_EQ(ValueOf(store.Read("file")), bytes);
  }
  SyncedFileStore missing(folder + "/none");
  EXPECT_EQ(ErrorOf(missing.Replace("file", {})).m_code, ErrorCode::kStorageIo);
}

}  // namespace
}  // namespace fighatch::io
