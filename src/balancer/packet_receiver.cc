#include "balancer/packet_receiver.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "fighatch/inner_packet.h"
#include "io/reactor.h"

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kStopCheckInterval{100};

GueHeader NextHopHeader(const GueHeader& header, ForwardReason reason) {
  return {header.m_protocol, static_cast<std::uint8_t>(header.m_hop_count + 1), reason};
}

void IncrementCounter(std::atomic<std::uint64_t>* counter) { counter->fetch_add(1, std::memory_order_relaxed); }

}  // namespace

void DataPlane::Receiver::Run() {
  const io::Reactor reactor;
  m_packets.reserve(kReceiveBatch);
  m_outgoing.reserve(kReceiveBatch);
  while (!m_plane->m_stopping) {
    const auto datagrams = m_socket.Receive(steady_clock::now() + kStopCheckInterval);
    if (datagrams.empty()) continue;
    m_plane->m_counters.m_received.fetch_add(datagrams.size(), std::memory_order_relaxed);
    m_outgoing.clear();
    const std::shared_ptr<const BalancerEndpoints> balancers = m_plane->GetBalancerEndpoints();
    Parse(datagrams, *balancers);
    Decide();
    for (const ParsedPacket& parsed : m_packets) ApplyDecision(parsed, *balancers);
    m_socket.Send(m_outgoing);
  }
}

void DataPlane::Receiver::Parse(std::span<const io::IncomingDatagram> datagrams, const BalancerEndpoints& balancers) {
  m_packets.clear();
  for (const io::IncomingDatagram& datagram : datagrams) {
    const ErrorCode code = ParseOne(datagram, balancers);
    if (code != ErrorCode::kOk) m_plane->m_counters.CountDrop(code);
  }
}

ErrorCode DataPlane::Receiver::ParseOne(const io::IncomingDatagram& datagram, const BalancerEndpoints& balancers) {
  const Result<GuePacket> outer = DecodeGue(datagram.m_bytes);
  if (!IsOk(outer)) return ErrorOf(outer).m_code;
  const GueHeader& header = ValueOf(outer).m_header;
  const auto& known = balancers.m_balancers;
  const bool from_balancer = std::binary_search(known.begin(), known.end(), datagram.m_source);
  // Between balancers the hop count is never 0: a packet from a balancer without it was sent to a target and has come
  // back.
  if (from_balancer && header.m_hop_count == 0) return ErrorCode::kPacketLoop;
  if (!from_balancer && header.m_hop_count != 0) return ErrorCode::kPacketSpoofed;
  const Result<InnerPacket> inner = ParseInnerPacket(ValueOf(outer).m_inner);
  if (!IsOk(inner)) return ErrorOf(inner).m_code;
  ParsedPacket& parsed = m_packets.emplace_back();
  parsed.m_packet = MakePacket(header, ValueOf(inner));
  parsed.m_header = header;
  parsed.m_inner_bytes = datagram.m_bytes.subspan(datagram.m_bytes.size() - ValueOf(outer).m_inner.size());
  parsed.m_inner_packet = ValueOf(inner);
  parsed.m_shard = m_plane->ShardOf(parsed.m_packet.m_flow_hash);
  return ErrorCode::kOk;
}

void DataPlane::Receiver::Decide() {
  const TimePoint now = Now();
  for (std::uint32_t index = 0; index < m_plane->m_shards.size(); ++index) {
    Shard& shard = *m_plane->m_shards[index];
    std::unique_lock<std::mutex> lock(shard.m_mutex, std::defer_lock);
    for (ParsedPacket& parsed : m_packets) {
      if (parsed.m_shard != index) continue;
      if (!lock.owns_lock()) lock.lock();
      parsed.m_decision = shard.m_decider.Decide(parsed.m_packet, now);
    }
  }
}

void DataPlane::Receiver::ApplyDecision(const ParsedPacket& parsed, const BalancerEndpoints& balancers) {
  PacketCounters& counters = m_plane->m_counters;
  switch (parsed.m_decision.m_kind) {
    case DecisionKind::kDrop:
      return counters.CountDrop(parsed.m_decision.m_code);
    case DecisionKind::kTarget:
      IncrementCounter(&counters.m_to_targets);
      return Forward(parsed, GueHeader{parsed.m_header.m_protocol}, parsed.m_decision.m_endpoint);
    case DecisionKind::kBalancer:
      IncrementCounter(&counters.m_to_balancers);
      return Forward(parsed, NextHopHeader(parsed.m_header, parsed.m_decision.m_reason), parsed.m_decision.m_endpoint);
    case DecisionKind::kReset:
      IncrementCounter(&counters.m_resets);
      return SendToFabric(BuildTcpReset(parsed.m_inner_packet));
    case DecisionKind::kRequest:
      return DeliverRequest(parsed, balancers);
  }
}

void DataPlane::Receiver::DeliverRequest(const ParsedPacket& parsed, const BalancerEndpoints& balancers) {
  const auto fallback = balancers.m_request_fallbacks.find(parsed.m_decision.m_service);
  // A request is forwarded once at most: the fallback balancer answers it, even if it has no targets any more.
  if (fallback != balancers.m_request_fallbacks.end() && !fallback->second.empty() &&
      parsed.m_header.m_hop_count == 0) {
    IncrementCounter(&m_plane->m_counters.m_to_balancers);
    const Endpoint& destination = fallback->second[parsed.m_packet.m_flow_hash % fallback->second.size()];
    return Forward(parsed, NextHopHeader(parsed.m_header, ForwardReason::kRequestIssuer), destination);
  }
  IncrementCounter(&m_plane->m_counters.m_to_requests);
  const std::span<const std::byte> payload = parsed.m_inner_packet.m_payload;
  m_plane->m_sink({parsed.m_packet.m_key, parsed.m_decision.m_service, {payload.begin(), payload.end()}});
}

void DataPlane::Receiver::Forward(const ParsedPacket& parsed, const GueHeader& header, const Endpoint& destination) {
  std::array<std::byte, kGuePrivateBytes> encoded;
  const std::size_t header_bytes = EncodeGue(header, encoded);
  // The socket reserves headroom for the longest header in front of each datagram, so the packet need not be copied.
  std::byte* start = parsed.m_inner_bytes.data() - header_bytes;
  std::copy_n(encoded.begin(), header_bytes, start);
  m_outgoing.push_back({destination, {start, header_bytes + parsed.m_inner_bytes.size()}});
}

void DataPlane::Receiver::SendToFabric(std::span<const std::byte> inner) {
  m_socket.Send(m_plane->m_options.m_fabric, EncapsulateGue(inner));
}

}  // namespace fighatch::daemon
