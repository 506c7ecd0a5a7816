#include "fighatch/ramp.h"

#include <algorithm>

namespace fighatch {
namespace {

constexpr std::size_t kLatencyWindow = 31;
constexpr std::size_t kMinLatencies = 15;
constexpr int kSlowFactor = 4;
constexpr std::uint32_t kConsecutiveSlowToRestart = 3;
constexpr Duration kShedInterval = std::chrono::milliseconds(400);
constexpr std::uint32_t kSixteenthsPerUnit = 16;

}  // namespace

void Ramp::Begin(Incarnation incarnation, TimePoint now) {
  if (incarnation == m_incarnation) return;
  *this = Ramp();
  m_incarnation = incarnation;
  m_step_since = now;
}

void Ramp::Resume(Incarnation incarnation, std::size_t step, TimePoint now) {
  Begin(incarnation, now);
  m_step = std::min(step, kRampSixteenths.size() - 1);
  m_healthy = true;
}

void Ramp::OnHealthy(TimePoint now) {
  if (m_healthy) return;
  m_healthy = true;
  m_step_since = now;
}

void Ramp::OnShed(std::uint32_t capacity, TimePoint now) {
  if (m_shed_seen && now - m_last_shed < kShedInterval) return;
  m_shed_seen = true;
  m_last_shed = now;
  if (Allowance(capacity, now) == 1) {
    m_paused_until = now + m_next_pause;
    m_next_pause = std::min(m_next_pause * 2, kLongestShedPause);
  }
  if (m_step > 0) --m_step;
  m_step_since = std::max(now, m_paused_until);
}

void Ramp::OnLatency(Duration latency, TimePoint now) {
  const bool slow = m_latencies.size() >= kMinLatencies && latency > kSlowFactor * MedianLatency();
  m_consecutive_slow = slow ? m_consecutive_slow + 1 : 0;
  if (m_consecutive_slow >= kConsecutiveSlowToRestart) ResetToFirstStep(now);
  if (m_latencies.size() < kLatencyWindow) {
    m_latencies.push_back(latency);
    return;
  }
  m_latencies[m_next_latency] = latency;
  m_next_latency = (m_next_latency + 1) % kLatencyWindow;
}

void Ramp::OnLoad(const TargetLoad& load, TimePoint now) {
  if (load.m_uptime_ms < m_load.m_uptime_ms) ResetToFirstStep(now);
  m_load = load;
}

void Ramp::ResetToFirstStep(TimePoint now) {
  m_step = 0;
  m_step_since = now;
}

void Ramp::Tick(TimePoint now) {
  if (!m_healthy || m_step + 1 == kRampSixteenths.size() || now - m_step_since < kRampStepTime) return;
  ++m_step;
  m_step_since = now;
  m_next_pause = kFirstShedPause;
}

std::uint32_t Ramp::Allowance(std::uint32_t capacity, TimePoint now) const noexcept {
  if (!m_healthy || now < m_paused_until || capacity == 0) return 0;
  return std::max<std::uint32_t>(1, capacity * kRampSixteenths[m_step] / kSixteenthsPerUnit);
}

Duration Ramp::MedianLatency() const {
  std::vector<Duration> sorted = m_latencies;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace fighatch
