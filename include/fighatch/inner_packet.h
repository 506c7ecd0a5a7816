#ifndef FIGHATCH_INNER_PACKET_H_
#define FIGHATCH_INNER_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/flow_key.h"
#include "fighatch/result.h"

namespace fighatch {

/// TCP flag bits as in the header.
inline constexpr std::uint8_t kTcpFin = 0x01;
inline constexpr std::uint8_t kTcpSyn = 0x02;
inline constexpr std::uint8_t kTcpRst = 0x04;
inline constexpr std::uint8_t kTcpPsh = 0x08;
inline constexpr std::uint8_t kTcpAck = 0x10;

/// The TCP header fields that a balancer reads; all 0 for UDP.
struct TcpFields {
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
  std::uint8_t m_flags = 0;

  friend bool operator==(const TcpFields&, const TcpFields&) = default;
};

/// A parsed inner IP packet; the payload points into the bytes that were parsed.
struct InnerPacket {
  FlowKey m_key;
  TcpFields m_tcp;
  std::span<const std::byte> m_payload;
};

/// The largest inner packet in bytes that is accepted.
inline constexpr std::size_t kMaxInnerPacketBytes = 65535;

/// True for an address that is neither the source nor the destination of a valid packet: unspecified, multicast or
/// reserved.
[[nodiscard]] bool IsUnusableAddress(const IpAddress& address);

/// Parses an IPv4 or IPv6 packet that carries TCP or UDP. Errors: `kPacketTruncated`, `kPacketOversized`,
/// `kPacketUnknownVersion`, `kPacketFragmented`, `kPacketUnknownProtocol`, `kPacketSpoofed`, `kPacketBadChecksum`
/// (IPv4 header only: the target's kernel checks the transport checksum).
[[nodiscard]] Result<InnerPacket> ParseInnerPacket(std::span<const std::byte> bytes);

/// Builds an IP packet with a UDP datagram; source and destination must be of one address family.
[[nodiscard]] std::vector<std::byte> BuildUdpPacket(const Endpoint& source, const Endpoint& destination,
                                                    std::span<const std::byte> payload);

/// Builds an IP packet with a TCP segment without options.
[[nodiscard]] std::vector<std::byte> BuildTcpPacket(const Endpoint& source, const Endpoint& destination,
                                                    const TcpFields& fields, std::span<const std::byte> payload);

/// Builds the reset that a host would send in answer to `packet`, from its destination to its source (RFC
/// 9293, 3.10.7.1).
[[nodiscard]] std::vector<std::byte> BuildTcpReset(const InnerPacket& packet);

}  // namespace fighatch

#endif  // FIGHATCH_INNER_PACKET_H_
