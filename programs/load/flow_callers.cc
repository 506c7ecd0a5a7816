#include "flow_callers.h"

#include <algorithm>

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kFirstPort = 1024;
constexpr std::uint32_t kPortsPerAddress = 60'000;
constexpr milliseconds kInitialRetransmitDelay{300};
constexpr int kMaxAttempts = 6;
constexpr std::string_view kSegment = "segment";

milliseconds RetransmitDelay(int attempts) { return kInitialRetransmitDelay * (1 << std::min(attempts - 1, 4)); }

std::span<const std::byte> SegmentBytes() { return std::as_bytes(std::span(kSegment)); }

}  // namespace

Endpoint CallerEndpointAllocator::Next() {
  const std::uint32_t index = m_count++;
  IpAddress address = m_base;
  const std::uint32_t address_offset = index / kPortsPerAddress;
  address.m_bytes[15] = static_cast<std::uint8_t>(address.m_bytes[15] + (address_offset & 0xFFU));
  address.m_bytes[14] = static_cast<std::uint8_t>(address.m_bytes[14] + (address_offset >> 8U));
  return {address, static_cast<std::uint16_t>(kFirstPort + index % kPortsPerAddress)};
}

FlowCallers::FlowCallers(const FlowWorkload& workload, CallerEndpointAllocator* endpoints, PacketSink sink, Time start,
                         Time stop)
    : m_workload(workload), m_endpoints(endpoints), m_sink(std::move(sink)), m_schedule(workload.m_rate, start, stop) {
  m_report.m_service = workload.m_service;
  m_report.m_kind = "flow";
}

FlowCallers::Time FlowCallers::Advance(Time now) {
  while (const std::optional<Time> intended = m_schedule.TakeDue(now)) OpenFlow(*intended);
  while (!m_timers.empty() && m_timers.top().m_time <= now) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    const auto found = m_flows.find(timer.m_flow);
    // A timer is obsolete if its flow has ended or was rescheduled.
    if (found != m_flows.end() && found->second.m_timer_due == timer.m_time)
      HandleTimer(timer.m_flow, found->second, now);
  }
  Time next = m_schedule.Next();
  if (!m_timers.empty()) next = std::min(next, m_timers.top().m_time);
  return next;
}

void FlowCallers::OpenFlow(Time intended) {
  Flow flow;
  flow.m_source = m_endpoints->Next();
  flow.m_intended_start = intended;
  flow.m_close_time = intended + m_workload.m_flow_duration;
  ++m_report.m_started;
  ++TimelinePointAt(m_report, intended - m_schedule.Start()).m_started;
  if (m_workload.m_transport == Transport::kUdp) flow.m_state = State::kOpen;
  const std::uint64_t id = FlowHash({flow.m_source, m_workload.m_address, m_workload.m_transport});
  Flow& stored = m_flows.emplace(id, std::move(flow)).first->second;
  SendFirstAttempt(id, stored, intended);
}

void FlowCallers::SendFirstAttempt(std::uint64_t id, Flow& flow, Time now) {
  flow.m_awaiting_response = true;
  flow.m_attempts = 1;
  flow.m_sent = now;
  Send(flow);
  Schedule(id, flow, now + RetransmitDelay(flow.m_attempts));
}

void FlowCallers::Schedule(std::uint64_t id, Flow& flow, Time due) {
  flow.m_timer_due = due;
  m_timers.push({due, id});
}

void FlowCallers::HandleTimer(std::uint64_t id, Flow& flow, Time now) {
  if (!flow.m_awaiting_response) {
    if (now >= flow.m_close_time) {
      if (m_workload.m_transport == Transport::kUdp) return Finish(id, true, now);
      flow.m_state = State::kClosing;
    }
    return SendFirstAttempt(id, flow, now);
  }
  if (flow.m_attempts >= kMaxAttempts) return Finish(id, false, now);
  ++flow.m_attempts;
  ++m_report.m_resends;
  Send(flow);
  Schedule(id, flow, now + RetransmitDelay(flow.m_attempts));
}

