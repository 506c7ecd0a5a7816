#ifndef FIGHATCH_PACKET_H_
#define FIGHATCH_PACKET_H_

#include <cstdint>

#include "fighatch/flow_key.h"
#include "fighatch/gue.h"
#include "fighatch/inner_packet.h"

namespace fighatch {

/// Whether a packet opens a flow or belongs to an open one.
enum class PacketKind : std::uint8_t {
  /// A TCP SYN without ACK: it opens a flow unless the flow is known.
  kFirst = 0,
  /// Any other TCP segment.
  kLater = 1,
  /// A UDP datagram: it may open a flow or belong to one.
  kDatagram = 2,
};

/// The fields of a decapsulated packet that decide where it goes.
struct Packet {
  FlowKey m_key;
  /// `FlowHash(m_key)`.
  std::uint64_t m_flow_hash = 0;
  PacketKind m_kind = PacketKind::kLater;
  /// Why another balancer forwarded the packet; `kNone` if it came from the fabric.
  ForwardReason m_reason = ForwardReason::kNone;
  /// Balancers passed so far; 0 if the packet came from the fabric.
  std::uint8_t m_hop_count = 0;
  TcpFields m_tcp;
  std::uint32_t m_payload_bytes = 0;
};

/// Makes a `Packet` of a decoded GUE header and the inner packet.
[[nodiscard]] inline Packet MakePacket(const GueHeader& header, const InnerPacket& inner) noexcept {
  Packet packet;
  packet.m_key = inner.m_key;
  packet.m_flow_hash = FlowHash(inner.m_key);
  const bool is_first = (inner.m_tcp.m_flags & (kTcpSyn | kTcpAck)) == kTcpSyn;
  if (inner.m_key.m_transport == Transport::kUdp) {
    packet.m_kind = PacketKind::kDatagram;
  } else {
    packet.m_kind = is_first ? PacketKind::kFirst : PacketKind::kLater;
  }
  packet.m_reason = header.m_reason;
  packet.m_hop_count = header.m_hop_count;
  packet.m_tcp = inner.m_tcp;
  packet.m_payload_bytes = static_cast<std::uint32_t>(inner.m_payload.size());
  return packet;
}

}  // namespace fighatch

#endif  // FIGHATCH_PACKET_H_
