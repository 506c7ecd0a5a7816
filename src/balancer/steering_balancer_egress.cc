// Scheduling of a balancer's uplink: which datagrams to targets are sent at once, and the fiber that sends the others.
#include <glog/logging.h>

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>

#include "balancer/steering_balancer.h"
#include "daemon/clock.h"

namespace fighatch::daemon {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool SteeringBalancer::OfferToLink(TimePoint now, const CookiePacket& packet, Duration objective,
                                   const Endpoint& target, std::span<const std::byte> datagram) {
  const bool was_empty = m_egress->m_scheduler.IsEmpty();
  const bool send_now = m_egress->m_scheduler.Offer(now, packet, objective, target, datagram);
  if (was_empty && !m_egress->m_scheduler.IsEmpty()) m_egress->m_queue_filled.notify_one();
  return send_now;
}

void SteeringBalancer::AccountReset(TimePoint now, const CookiePacket& packet, std::size_t bytes) {
  m_egress->m_scheduler.Forget(now, packet.m_endpoints);
  m_egress->m_scheduler.Charge(now, bytes);
}

std::optional<SteeringDecision> SteeringBalancer::RefuseBulkFlow(TimePoint now, const CookiePacket& packet,
                                                                 Duration objective) {
  if (!m_egress || !packet.m_opening) return std::nullopt;
  EgressScheduler& scheduler = m_egress->m_scheduler;
  // Refused opening packets are not offered, so that the demand must become current here.
  scheduler.RemoveSilentFlows(now);
  // A refusal would reset the flow that is open.
  if (scheduler.IsOpen(packet.m_endpoints) || m_steering.IsOpen(packet.m_endpoints)) return std::nullopt;
  const BulkDemand demand = scheduler.DemandOf(packet.m_endpoints.m_service);
  if (m_egress->m_bulk_admission.Admit(packet, objective, demand)) return std::nullopt;
  SteeringDecision refusal;
  refusal.m_action = SteeringAction::kReset;
  refusal.m_reason = ErrorCode::kRequestOverloaded;
  return refusal;
}

Duration SteeringBalancer::ObjectiveOf(const CookiePacket& packet) const {
  if (!m_egress || !packet.m_opening) return Duration(0);
  const std::map<Endpoint, Route>& routes = m_steering.State().m_routing.m_routes;
  const auto route = routes.find(packet.m_endpoints.m_service);
  return milliseconds(route == routes.end() ? 0 : route->second.m_objective_ms);
}

void SteeringBalancer::ServeEgress() {
  const EgressScheduler& scheduler = m_egress->m_scheduler;
  while (!m_done) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_egress->m_mutex);
      m_egress->m_queue_filled.wait_until(lock, steady_clock::now() + kStopCheckInterval,
                                          [&] { return !scheduler.IsEmpty(); });
    }
    const TimePoint now = Now();
    SendQueuedDatagrams(now);
    LogLinkSaturation(now);
    if (!scheduler.IsEmpty()) boost::this_fiber::sleep_for(EgressScheduler::kPacingInterval);
  }
}

void SteeringBalancer::SendQueuedDatagrams(TimePoint now) {
  EgressScheduler& scheduler = m_egress->m_scheduler;
  scheduler.RemoveSilentFlows(now);
  std::vector<EgressDatagram>& taken = m_egress->m_taken;
  taken.clear();
  while (std::optional<EgressDatagram> next = scheduler.Take(now)) {
    m_egress->m_queueing[static_cast<std::size_t>(next->m_class)].Add(now - next->m_queued_at);
    taken.push_back(std::move(*next));
  }
  std::vector<io::OutgoingDatagram>& outgoing = m_egress->m_outgoing;
  outgoing.clear();
  for (const EgressDatagram& datagram : taken) outgoing.push_back({datagram.m_destination, datagram.m_bytes});
  if (!outgoing.empty()) m_packet_socket->Send(outgoing);
}

void SteeringBalancer::LogLinkSaturation(TimePoint now) {
  const EgressScheduler& scheduler = m_egress->m_scheduler;
  const bool is_saturated = m_egress->m_scheduler.UpdateSaturation(now);
  if (is_saturated == m_egress->m_saturated) return;
  m_egress->m_saturated = is_saturated;
  LOG(INFO) << (is_saturated ? "event=link_saturated" : "event=link_recovered")
            << " queued=" << scheduler.QueuedPackets() << " queued_bytes=" << scheduler.QueuedBytes()
            << " bulk_flows=" << scheduler.OpenBulkFlows() << " bulk_refused=" << m_egress->m_bulk_admission.Refused()
            << " utilisation=" << scheduler.Utilisation(now);
}

void SteeringBalancer::AddEgressMetrics() {
  const EgressScheduler& scheduler = m_egress->m_scheduler;
  const auto counter = [this](const std::string& name, const char* help, const observe::Labels& labels,
                              const std::uint64_t& count) {
    m_metrics.AddCounter("fighatch_steering_" + name, help, labels, [&count] { return static_cast<double>(count); });
  };
  const EgressCounters& counters = scheduler.Counters();
  counter("egress_datagrams_total", "Datagrams sent to targets.", {}, counters.m_sent);
  counter("egress_bytes_total", "Bytes of datagrams sent to targets.", {}, counters.m_sent_bytes);
  counter("egress_paced_datagrams_total", "Datagrams sent after waiting for the uplink.", {}, counters.m_paced);
  counter("egress_paced_bytes_total", "Bytes of datagrams sent after waiting for the uplink.", {},
          counters.m_paced_bytes);
  for (std::size_t index = 0; index < kEgressDropReasons; ++index) {
    const std::string reason(EgressDropReasonName(static_cast<EgressDropReason>(index)));
    counter("egress_dropped_datagrams_total", "Datagrams dropped before the uplink.", {{"reason", reason}},
            counters.m_dropped[index]);
    counter("egress_dropped_bytes_total", "Bytes of datagrams dropped before the uplink.", {{"reason", reason}},
            counters.m_dropped_bytes[index]);
  }
  counter("bulk_flows_refused_total", "Bulk flows refused because the uplink is full.", {},
          m_egress->m_bulk_admission.Refused());
  for (const EgressClass egress_class : {EgressClass::kShort, EgressClass::kBulk}) {
    m_metrics.AddHistogram("fighatch_steering_egress_queueing_seconds", "Waiting of datagrams for the uplink.",
                           {{"class", std::string(EgressClassName(egress_class))}},
                           &m_egress->m_queueing[static_cast<std::size_t>(egress_class)]);
  }
  m_metrics.AddGauge("fighatch_steering_bulk_flows_open", "Open flows of services that send much data.", {},
                     [&scheduler] { return static_cast<double>(scheduler.OpenBulkFlows()); });
  m_metrics.AddGauge("fighatch_steering_link_utilisation_ratio", "Share of the uplink's rate that is used.", {},
                     [&scheduler] { return scheduler.Utilisation(Now()); });
}

}  // namespace fighatch::daemon
