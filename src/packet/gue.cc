#include "fighatch/gue.h"

#include <algorithm>

namespace fighatch {
namespace {

// First byte: version (2 bits), control flag (1 bit), length of the optional fields in 32-bit words (5 bits).
constexpr unsigned kVersionShift = 6;
constexpr unsigned kControlBit = 0x20;
constexpr unsigned kLengthMask = 0x1F;
constexpr std::size_t kWordBytes = 4;
constexpr unsigned kIpVersionShift = 4;
// Last bit of the flags: a private field follows, headed by its own 32 bits of flags.
constexpr unsigned kPrivateFlag = 0x01;
constexpr std::byte kPrivateMarker{0xF1};
constexpr std::size_t kPrivateWords = (kGuePrivateBytes - kGuePlainBytes) / kWordBytes;

unsigned ByteAt(std::span<const std::byte> bytes, std::size_t index) { return std::to_integer<unsigned>(bytes[index]); }

Result<GueHeader> DecodePrivateField(std::span<const std::byte> datagram, GueHeader header) {
  if (datagram[4] != kPrivateMarker) return MakeError(ErrorCode::kPacketUnknownVersion, "private field");
  header.m_hop_count = std::to_integer<std::uint8_t>(datagram[8]);
  const unsigned reason = ByteAt(datagram, 9);
  if (reason > static_cast<unsigned>(ForwardReason::kRequestIssuer)) {
    return MakeError(ErrorCode::kPacketUnknownVersion, "forward reason");
  }
  header.m_reason = static_cast<ForwardReason>(reason);
  if (header.m_hop_count > kMaxHops) return MakeError(ErrorCode::kPacketLoop);
  return header;
}

}  // namespace

Result<GuePacket> DecodeGue(std::span<const std::byte> datagram) {
  if (datagram.size() < kGuePlainBytes) return MakeError(ErrorCode::kPacketTruncated);
  const unsigned first = ByteAt(datagram, 0);
  if ((first >> kVersionShift) != 0 || (first & kControlBit) != 0) return MakeError(ErrorCode::kPacketUnknownVersion);
  const std::size_t words = first & kLengthMask;
  const std::size_t header_bytes = kGuePlainBytes + words * kWordBytes;
  if (datagram.size() < header_bytes) return MakeError(ErrorCode::kPacketTruncated);

  GueHeader header;
  header.m_protocol = std::to_integer<std::uint8_t>(datagram[1]);
  if (header.m_protocol != kGueProtocolIpv4 && header.m_protocol != kGueProtocolIpv6) {
    return MakeError(ErrorCode::kPacketUnknownProtocol);
  }
  const unsigned flags = (ByteAt(datagram, 2) << 8U) | ByteAt(datagram, 3);
  if ((flags & ~kPrivateFlag) != 0) return MakeError(ErrorCode::kPacketUnknownVersion, "flags");
  const bool has_private_field = (flags & kPrivateFlag) != 0;
  if (has_private_field != (words == kPrivateWords) || (!has_private_field && words != 0)) {
    return MakeError(ErrorCode::kPacketUnknownVersion, "optional fields");
  }
  if (has_private_field) {
    Result<GueHeader> decoded = DecodePrivateField(datagram, header);
    if (!IsOk(decoded)) return ErrorOf(decoded);
    header = ValueOf(decoded);
  }
  return GuePacket{header, datagram.subspan(header_bytes)};
}

std::size_t EncodeGue(const GueHeader& header, std::span<std::byte> out) noexcept {
  const bool has_private_field = header.m_hop_count != 0;
  out[0] = static_cast<std::byte>(has_private_field ? kPrivateWords : 0);
  out[1] = static_cast<std::byte>(header.m_protocol);
  out[2] = std::byte{0};
  out[3] = static_cast<std::byte>(has_private_field ? kPrivateFlag : 0);
  if (!has_private_field) return kGuePlainBytes;
  out[4] = kPrivateMarker;
  out[5] = out[6] = out[7] = std::byte{0};
  out[8] = static_cast<std::byte>(header.m_hop_count);
  out[9] = static_cast<std::byte>(header.m_reason);
  out[10] = out[11] = std::byte{0};
  return kGuePrivateBytes;
}

std::vector<std::byte> EncapsulateGue(std::span<const std::byte> inner) {
  const bool is_v4 = (std::to_integer<unsigned>(inner[0]) >> kIpVersionShift) == 4;
  std::vector<std::byte> datagram(kGuePlainBytes + inner.size());
  EncodeGue({is_v4 ? kGueProtocolIpv4 : kGueProtocolIpv6}, datagram);
  std::copy(inner.begin(), inner.end(), datagram.begin() + kGuePlainBytes);
  return datagram;
}

}  // namespace fighatch
