#include "flow_callers.h"

#include <algorithm>

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kFirstPort = 1024;
constexpr std::uint32_t kPortsOfAnAddress = 60'000;
constexpr milliseconds kFirstRetransmit{300};
constexpr int kMaxTries = 6;
constexpr std::string_view kSegment = "segment";

milliseconds RetransmitDelay(int tries) { return kFirstRetransmit * (1 << std::min(tries - 1, 4)); }

std::span<const std::byte> SegmentBytes() { return std::as_bytes(std::span(kSegment)); }

}  // namespace

Endpoint CallerEndpoints::Next() {
  const std::uint32_t number = m_count++;
  IpAddress address = m_base;
  const std::uint32_t step = number / kPortsOfAnAddress;
  address.m_bytes[15] = static_cast<std::uint8_t>(address.m_bytes[15] + (step & 0xFFU));
  address.m_bytes[14] = static_cast<std::uint8_t>(address.m_bytes[14] + (step >> 8U));
  return {address, static_cast<std::uint16_t>(kFirstPort + number % kPortsOfAnAddress)};
}

FlowCallers::FlowCallers(const FlowWorkload& workload, CallerEndpoints* endpoints, PacketSink sink, Time start,
                         Time stop)
    : m_workload(workload), m_endpoints(endpoints), m_sink(std::move(sink)), m_schedule(workload.m_rate, start, stop) {
  m_report.m_service = workload.m_service;
  m_report.m_kind = "flow";
}

FlowCallers::Time FlowCallers::Advance(Time now) {
  while (const std::optional<Time> intended = m_schedule.TakeDue(now)) Open(*intended);
  while (!m_due.empty() && m_due.top().m_time <= now) {
    const Due due = m_due.top();
    m_due.pop();
    const auto found = m_flows.find(due.m_flow);
    // An entry is out of date if the flow has ended or was scheduled anew.
    if (found != m_flows.end() && found->second.m_due == due.m_time) Work(due.m_flow, found->second, now);
  }
  Time next = m_schedule.Next();
  if (!m_due.empty()) next = std::min(next, m_due.top().m_time);
  return next;
}

void FlowCallers::Open(Time intended) {
  Flow flow;
  flow.m_source = m_endpoints->Next();
  flow.m_intended = intended;
  flow.m_end = intended + m_workload.m_hold;
  ++m_report.m_started;
  ++TimelineAt(m_report, intended - m_schedule.Start()).m_started;
  if (m_workload.m_transport == Transport::kUdp) flow.m_state = State::kOpen;
  const std::uint64_t id = FlowHash({flow.m_source, m_workload.m_address, m_workload.m_transport});
  Flow& stored = m_flows.emplace(id, std::move(flow)).first->second;
  SendNew(id, stored, intended);
}

void FlowCallers::SendNew(std::uint64_t id, Flow& flow, Time now) {
  flow.m_waits_for_answer = true;
  flow.m_tries = 1;
  flow.m_sent = now;
  Send(flow);
  Schedule(id, flow, now + RetransmitDelay(flow.m_tries));
}

void FlowCallers::Schedule(std::uint64_t id, Flow& flow, Time due) {
  flow.m_due = due;
  m_due.push({due, id});
}

void FlowCallers::Work(std::uint64_t id, Flow& flow, Time now) {
  if (!flow.m_waits_for_answer) {
    if (now >= flow.m_end) {
      if (m_workload.m_transport == Transport::kUdp) return Finish(id, true, now);
      flow.m_state = State::kClosing;
    }
    return SendNew(id, flow, now);
  }
  if (flow.m_tries >= kMaxTries) return Finish(id, false, now);
  ++flow.m_tries;
  ++m_report.m_resends;
  Send(flow);
  Schedule(id, flow, now + RetransmitDelay(flow.m_tries));
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
    m_report.m_latency.Add(now - flow.m_intended);
    if (!packet.m_payload.empty()) CheckTarget(flow, packet);
    SendNew(id, flow, now);
    return true;
  }
  if ((tcp.m_flags & kTcpSyn) != 0) return true;  // A duplicate of the answer to the first packet.
  if (flow.m_state == State::kClosing) {
    if ((tcp.m_flags & kTcpFin) != 0) Finish(id, true, now);
    return true;
  }
  ReceiveOpen(id, flow, packet, now);
  return true;
}

void FlowCallers::ReceiveOpen(std::uint64_t id, Flow& flow, const InnerPacket& packet, Time now) {
  if (!flow.m_waits_for_answer || packet.m_payload.empty()) return;
  if (m_workload.m_transport == Transport::kTcp) {
    const auto expected = flow.m_sequence + static_cast<std::uint32_t>(kSegment.size());
    if (packet.m_tcp.m_acknowledgement != expected) return;  // Answers an earlier copy.
    flow.m_sequence = expected;
  } else if (flow.m_target.empty()) {
    ++m_report.m_established;
    m_report.m_latency.Add(now - flow.m_intended);
  }
  CheckTarget(flow, packet);
  ++TimelineAt(m_report, now - m_schedule.Start()).m_good;
  flow.m_waits_for_answer = false;
  Schedule(id, flow, std::min(now + m_workload.m_segment_interval, std::max(flow.m_end, now)));
}

void FlowCallers::CheckTarget(Flow& flow, const InnerPacket& packet) {
  const std::string text(reinterpret_cast<const char*>(packet.m_payload.data()), packet.m_payload.size());
  const std::string target = text.substr(0, text.find(' '));
  if (flow.m_target.empty()) flow.m_target = target;
  const bool own_service = target.starts_with(m_workload.m_service + "/");
  if (target != flow.m_target || !own_service) ++m_report.m_wrong_answers;
}

void FlowCallers::Finish(std::uint64_t id, bool good, Time now) {
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) return;
  const Flow& flow = found->second;
  const bool was_established =
      flow.m_state != State::kConnecting && (m_workload.m_transport == Transport::kTcp || !flow.m_target.empty());
  if (good) {
    ++m_report.m_completed;
  } else {
    ++TimelineAt(m_report, now - m_schedule.Start()).m_bad;
    ++(was_established ? m_report.m_broken : m_report.m_failed_to_open);
    if (was_established) ++m_report.m_broken_by_target[flow.m_target];
  }
  m_flows.erase(found);
}

void FlowCallers::GiveUp(Time now) {
  while (!m_flows.empty()) Finish(m_flows.begin()->first, false, now);
}

}  // namespace fighatch::load
