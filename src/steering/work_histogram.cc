#include "fighatch/work_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fighatch {
namespace {

// Buckets of an octave, as a power of two.
constexpr unsigned kOctaveBits = 2;
// Work up to this many microseconds is in the first bucket; must be a power of two.
constexpr std::uint64_t kFirstBucketUs = 256;
constexpr unsigned kFirstWidth = std::bit_width(kFirstBucketUs);
// Samples are weighted anew once the weight of a new one exceeds this.
constexpr double kMaxSampleWeight = 1e9;

std::size_t BucketOf(double work_ms) {
  const double work_us = std::clamp(work_ms * 1000, 0.0, 1e12);
  const std::uint64_t value = std::max(static_cast<std::uint64_t>(work_us), kFirstBucketUs);
  const auto width = static_cast<unsigned>(std::bit_width(value));
  const std::uint64_t step = (value >> (width - kOctaveBits - 1)) & ((1U << kOctaveBits) - 1);
  return std::min<std::size_t>(((width - kFirstWidth) << kOctaveBits) + step, WorkHistogram::kBuckets - 1);
}

}  // namespace

void WorkHistogram::Add(TimePoint now, double work_ms) {
  if (m_samples == 0) m_reference = now;
  double weight = std::exp2(std::chrono::duration<double>(now - m_reference) / kHalfLife);
  if (weight > kMaxSampleWeight) {
    for (double& value : m_weights) value /= weight;
    for (double& value : m_sums_ms) value /= weight;
    m_reference = now;
    weight = 1;
  }
  const double value_ms = std::max(work_ms, 0.0);
  const std::size_t bucket = BucketOf(value_ms);
  m_weights[bucket] += weight;
  m_sums_ms[bucket] += weight * value_ms;
  ++m_samples;
}

void WorkHistogram::Refresh() {
  double weight = 0;
  double sum_ms = 0;
  double square_sum = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    weight += m_weights[bucket];
    sum_ms += m_sums_ms[bucket];
    if (m_weights[bucket] > 0) square_sum += m_sums_ms[bucket] * m_sums_ms[bucket] / m_weights[bucket];
    m_mean_above_ms[bucket] = weight > 0 ? sum_ms / weight : 0;
    m_share_above[bucket] = weight;
  }
  if (weight <= 0) return;
  for (double& share : m_share_above) share /= weight;
  // A request that is met at a random time is more likely a long one, and half done on average.
  m_residual_ms = sum_ms > 0 ? square_sum / (2 * sum_ms) : 0;
}

double WorkHistogram::MeanRemainingMs(double done_ms) const {
  const double mean_ms = m_mean_above_ms[BucketOf(done_ms)];
  // Beyond all samples, and at the upper edge of a bucket, the past is the only evidence.
  return std::max(mean_ms - done_ms, done_ms / (1U << kOctaveBits));
}

double WorkHistogram::ShareAbove(double done_ms) const { return m_share_above[BucketOf(done_ms)]; }

}  // namespace fighatch
