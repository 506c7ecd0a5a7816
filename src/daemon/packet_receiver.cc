#include "daemon/packet_receiver.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "fighatch/inner_packet.h"
#include "io/reactor.h"

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kStopCheckInterval{100};

GueHeader NextHop(const GueHeader& header, ForwardReason reason) {
  return {header.m_protocol, static_cast<std::uint8_t>(header.m_hop_count + 1), reason};
}

void CountOne(std::atomic<std::uint64_t>* counter) { counter->fetch_add(1, std::memory_order_relaxed); }

}  // namespace

void DataPlane::Receiver::Run() {
  const io::Reactor reactor;
  m_parsed.reserve(kReceiveBatch);
  m_outgoing.reserve(kReceiveBatch);
  while (!m_plane->m_stopping) {
    const auto datagrams = m_socket.Receive(steady_clock::now() + kStopCheckInterval);
    if (datagrams.empty()) continue;
    m_plane->m_counters.m_received.fetch_add(datagrams.size(), std::memory_order_relaxed);
    m_outgoing.clear();
    const std::shared_ptr<const Neighbours> neighbours = m_plane->GetNeighbours();
    Parse(datagrams, *neighbours);
    Decide();
    for (const Parsed& parsed : m_parsed) Emit(parsed, *neighbours);
    m_socket.Send(m_outgoing);
  }
}

void DataPlane::Receiver::Parse(std::span<const io::IncomingDatagram> datagrams, const Neighbours& neighbours) {
  m_parsed.clear();
  for (const io::IncomingDatagram& datagram : datagrams) {
    const ErrorCode code = ParseOne(datagram, neighbours);
    if (code != ErrorCode::kOk) m_plane->m_counters.CountDrop(code);
  }
}

ErrorCode DataPlane::Receiver::ParseOne(const io::IncomingDatagram& datagram, const Neighbours& neighbours) {
  const Result<GuePacket> outer = DecodeGue(datagram.m_bytes);
  if (!IsOk(outer)) return ErrorOf(outer).m_code;
  const GueHeader& header = ValueOf(outer).m_header;
  const auto& known = neighbours.m_balancers;
  const bool from_balancer = std::binary_search(known.begin(), known.end(), datagram.m_source);
  // Balancers always set the hop count towards each other: without it the packet was meant for a target and came back.
  if (from_balancer && header.m_hop_count == 0) return ErrorCode::kPacketLoop;
  if (!from_balancer && header.m_hop_count != 0) return ErrorCode::kPacketSpoofed;
  const Result<InnerPacket> inner = ParseInnerPacket(ValueOf(outer).m_inner);
  if (!IsOk(inner)) return ErrorOf(inner).m_code;
  Parsed& parsed = m_parsed.emplace_back();
  parsed.m_packet = MakePacket(header, ValueOf(inner));
  parsed.m_header = header;
  parsed.m_inner = datagram.m_bytes.subspan(datagram.m_bytes.size() - ValueOf(outer).m_inner.size());
  parsed.m_parsed = ValueOf(inner);
  parsed.m_shard = m_plane->ShardOf(parsed.m_packet.m_flow_hash);
  return ErrorCode::kOk;
}

void DataPlane::Receiver::Decide() {
  const TimePoint now = Now();
  for (std::uint32_t index = 0; index < m_plane->m_shards.size(); ++index) {
    Shard& shard = *m_plane->m_shards[index];
    std::unique_lock<std::mutex> lock(shard.m_mutex, std::defer_lock);
    for (Parsed& parsed : m_parsed) {
      if (parsed.m_shard != index) continue;
      if (!lock.owns_lock()) lock.lock();
      parsed.m_decision = shard.m_decider.Decide(parsed.m_packet, now);
    }
  }
}

void DataPlane::Receiver::Emit(const Parsed& parsed, const Neighbours& neighbours) {
  PacketCounters& counters = m_plane->m_counters;
  switch (parsed.m_decision.m_kind) {
    case DecisionKind::kDrop:
      return counters.CountDrop(parsed.m_decision.m_code);
    case DecisionKind::kTarget:
      CountOne(&counters.m_to_targets);
      return Forward(parsed, GueHeader{parsed.m_header.m_protocol}, parsed.m_decision.m_endpoint);
    case DecisionKind::kBalancer:
      CountOne(&counters.m_to_balancers);
      return Forward(parsed, NextHop(parsed.m_header, parsed.m_decision.m_reason), parsed.m_decision.m_endpoint);
    case DecisionKind::kReset:
      CountOne(&counters.m_resets);
      return SendToFabric(BuildTcpReset(parsed.m_parsed));
    case DecisionKind::kRequest:
      return EmitRequest(parsed, neighbours);
  }
}

void DataPlane::Receiver::EmitRequest(const Parsed& parsed, const Neighbours& neighbours) {
  const auto detour = neighbours.m_detours.find(parsed.m_decision.m_service);
  // One detour at most: the balancer that it leads to answers, also if it has no targets any more.
  if (detour != neighbours.m_detours.end() && !detour->second.empty() && parsed.m_header.m_hop_count == 0) {
    CountOne(&m_plane->m_counters.m_to_balancers);
    const Endpoint& destination = detour->second[parsed.m_packet.m_flow_hash % detour->second.size()];
    return Forward(parsed, NextHop(parsed.m_header, ForwardReason::kRequestIssuer), destination);
  }
  CountOne(&m_plane->m_counters.m_to_requests);
  const std::span<const std::byte> payload = parsed.m_parsed.m_payload;
  m_plane->m_sink({parsed.m_packet.m_key, parsed.m_decision.m_service, {payload.begin(), payload.end()}});
}

void DataPlane::Receiver::Forward(const Parsed& parsed, const GueHeader& header, const Endpoint& destination) {
  std::array<std::byte, kGuePrivateBytes> encoded;
  const std::size_t header_bytes = EncodeGue(header, encoded);
  // The socket leaves headroom for the longest header in front of each datagram, so the packet stays in place.
  std::byte* start = parsed.m_inner.data() - header_bytes;
  std::copy_n(encoded.begin(), header_bytes, start);
  m_outgoing.push_back({destination, {start, header_bytes + parsed.m_inner.size()}});
}

void DataPlane::Receiver::SendToFabric(std::span<const std::byte> inner) {
  m_socket.Send(m_plane->m_options.m_fabric, EncapsulateGue(inner));
}

}  // namespace fighatch::daemon
