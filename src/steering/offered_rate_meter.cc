#include "fighatch/offered_rate_meter.h"

#include <cmath>

namespace fighatch {
namespace {

constexpr Duration kForgetAfter = 10 * OfferedRateMeter::kWindow;

double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void OfferedRateMeter::Count(TimePoint now, const std::string& service, std::uint32_t priority, double flows) {
  if (service.size() > kMaxServiceNameBytes) return;
  auto found = m_counts.find(service);
  if (found == m_counts.end() || !found->second.contains(priority)) {
    if (m_size >= kMaxOfferedRates) return;
    if (found == m_counts.end()) found = m_counts.try_emplace(service).first;
    found->second[priority].m_updated = now;
    ++m_size;
  }
  DecayedCount& count = found->second[priority];
  Decay(now, &count);
  count.m_flows += flows;
  count.m_last_flow = now;
}

void OfferedRateMeter::Decay(TimePoint now, DecayedCount* count) {
  if (now <= count->m_updated) return;
  count->m_flows *= std::exp(-Seconds(now - count->m_updated) / Seconds(kWindow));
  count->m_updated = now;
}

std::vector<OfferedRate> OfferedRateMeter::Rates(TimePoint now) {
  std::vector<OfferedRate> rates;
  for (auto& [service, counts] : m_counts) {
    m_size -= std::erase_if(counts, [now](const auto& entry) { return now - entry.second.m_last_flow > kForgetAfter; });
    for (auto& [priority, count] : counts) {
      Decay(now, &count);
      rates.push_back({service, priority, count.m_flows / Seconds(kWindow)});
    }
  }
  std::erase_if(m_counts, [](const auto& entry) { return entry.second.empty(); });
  return rates;
}

}  // namespace fighatch