void FlowCallers::Send(const Flow& flow) {
  if (m_workload.m_transport == Transport::kUdp) {
    return m_sink(BuildUdpPacket(flow.m_source, m_workload.m_address, SegmentBytes()));
  }
  TcpFields fields{flow.m_sequence, flow.m_acknowledgement, kTcpAck};
  std::span<const std::byte> payload;
  if (flow.m_state == State::kConnecting) fields = {flow.m_sequence, 0, kTcpSyn};
  if (flow.m_state == State::kOpen) {
    fields.m_flags |= kTcpPsh;
    payload = SegmentBytes();
  }
  if (flow.m_state == State::kClosing) fields.m_flags |= kTcpFin;
  m_sink(BuildTcpPacket(flow.m_source, m_workload.m_address, fields, payload));
}

bool FlowCallers::Receive(const InnerPacket& packet, Time now) {
  const FlowKey key{packet.m_key.m_destination, packet.m_key.m_source, packet.m_key.m_transport};
  const std::uint64_t id = FlowHash(key);
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) return false;
  Flow& flow = found->second;
  const TcpFields& tcp = packet.m_tcp;
  if ((tcp.m_flags & kTcpRst) != 0) {
    Finish(id, false, now);
    return true;
  }
  if (flow.m_state == State::kConnecting) {
    if ((tcp.m_flags & kTcpSyn) == 0) return true;
    flow.m_state = State::kOpen;
    flow.m_sequence += 1;
    flow.m_acknowledgement = tcp.m_sequence + 1;
    ++m_report.m_established;
    m_report.m_latency.Add(now - flow.m_intended_start);
    if (!packet.m_payload.empty()) CheckTarget(flow, packet);
    SendFirstAttempt(id, flow, now);
    return true;
  }
  if ((tcp.m_flags & kTcpSyn) != 0) return true;  // A duplicate of the SYN-ACK.
  if (flow.m_state == State::kClosing) {
    if ((tcp.m_flags & kTcpFin) != 0) Finish(id, true, now);
    return true;
  }
  ReceiveOnOpenFlow(id, flow, packet, now);
  return true;
}

void FlowCallers::ReceiveOnOpenFlow(std::uint64_t id, Flow& flow, const InnerPacket& packet, Time now) {
  if (!flow.m_awaiting_response || packet.m_payload.empty()) return;
  if (m_workload.m_transport == Transport::kTcp) {
    const auto expected = flow.m_sequence + static_cast<std::uint32_t>(kSegment.size());
    if (packet.m_tcp.m_acknowledgement != expected) return;  // Acknowledges an earlier segment.
    flow.m_sequence = expected;
  } else if (flow.m_target.empty()) {
    ++m_report.m_established;
    m_report.m_latency.Add(now - flow.m_intended_start);
  }
  CheckTarget(flow, packet);
  ++TimelinePointAt(m_report, now - m_schedule.Start()).m_succeeded;
  flow.m_awaiting_response = false;
  Schedule(id, flow, std::min(now + m_workload.m_segment_interval, std::max(flow.m_close_time, now)));
}

void FlowCallers::CheckTarget(Flow& flow, const InnerPacket& packet) {
  const std::string text(reinterpret_cast<const char*>(packet.m_payload.data()), packet.m_payload.size());
  const std::string target = text.substr(0, text.find(' '));
  if (flow.m_target.empty()) flow.m_target = target;
  const bool own_service = target.starts_with(m_workload.m_service + "/");
  if (target != flow.m_target || !own_service) ++m_report.m_wrong_responses;
}

void FlowCallers::Finish(std::uint64_t id, bool succeeded, Time now) {
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) return;
  const Flow& flow = found->second;
  const bool was_established =
      flow.m_state != State::kConnecting && (m_workload.m_transport == Transport::kTcp || !flow.m_target.empty());
  if (succeeded) {
    ++m_report.m_completed;
  } else {
    ++TimelinePointAt(m_report, now - m_schedule.Start()).m_failed;
    ++(was_established ? m_report.m_broken : m_report.m_failed_to_open);
    if (was_established) ++m_report.m_broken_by_target[flow.m_target];
  }
  m_flows.erase(found);
}

void FlowCallers::FailUnfinished(Time now) {
  while (!m_flows.empty()) Finish(m_flows.begin()->first, false, now);
}

}  // namespace fighatch::load
