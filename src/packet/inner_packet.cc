#include "fighatch/inner_packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <algorithm>
#include <cstring>

namespace fighatch {
namespace {

constexpr unsigned kDefaultTimeToLive = 64;
constexpr unsigned kWordBytes = 4;
constexpr unsigned kIpv4FragmentMask = 0x3FFF;  // More-fragments bit and fragment offset.
constexpr std::uint16_t kTcpWindowBytes = 65535;

struct IpHeader {
  IpAddress m_source;
  IpAddress m_destination;
  std::uint8_t m_protocol = 0;
  std::span<const std::byte> m_payload;
};

template <typename T>
T Load(std::span<const std::byte> bytes) {
  T value;
  std::memcpy(&value, bytes.data(), sizeof(T));
  return value;
}

template <typename T>
void Store(std::span<std::byte> bytes, const T& value) {
  std::memcpy(bytes.data(), &value, sizeof(T));
}

std::uint64_t SumWords(std::span<const std::byte> bytes, std::uint64_t sum) {
  std::size_t index = 0;
  for (; index + 1 < bytes.size(); index += 2) {
    sum += (std::to_integer<unsigned>(bytes[index]) << 8U) | std::to_integer<unsigned>(bytes[index + 1]);
  }
  if (index < bytes.size()) sum += std::to_integer<unsigned>(bytes[index]) << 8U;
  return sum;
}

std::uint16_t FoldChecksum(std::uint64_t sum) {
  while ((sum >> 16U) != 0) sum = (sum & 0xFFFFU) + (sum >> 16U);
  return static_cast<std::uint16_t>(~sum & 0xFFFFU);
}

std::span<const std::byte> AddressBytes(const IpAddress& address) {
  const std::size_t skip = address.IsV4() ? 12 : 0;
  return std::as_bytes(std::span(address.m_bytes)).subspan(skip);
}

std::uint16_t TransportChecksum(const Endpoint& source, const Endpoint& destination, unsigned protocol,
                                std::span<const std::byte> segment) {
  std::uint64_t sum = SumWords(AddressBytes(source.m_address), 0);
  sum = SumWords(AddressBytes(destination.m_address), sum);
  sum += protocol + segment.size();
  return FoldChecksum(SumWords(segment, sum));
}

Result<IpHeader> ParseIpv4(std::span<const std::byte> bytes) {
  if (bytes.size() < sizeof(iphdr)) return MakeError(ErrorCode::kPacketTruncated, "ipv4 header");
  const auto header = Load<iphdr>(bytes);
  const std::size_t header_bytes = static_cast<std::size_t>(header.ihl) * kWordBytes;
  const std::size_t total_bytes = ntohs(header.tot_len);
  if (header_bytes < sizeof(iphdr) || total_bytes < header_bytes || total_bytes > bytes.size()) {
    return MakeError(ErrorCode::kPacketTruncated, "ipv4 length");
  }
  if ((ntohs(header.frag_off) & kIpv4FragmentMask) != 0) return MakeError(ErrorCode::kPacketFragmented);
  if (FoldChecksum(SumWords(bytes.first(header_bytes), 0)) != 0) return MakeError(ErrorCode::kPacketBadChecksum);
  return IpHeader{IpAddress::FromV4(ntohl(header.saddr)), IpAddress::FromV4(ntohl(header.daddr)), header.protocol,
                  bytes.subspan(header_bytes, total_bytes - header_bytes)};
}

Result<IpHeader> ParseIpv6(std::span<const std::byte> bytes) {
  if (bytes.size() < sizeof(ip6_hdr)) return MakeError(ErrorCode::kPacketTruncated, "ipv6 header");
  const auto header = Load<ip6_hdr>(bytes);
  const std::size_t payload_bytes = ntohs(header.ip6_plen);
  if (sizeof(ip6_hdr) + payload_bytes > bytes.size()) return MakeError(ErrorCode::kPacketTruncated, "ipv6 length");
  if (header.ip6_nxt == IPPROTO_FRAGMENT) return MakeError(ErrorCode::kPacketFragmented);
  IpHeader parsed;
  std::memcpy(parsed.m_source.m_bytes.data(), &header.ip6_src, sizeof(header.ip6_src));
  std::memcpy(parsed.m_destination.m_bytes.data(), &header.ip6_dst, sizeof(header.ip6_dst));
  if (parsed.m_source.IsV4() || parsed.m_destination.IsV4()) return MakeError(ErrorCode::kPacketSpoofed, "mapped");
  parsed.m_protocol = header.ip6_nxt;
  parsed.m_payload = bytes.subspan(sizeof(ip6_hdr), payload_bytes);
  return parsed;
}

Result<IpHeader> ParseIp(std::span<const std::byte> bytes) {
  if (bytes.empty()) return MakeError(ErrorCode::kPacketTruncated, "empty");
  if (bytes.size() > kMaxInnerPacketBytes) return MakeError(ErrorCode::kPacketOversized);
  const unsigned version = std::to_integer<unsigned>(bytes[0]) >> 4U;
  if (version == 4) return ParseIpv4(bytes);
  if (version == 6) return ParseIpv6(bytes);
  return MakeError(ErrorCode::kPacketUnknownVersion, "ip version");
}

Result<InnerPacket> ParseTcp(const IpHeader& ip) {
  if (ip.m_payload.size() < sizeof(tcphdr)) return MakeError(ErrorCode::kPacketTruncated, "tcp header");
  const auto header = Load<tcphdr>(ip.m_payload);
  const std::size_t header_bytes = static_cast<std::size_t>(header.doff) * kWordBytes;
  if (header_bytes < sizeof(tcphdr) || header_bytes > ip.m_payload.size()) {
    return MakeError(ErrorCode::kPacketTruncated, "tcp length");
  }
  InnerPacket packet;
  packet.m_key = FlowKey{{ip.m_source, ntohs(header.source)}, {ip.m_destination, ntohs(header.dest)}, Transport::kTcp};
  packet.m_tcp = TcpFields{ntohl(header.seq), ntohl(header.ack_seq), header.th_flags};
  packet.m_payload = ip.m_payload.subspan(header_bytes);
  return packet;
}

Result<InnerPacket> ParseUdp(const IpHeader& ip) {
  if (ip.m_payload.size() < sizeof(udphdr)) return MakeError(ErrorCode::kPacketTruncated, "udp header");
  const auto header = Load<udphdr>(ip.m_payload);
  const std::size_t udp_bytes = ntohs(header.len);
  if (udp_bytes < sizeof(udphdr) || udp_bytes > ip.m_payload.size()) {
    return MakeError(ErrorCode::kPacketTruncated, "udp length");
  }
  InnerPacket packet;
  packet.m_key = FlowKey{{ip.m_source, ntohs(header.source)}, {ip.m_destination, ntohs(header.dest)}, Transport::kUdp};
  packet.m_payload = ip.m_payload.subspan(sizeof(udphdr), udp_bytes - sizeof(udphdr));
  return packet;
}

std::size_t IpHeaderBytes(const IpAddress& address) { return address.IsV4() ? sizeof(iphdr) : sizeof(ip6_hdr); }

void WriteIpv4(std::span<std::byte> packet, const IpAddress& source, const IpAddress& destination, unsigned protocol) {
  iphdr header{};
  header.version = 4;
  header.ihl = sizeof(iphdr) / kWordBytes;
  header.tot_len = htons(static_cast<std::uint16_t>(packet.size()));
  header.ttl = kDefaultTimeToLive;
  header.protocol = static_cast<std::uint8_t>(protocol);
  header.saddr = htonl(source.ToV4());
  header.daddr = htonl(destination.ToV4());
  Store(packet, header);
  header.check = htons(FoldChecksum(SumWords(packet.first(sizeof(iphdr)), 0)));
  Store(packet, header);
}

void WriteIpv6(std::span<std::byte> packet, const IpAddress& source, const IpAddress& destination, unsigned protocol) {
  ip6_hdr header{};
  header.ip6_vfc = 0x60;
  header.ip6_plen = htons(static_cast<std::uint16_t>(packet.size() - sizeof(ip6_hdr)));
  header.ip6_nxt = static_cast<std::uint8_t>(protocol);
  header.ip6_hlim = kDefaultTimeToLive;
  std::memcpy(&header.ip6_src, source.m_bytes.data(), source.m_bytes.size());
  std::memcpy(&header.ip6_dst, destination.m_bytes.data(), destination.m_bytes.size());
  Store(packet, header);
}

void WriteIp(std::span<std::byte> packet, const Endpoint& source, const Endpoint& destination, unsigned protocol) {
  if (source.m_address.IsV4()) {
    WriteIpv4(packet, source.m_address, destination.m_address, protocol);
  } else {
    WriteIpv6(packet, source.m_address, destination.m_address, protocol);
  }
}

}  // namespace

bool IsUnusableAddress(const IpAddress& address) {
  if (!address.IsV4()) return address.m_bytes[0] == 0xFF || address == IpAddress{};
  const std::uint32_t v4 = address.ToV4();
  const bool multicast_or_reserved = (v4 >> 28U) >= 0xEU;
  return v4 == 0 || multicast_or_reserved;
}

Result<InnerPacket> ParseInnerPacket(std::span<const std::byte> bytes) {
  Result<IpHeader> ip = ParseIp(bytes);
  if (!IsOk(ip)) return ErrorOf(ip);
  const IpHeader& header = ValueOf(ip);
  if (IsUnusableAddress(header.m_source) || IsUnusableAddress(header.m_destination)) {
    return MakeError(ErrorCode::kPacketSpoofed);
  }
  if (header.m_protocol == IPPROTO_TCP) return ParseTcp(header);
  if (header.m_protocol == IPPROTO_UDP) return ParseUdp(header);
  return MakeError(ErrorCode::kPacketUnknownProtocol);
}

std::vector<std::byte> BuildUdpPacket(const Endpoint& source, const Endpoint& destination,
                                      std::span<const std::byte> payload) {
  const std::size_t ip_bytes = IpHeaderBytes(source.m_address);
  std::vector<std::byte> packet(ip_bytes + sizeof(udphdr) + payload.size());
  const std::span<std::byte> segment = std::span(packet).subspan(ip_bytes);
  udphdr header{};
  header.source = htons(source.m_port);
  header.dest = htons(destination.m_port);
  header.len = htons(static_cast<std::uint16_t>(segment.size()));
  Store(segment, header);
  std::copy(payload.begin(), payload.end(), segment.begin() + sizeof(udphdr));
  const std::uint16_t checksum = TransportChecksum(source, destination, IPPROTO_UDP, segment);
  header.check = checksum == 0 ? 0xFFFF : htons(checksum);
  Store(segment, header);
  WriteIp(packet, source, destination, IPPROTO_UDP);
  return packet;
}

std::vector<std::byte> BuildTcpPacket(const Endpoint& source, const Endpoint& destination, const TcpFields& fields,
                                      std::span<const std::byte> payload) {
  const std::size_t ip_bytes = IpHeaderBytes(source.m_address);
  std::vector<std::byte> packet(ip_bytes + sizeof(tcphdr) + payload.size());
  const std::span<std::byte> segment = std::span(packet).subspan(ip_bytes);
  tcphdr header{};
  header.source = htons(source.m_port);
  header.dest = htons(destination.m_port);
  header.seq = htonl(fields.m_sequence);
  header.ack_seq = htonl(fields.m_acknowledgement);
  header.doff = sizeof(tcphdr) / kWordBytes;
  header.th_flags = fields.m_flags;
  header.window = htons(kTcpWindowBytes);
  Store(segment, header);
  std::copy(payload.begin(), payload.end(), segment.begin() + sizeof(tcphdr));
  header.check = htons(TransportChecksum(source, destination, IPPROTO_TCP, segment));
  Store(segment, header);
  WriteIp(packet, source, destination, IPPROTO_TCP);
  return packet;
}

std::vector<std::byte> BuildTcpReset(const InnerPacket& packet) {
  const TcpFields& received = packet.m_tcp;
  TcpFields reset;
  if ((received.m_flags & kTcpAck) != 0) {
    reset.m_flags = kTcpRst;
    reset.m_sequence = received.m_acknowledgement;
  } else {
    const std::uint32_t syn_or_fin = (received.m_flags & (kTcpSyn | kTcpFin)) != 0 ? 1 : 0;
    reset.m_flags = kTcpRst | kTcpAck;
    reset.m_acknowledgement = received.m_sequence + static_cast<std::uint32_t>(packet.m_payload.size()) + syn_or_fin;
  }
  return BuildTcpPacket(packet.m_key.m_destination, packet.m_key.m_source, reset, {});
}

}  // namespace fighatch
