// Log lines and metrics of rate shares.
#include <glog/logging.h>

#include "balancer/steering_balancer.h"

namespace fighatch::daemon {
namespace {

// Further services and priorities get no metrics, so that the metrics page stays bounded.
constexpr std::size_t kMaxShareSeries = 256;

}  // namespace

void SteeringBalancer::ReportShares() {
  for (const ShortageChange& change : m_steering.Shares().TakeChanges()) {
    if (!m_log_line_budget.Allow()) continue;
    LOG(INFO) << (change.m_is_short ? "event=room_short" : "event=room_enough") << " service=" << change.m_service
              << " room=" << change.m_room << " offered=" << change.m_offered
              << " suppressed=" << m_log_line_budget.TakeSuppressed();
  }
  for (const std::string& service : m_steering.Shares().Services()) {
    for (const auto& [priority, counters] : m_steering.Shares().Counters(service)) AddShareMetrics(service, priority);
  }
}

void SteeringBalancer::AddShareMetrics(const std::string& service, std::uint32_t priority) {
  if (m_share_metrics.size() >= kMaxShareSeries || !m_share_metrics.emplace(service, priority).second) return;
  const observe::Labels labels{{"service", service}, {"priority", std::to_string(priority)}};
  m_metrics.AddGauge("fighatch_steering_room", "Requests per second that all targets of the service can serve.", labels,
                     [this, service] {
                       const ServiceRoom* room = m_steering.Shares().Room(service);
                       return room == nullptr ? 0 : room->m_requests_per_second;
                     });
  const auto counter = [&](const char* name, const char* help, auto member) {
    m_metrics.AddCounter(name, help, labels, [this, service, priority, member] {
      return static_cast<double>(m_steering.Shares().Counters(service)[priority].*member);
    });
  };
  counter("fighatch_steering_offered_total", "First transmissions of opening packets.", &ShareCounters::m_offered);
  counter("fighatch_steering_admitted_total", "Flows placed while the service was short of room.",
          &ShareCounters::m_admitted);
  counter("fighatch_steering_lent_total", "Tokens received that higher priorities did not use.",
          &ShareCounters::m_lent);
  counter("fighatch_steering_refused_total", "Flows refused because the service was short of room.",
          &ShareCounters::m_refused);
}

}  // namespace fighatch::daemon
