#include "flow_server.h"

#include <algorithm>

#include "fighatch/gue.h"

namespace fighatch::target {
namespace {

constexpr std::uint32_t kInitialSequence = 1000;

}  // namespace

FlowServer::FlowServer(const TargetSettings& settings, io::UdpSocket socket)
    : m_settings(settings), m_socket(std::move(socket)), m_name(settings.m_service + "/" + ToString(settings.m_gue)) {}

Result<FlowServer> FlowServer::Create(const TargetSettings& settings) {
  Result<io::UdpSocket> socket = io::UdpSocket::Bind(settings.m_gue);
  if (!IsOk(socket)) return ErrorOf(socket);
  return FlowServer(settings, std::move(ValueOf(socket)));
}

void FlowServer::ServeBatch(io::Deadline deadline) {
  for (const io::IncomingDatagram& datagram : m_socket.Receive(deadline)) Serve(datagram.m_bytes);
}

void FlowServer::Serve(std::span<const std::byte> datagram) {
  const Result<GuePacket> outer = DecodeGue(datagram);
  // The kernel's GUE receiver does not know the private field for the hop count, so a packet with it is malformed here
  // too.
  if (!IsOk(outer) || ValueOf(outer).m_header.m_hop_count != 0) {
    ++m_counters.m_malformed;
    return;
  }
  const Result<InnerPacket> inner = ParseInnerPacket(ValueOf(outer).m_inner);
  if (!IsOk(inner)) {
    ++m_counters.m_malformed;
    return;
  }
  const InnerPacket& packet = ValueOf(inner);
  ++m_counters.m_packets;
  m_last_packet = std::chrono::steady_clock::now();
  if (!IsOwnAddress(packet.m_key.m_destination)) {
    ++m_counters.m_misdelivered;
    return;
  }
  if (packet.m_key.m_transport == Transport::kTcp) {
    ServeTcp(packet);
  } else {
    ServeUdp(packet);
  }
}

bool FlowServer::IsOwnAddress(const Endpoint& destination) const {
  const auto& own = m_settings.m_service_addresses;
  return own.empty() || std::find(own.begin(), own.end(), destination) != own.end();
}

void FlowServer::ServeTcp(const InnerPacket& packet) {
  const std::uint64_t flow = FlowHash(packet.m_key);
  const TcpFields& tcp = packet.m_tcp;
  if ((tcp.m_flags & kTcpRst) != 0) {
    m_counters.m_closed += m_connections.erase(flow);
    return;
  }
  if ((tcp.m_flags & kTcpSyn) != 0) {
    if (m_connections.try_emplace(flow, kInitialSequence + 1).second) ++m_counters.m_opened;
    // The name in the SYN-ACK tells the load generator the target of a flow that breaks before its first segment is
    // answered.
    return SendTcpReply(packet, {kInitialSequence, tcp.m_sequence + 1, kTcpSyn | kTcpAck}, m_name);
  }
  const auto found = m_connections.find(flow);
  if (found == m_connections.end()) {
    ++m_counters.m_resets;
    return SendToFabric(BuildTcpReset(packet));
  }
  const auto received = tcp.m_sequence + static_cast<std::uint32_t>(packet.m_payload.size());
  if ((tcp.m_flags & kTcpFin) != 0) {
    SendTcpReply(packet, {found->second, received + 1, kTcpFin | kTcpAck}, {});
    m_connections.erase(found);
    ++m_counters.m_closed;
    return;
  }
  if (packet.m_payload.empty()) return;
  SendTcpReply(packet, {found->second, received, kTcpPsh | kTcpAck}, m_name);
}

void FlowServer::ServeUdp(const InnerPacket& packet) {
  std::string payload = m_name + " ";
  payload.append(reinterpret_cast<const char*>(packet.m_payload.data()), packet.m_payload.size());
  SendToFabric(BuildUdpPacket(packet.m_key.m_destination, packet.m_key.m_source, std::as_bytes(std::span(payload))));
}

void FlowServer::SendTcpReply(const InnerPacket& packet, const TcpFields& fields, std::string_view payload) {
  SendToFabric(
      BuildTcpPacket(packet.m_key.m_destination, packet.m_key.m_source, fields, std::as_bytes(std::span(payload))));
}

void FlowServer::SendToFabric(const std::vector<std::byte>& inner) {
  m_socket.Send(m_settings.m_fabric, EncapsulateGue(inner));
}

}  // namespace fighatch::target
