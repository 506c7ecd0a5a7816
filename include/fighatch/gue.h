#ifndef FIGHATCH_GUE_H_
#define FIGHATCH_GUE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// Why a balancer forwards a packet to another balancer.
enum class ForwardReason : std::uint8_t {
  kNone = 0,
  /// To a keeper of the flow.
  kKeeper = 1,
  /// To the second keeper, since the keeper is suspect or its own table is stale.
  kSecondKeeper = 2,
  /// To a balancer with a confirmed table, since the sender's table is stale.
  kStaleTable = 3,
  /// A packet of a service in request mode that another balancer must handle.
  kRequestIssuer = 4
};

/// The fields of a GUE (Generic UDP Encapsulation) header, version 0. The hop count and reason travel in a private
/// field that is written only between balancers; a target's kernel gets a plain header.
struct GueHeader {
  /// IP protocol of the inner packet: 4 for IPv4, 41 for IPv6.
  std::uint8_t m_protocol = 4;
  /// Balancers passed so far; 0 from the fabric.
  std::uint8_t m_hop_count = 0;
  ForwardReason m_reason = ForwardReason::kNone;

  friend bool operator==(const GueHeader&, const GueHeader&) = default;
};

/// A decoded datagram: the header and the inner packet, which points into the datagram.
struct GuePacket {
  GueHeader m_header;
  std::span<const std::byte> m_inner;
};

inline constexpr std::uint8_t kGueProtocolIpv4 = 4;
inline constexpr std::uint8_t kGueProtocolIpv6 = 41;
/// Size of the header without a private field, in bytes.
inline constexpr std::size_t kGuePlainBytes = 4;
/// Size of the header with the private field, in bytes.
inline constexpr std::size_t kGuePrivateBytes = 12;
/// The most balancers that a packet may pass. A higher hop count means a forwarding loop.
inline constexpr std::uint8_t kMaxHops = 4;

/// Decodes a UDP payload. Errors: `kPacketTruncated`, `kPacketUnknownVersion`, `kPacketUnknownProtocol`, `kPacketLoop`.
[[nodiscard]] Result<GuePacket> DecodeGue(std::span<const std::byte> datagram);

/// Writes the header to `out`, which has room for `kGuePrivateBytes`; returns its size in bytes. The private field is
/// written if the hop count is not 0.
std::size_t EncodeGue(const GueHeader& header, std::span<std::byte> out) noexcept;

/// Puts a plain header in front of an inner IP packet, which must not be empty.
[[nodiscard]] std::vector<std::byte> EncapsulateGue(std::span<const std::byte> inner);

}  // namespace fighatch

#endif  // FIGHATCH_GUE_H_
