#include <gtest/gtest.h>

#include <string_view>

#include "fighatch/gue.h"
#include "fighatch/inner_packet.h"

namespace fighatch {
namespace {

Endpoint At(std::string_view text) { return ValueOf(ParseEndpoint(text)); }

std::span<const std::byte> Bytes(std::string_view text) { return std::as_bytes(std::span(text)); }

// Guards against a parser that mixes up fields of built packets, for both address families and transports.
TEST(InnerPacketTest, ParsesWhatItBuilt) {
  for (const auto& [source, destination] :
       {std::pair{"192.0.2.1:4000", "198.51.100.7:80"}, std::pair{"[2001:db8::1]:4000", "[2001:db8::7]:80"}}) {
    const auto udp = BuildUdpPacket(At(source), At(destination), Bytes("hello"));
    const Result<InnerPacket> parsed_udp = ParseInnerPacket(udp);
    ASSERT_TRUE(IsOk(parsed_udp)) << ToString(ErrorOf(parsed_udp));
    EXPECT_EQ(ValueOf(parsed_udp).m_key, (FlowKey{At(source), At(destination), Transport::kUdp}));
    EXPECT_EQ(ValueOf(parsed_udp).m_payload.size(), 5U);

    const TcpFields fields{7, 9, kTcpSyn | kTcpAck};
    const auto tcp = BuildTcpPacket(At(source), At(destination), fields, Bytes("x"));
    const Result<InnerPacket> parsed_tcp = ParseInnerPacket(tcp);
    ASSERT_TRUE(IsOk(parsed_tcp)) << ToString(ErrorOf(parsed_tcp));
    EXPECT_EQ(ValueOf(parsed_tcp).m_tcp, fields);
    EXPECT_EQ(ValueOf(parsed_tcp).m_payload.size(), 1U);
  }
}

// Guards against reads past the end: every shorter prefix of a packet is refused with a numbered error.
TEST(InnerPacketTest, RefusesEveryTruncation) {
  const auto packet =
      BuildTcpPacket(At("192.0.2.1:4000"), At("198.51.100.7:80"), TcpFields{1, 2, kTcpAck}, Bytes("abc"));
  for (std::size_t size = 0; size < packet.size(); ++size) {
    const Result<InnerPacket> parsed = ParseInnerPacket(std::span(packet).first(size));
    ASSERT_FALSE(IsOk(parsed)) << size;
    EXPECT_EQ(ErrorOf(parsed).m_code, ErrorCode::kPacketTruncated) << size;
  }
}

// Guards against a fragment being taken for a whole packet: it has no ports and would reach a wrong service.
TEST(InnerPacketTest, RefusesFragments) {
  auto packet = BuildUdpPacket(At("192.0.2.1:4000"), At("198.51.100.7:80"), Bytes("abc"));
  packet[6] = std::byte{0x20};
  EXPECT_EQ(ErrorOf(ParseInnerPacket(packet)).m_code, ErrorCode::kPacketFragmented);
}

// Guards against a packet that loops between balancers without end.
TEST(GueTest, RefusesTooManyHops) {
  std::array<std::byte, kGuePrivateBytes> bytes{};
  const std::size_t size = EncodeGue(GueHeader{kGueProtocolIpv4, kMaxHops + 1, ForwardReason::kKeeper}, bytes);
  EXPECT_EQ(ErrorOf(DecodeGue(std::span(bytes).first(size))).m_code, ErrorCode::kPacketLoop);
}

// Guards against a header that decodes to other values than were encoded, with and without the private field.
TEST(GueTest, DecodesWhatItEncoded) {
  for (const GueHeader& header : {GueHeader{}, GueHeader{kGueProtocolIpv6, 2, ForwardReason::kStaleTable}}) {
    std::array<std::byte, kGuePrivateBytes> bytes{};
    const std::size_t size = EncodeGue(header, bytes);
    const Result<GuePacket> decoded = DecodeGue(std::span(bytes).first(size));
    ASSERT_TRUE(IsOk(decoded));
    EXPECT_EQ(ValueOf(decoded).m_header, header);
  }
}

}  // namespace
}  // namespace fighatch
