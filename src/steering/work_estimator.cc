#include "fighatch/work_estimator.h"

#include <algorithm>
#include <cmath>

namespace fighatch {
namespace {

// Weight of a new sample in the moving averages over all requests of a route.
constexpr double kRouteSampleWeight = 0.02;
// Work below this is not told apart.
constexpr double kMinTimeMs = 0.25;
// A single request counts at most this much in a target's mean logarithm, so that expensive requests do not make a
// target look slow.
constexpr double kMaxLogRatio = 1.6;
// Range of learned speeds. The upper limit bounds what a target attracts that fails at once.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 2;

double DecayedSamples(TimePoint now, const TargetSpeed& speed) {
  return speed.m_samples *
         std::exp2(-(std::chrono::duration<double>(now - speed.m_updated) / WorkEstimator::kSpeedHalfLife));
}

// Moves a mean towards a sample; early samples count fully, so that the start value does not matter.
void AddToMean(double* mean, double sample, std::uint64_t samples) {
  *mean += std::max(kRouteSampleWeight, 1.0 / static_cast<double>(samples)) * (sample - *mean);
}

}  // namespace

std::uint32_t WorkEstimator::RouteIndex(const Endpoint& route) {
  const auto known = m_indexes.find(route);
  if (known != m_indexes.end()) return known->second;
  if (m_routes.size() == kMaxRoutes) return kMaxRoutes - 1;
  const auto index = static_cast<std::uint32_t>(m_routes.size());
  m_routes.emplace_back();
  m_indexes.emplace(route, index);
  return index;
}

void WorkEstimator::AddSample(TimePoint now, const WorkSample& sample, TargetSpeed* speed) {
  RouteWork& route = m_routes[sample.m_route];
  const double time_ms = std::max(sample.m_time_ms, kMinTimeMs);
  route.m_work.Add(now, time_ms * speed->m_speed);
  route.m_has_new_samples = true;
  const double log_time = std::log(time_ms);
  AddToMean(&route.m_mean_log, log_time, route.m_work.Samples());
  AddToMean(&route.m_load_time_ms, sample.m_load_time_ms, route.m_work.Samples());
  if (!HasEstimate(sample.m_route)) return;

  const double log_ratio = std::clamp(log_time - route.m_mean_log, -kMaxLogRatio, kMaxLogRatio);
  speed->m_samples = std::min(DecayedSamples(now, *speed) + 1, kMaxSpeedSamples);
  speed->m_updated = now;
  const double deviation = log_ratio - speed->m_mean_log_ratio;
  speed->m_mean_log_ratio += deviation / speed->m_samples;
  if (speed->m_samples < 2) return;
  // The mean itself deviates by chance, which makes deviations from it larger.
  const double variance = deviation * deviation * (1 - 1 / speed->m_samples);
  m_log_variance += kRouteSampleWeight * (variance - m_log_variance);
}

void WorkEstimator::RecordEnd(std::uint32_t route, bool seen) {
  double& unseen = m_routes[route].m_unseen_ends;
  unseen += kRouteSampleWeight * ((seen ? 0.0 : 1.0) - unseen);
}

void WorkEstimator::Refresh() {
  for (RouteWork& route : m_routes) {
    if (route.m_has_new_samples) route.m_work.Refresh();
    route.m_has_new_samples = false;
  }
}

void WorkEstimator::UpdateSpeeds(TimePoint now, const std::vector<TargetSpeed*>& speeds) const {
  double samples = 0;
  double square_samples = 0;
  double sum = 0;
  double targets = 0;
  for (const TargetSpeed* speed : speeds) {
    const double count = DecayedSamples(now, *speed);
    samples += count;
    square_samples += count * count;
    sum += count * speed->m_mean_log_ratio;
    targets += count > 0 ? 1 : 0;
  }
  if (samples <= 0 || targets < 2) return;
  const double mean = sum / samples;
  double spread = 0;
  for (const TargetSpeed* speed : speeds) {
    const double difference = speed->m_mean_log_ratio - mean;
    spread += DecayedSamples(now, *speed) * difference * difference / m_log_variance;
  }
  // Variance between targets: what their spread exceeds its expectation by if all are equal, and one standard
  // deviation of that (DerSimonian and Laird).
  const double excess = spread - (targets - 1) - std::sqrt(2 * (targets - 1));
  const double between = std::max(0.0, excess) * m_log_variance / std::max(samples - square_samples / samples, 1.0);
  for (TargetSpeed* speed : speeds) {
    const double count = DecayedSamples(now, *speed);
    const double trust = count > 0 ? between / (between + m_log_variance / count) : 0;
    speed->m_speed = std::clamp(std::exp(-trust * (speed->m_mean_log_ratio - mean)), kMinSpeed, kMaxSpeed);
  }
}

double WorkEstimator::RemainingWorkMs(std::uint32_t route, double done_ms) const {
  const RouteWork& known = m_routes[route];
  const double remaining_ms = known.m_work.MeanRemainingMs(done_ms);
  if (known.m_unseen_ends <= 0) return remaining_ms;
  const double running = known.m_work.ShareAbove(done_ms);
  const double ended_unseen = (1 - running) * known.m_unseen_ends;
  return running <= 0 ? 0 : remaining_ms * running / (running + ended_unseen);
}

}  // namespace fighatch
