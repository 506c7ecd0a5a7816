// Flows of the egress scheduler: their sizes, and the order in which their bulk data is sent.
#include <algorithm>

#include "fighatch/egress_scheduler.h"

namespace fighatch {
namespace {

// Weight of a new sample in the exponential moving average of the bytes that a service's flows send.
constexpr double kSizeSampleWeight = 0.1;

}  // namespace

EgressScheduler::Flow* EgressScheduler::Find(const FlowEndpoints& endpoints) {
  const auto found = m_flows_by_endpoints.find(endpoints);
  return found == m_flows_by_endpoints.end() ? nullptr : &*found->second;
}

EgressScheduler::Flow* EgressScheduler::Track(TimePoint now, const CookiePacket& packet, Duration objective) {
  // A first opening packet begins a new flow, also if the client uses the port of an earlier one.
  if (packet.m_opening && packet.m_retransmissions == 0) Forget(now, packet.m_endpoints);
  const auto found = m_flows_by_endpoints.find(packet.m_endpoints);
  Flow* flow = nullptr;
  if (found != m_flows_by_endpoints.end()) {
    flow = &*found->second;
    SetSilent(now, false, found->second);
  } else {
    if (!packet.m_opening && packet.m_data_bytes == 0) return nullptr;
    flow = AddFlow(now, packet);
    if (flow == nullptr) return nullptr;
  }
  flow->m_last_packet = now;
  if (objective > Duration(0) && flow->m_service != nullptr) flow->m_service->m_objective = objective;
  return flow;
}

void EgressScheduler::SetSilent(TimePoint now, bool silent, std::list<Flow>::iterator flow) {
  std::list<Flow>& from = flow->m_silent ? m_silent_flows : m_flows;
  std::list<Flow>& to = silent ? m_silent_flows : m_flows;
  to.splice(to.end(), from, flow);
  if (flow->m_silent == silent) return;
  flow->m_silent = silent;
  UpdateRemaining(&*flow);
  UpdateOrder(now, &*flow);
}

EgressScheduler::Flow* EgressScheduler::AddFlow(TimePoint now, const CookiePacket& packet) {
  if (m_flows.size() + m_silent_flows.size() >= kMaxFlows) {
    Flow* oldest = m_silent_flows.empty() ? &m_flows.front() : &m_silent_flows.front();
    if (oldest->m_short_packets > 0 || !oldest->m_bulk.empty()) return nullptr;
    RemoveFlow(now, oldest);
  }
  Flow* flow = &m_flows.emplace_back();
  m_flows_by_endpoints.emplace(packet.m_endpoints, std::prev(m_flows.end()));
  flow->m_endpoints = packet.m_endpoints;
  flow->m_id = ++m_last_flow_id;
  flow->m_seen_opening = packet.m_opening;
  flow->m_service = FindOrAddService(packet.m_endpoints.m_service);
  if (flow->m_service != nullptr) ChangeOpenLoad(flow->m_service, 1, 0);
  BeginRequest(now - packet.m_age, flow);
  return flow;
}

EgressScheduler::Service* EgressScheduler::FindOrAddService(const Endpoint& address) {
  const auto found = m_services.find(address);
  if (found != m_services.end()) return &found->second;
  return m_services.size() < kMaxServices ? &m_services[address] : nullptr;
}

void EgressScheduler::BeginRequest(TimePoint started, Flow* flow) {
  flow->m_started = started;
  flow->m_seen_bytes = 0;
  flow->m_answered = false;
  flow->m_short_position = {};
  // How much of a flow that was open before it reached this host is left is not known.
  if (flow->m_service != nullptr && flow->m_seen_opening) {
    flow->m_expected_bytes = static_cast<std::uint64_t>(flow->m_service->m_mean_bytes);
  }
  UpdateRemaining(flow);
}

bool EgressScheduler::HasNewData(const CookiePacket& packet, const Flow& flow) {
  return packet.m_data_bytes > 0 &&
         (!flow.m_highest_sequence || IsSequenceAfter(packet.m_sequence, *flow.m_highest_sequence));
}

void EgressScheduler::BeginRequestIfAnswered(TimePoint now, const CookiePacket& packet, Flow* flow) {
  // With bulk data or a closing packet in the queue the flow has a place in the order, which depends on its start.
  const bool is_queued = flow->m_queued_bytes > 0 || !flow->m_bulk.empty();
  if (!flow->m_answered || is_queued || !HasNewData(packet, *flow)) return;
  AddSample(*flow);
  BeginRequest(now, flow);
}

void EgressScheduler::Record(const CookiePacket& packet, Flow* flow) {
  if (HasNewData(packet, *flow)) {
    flow->m_highest_sequence = packet.m_sequence;
    flow->m_seen_bytes += packet.m_data_bytes;
  } else if (packet.m_data_bytes == 0 && flow->m_seen_bytes > 0) {
    flow->m_answered = true;
  }
  if (packet.m_closing && !flow->m_closed) {
    flow->m_closed = true;
    AddSample(*flow);
  }
  UpdateRemaining(flow);
}

void EgressScheduler::AddSample(const Flow& flow) {
  Service* service = flow.m_service;
  // The size of a flow that was open before it reached this host is not known.
  if (service == nullptr || !flow.m_seen_opening || flow.m_seen_bytes == 0) return;
  const OpenLoad open = service->m_open;
  ChangeOpenLoad(service, -static_cast<std::ptrdiff_t>(open.m_flows), -static_cast<std::int64_t>(open.m_bytes));
  const auto sample = static_cast<double>(flow.m_seen_bytes);
  double& mean = service->m_mean_bytes;
  mean = service->m_finished_flows == 0 ? sample : mean + kSizeSampleWeight * (sample - mean);
  ++service->m_finished_flows;
  ChangeOpenLoad(service, static_cast<std::ptrdiff_t>(open.m_flows), static_cast<std::int64_t>(open.m_bytes));
}

void EgressScheduler::ChangeOpenLoad(Service* service, std::ptrdiff_t flows, std::int64_t bytes) {
  const auto change = [&](OpenLoad* load) {
    load->m_flows += static_cast<std::size_t>(flows);
    load->m_bytes += static_cast<std::uint64_t>(bytes);
  };
  change(&service->m_open);
  if (service->IsBulk()) change(&m_bulk_load);
}

void EgressScheduler::UpdateRemaining(Flow* flow) {
  const std::uint64_t sent = flow->m_seen_bytes - std::min(flow->m_seen_bytes, flow->m_queued_bytes);
  const bool expects_more = !flow->m_closed && !flow->m_silent;
  const std::uint64_t expected = expects_more ? flow->m_expected_bytes - std::min(flow->m_expected_bytes, sent) : 0;
  const std::uint64_t remaining = std::max(expected, flow->m_queued_bytes);
  if (flow->m_service != nullptr) {
    ChangeOpenLoad(flow->m_service, 0, static_cast<std::int64_t>(remaining - flow->m_remaining_bytes));
  }
  flow->m_remaining_bytes = remaining;
}

void EgressScheduler::UpdateOrder(TimePoint now, Flow* flow) {
  FlowOrder* order = &m_on_time;
  std::optional<TimePoint> limit;
  if (flow->m_bulk.empty()) {
    order = nullptr;
  } else if (flow->m_ordered_short_packets > 0) {
    // Its bulk data must not overtake the short data.
    order = &m_blocked;
  } else if (flow->m_service != nullptr && flow->m_service->m_objective > Duration(0)) {
    const Duration transmission = LinkTime(static_cast<double>(flow->m_remaining_bytes));
    limit = flow->m_started + flow->m_service->m_objective - transmission;
    if (*limit < now) order = &m_late;
  }
  const bool keeps_limit = order != &m_on_time || (limit.has_value() == flow->m_finish_limit.has_value() &&
                                                   (!limit || *flow->m_finish_limit <= *limit));
  if (order == flow->m_order && keeps_limit) return;
  RemoveFromOrder(flow);
  flow->m_order = order;
  if (order == nullptr) return;
  order->emplace(FlowOrder::key_type{flow->m_started, flow->m_id}, flow);
  if (order != &m_on_time || !limit) return;
  m_finish_limits.emplace(FlowOrder::key_type{*limit, flow->m_id}, flow);
  flow->m_finish_limit = limit;
}

void EgressScheduler::RemoveFromOrder(Flow* flow) {
  if (flow->m_order != nullptr) flow->m_order->erase({flow->m_started, flow->m_id});
  if (flow->m_finish_limit) m_finish_limits.erase({*flow->m_finish_limit, flow->m_id});
  flow->m_order = nullptr;
  flow->m_finish_limit.reset();
}

void EgressScheduler::MoveLateFlows(TimePoint now) {
  while (!m_finish_limits.empty() && m_finish_limits.begin()->first.first < now) {
    Flow* flow = m_finish_limits.begin()->second;
    RemoveFromOrder(flow);
    UpdateOrder(now, flow);
  }
}

EgressScheduler::Flow* EgressScheduler::NextBulkFlow() const {
  if (!HasBulkQueued()) return nullptr;
  const bool takes_late = m_on_time.empty() || (!m_late.empty() && m_late_credit.IsDue());
  return takes_late ? m_late.begin()->second : m_on_time.begin()->second;
}

EgressScheduler::Flow* EgressScheduler::LastBulkFlow() const {
  if (!m_late.empty()) return m_late.rbegin()->second;
  if (m_blocked.empty()) return m_on_time.empty() ? nullptr : m_on_time.rbegin()->second;
  if (m_on_time.empty()) return m_blocked.rbegin()->second;
  return std::max(*m_on_time.rbegin(), *m_blocked.rbegin()).second;
}

void EgressScheduler::AfterDequeue(TimePoint now, const QueuedPacket& packet, Flow* flow) {
  flow->m_queued_bytes -= packet.m_data_bytes;
  if (packet.m_data_bytes > 0) flow->m_queued_sequences.erase(packet.m_sequence);
  flow->m_queued_openings -= packet.m_opening ? 1 : 0;
  UpdateRemaining(flow);
  UpdateOrder(now, flow);
  RemoveIfFinished(now, flow);
}

void EgressScheduler::RemoveIfFinished(TimePoint now, Flow* flow) {
  if (flow->m_closed && flow->m_bulk.empty() && flow->m_short_packets == 0) RemoveFlow(now, flow);
}

void EgressScheduler::RemoveFlow(TimePoint now, Flow* flow) {
  for (const QueuedPacket& packet : flow->m_bulk) {
    CountBulkDrop(now, packet, EgressDropReason::kFlowRemoved);
  }
  RemoveFromOrder(flow);
  if (flow->m_service != nullptr) {
    ChangeOpenLoad(flow->m_service, -1, -static_cast<std::int64_t>(flow->m_remaining_bytes));
  }
  const auto found = m_flows_by_endpoints.find(flow->m_endpoints);
  const auto place = found->second;
  m_flows_by_endpoints.erase(found);
  (place->m_silent ? m_silent_flows : m_flows).erase(place);
}

void EgressScheduler::Forget(TimePoint now, const FlowEndpoints& endpoints) {
  if (Flow* flow = Find(endpoints); flow != nullptr) RemoveFlow(now, flow);
}

void EgressScheduler::RemoveSilentFlows(TimePoint now) {
  const auto is_silent_for = [now](const std::list<Flow>& flows, Duration span) {
    return !flows.empty() && now - flows.front().m_last_packet > span;
  };
  while (is_silent_for(m_flows, kExpectationTimeout)) SetSilent(now, true, m_flows.begin());
  while (is_silent_for(m_silent_flows, kFlowIdleTimeout)) RemoveFlow(now, &m_silent_flows.front());
}

bool EgressScheduler::IsOpen(const FlowEndpoints& endpoints) const {
  const auto found = m_flows_by_endpoints.find(endpoints);
  return found != m_flows_by_endpoints.end() && !found->second->m_closed;
}

BulkDemand EgressScheduler::DemandOf(const Endpoint& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return {0, 0, m_bulk_load.m_bytes, m_bytes_per_second};
  return {found->second.m_finished_flows, found->second.m_mean_bytes, m_bulk_load.m_bytes, m_bytes_per_second};
}

}  // namespace fighatch
