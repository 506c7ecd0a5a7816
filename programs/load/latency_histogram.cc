#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fighatch::load {

void LatencyHistogram::Add(std::chrono::nanoseconds latency) noexcept {
  const std::int64_t clamped = std::max<std::int64_t>(latency.count() / 1000, 0);
  const auto micros = static_cast<std::uint32_t>(std::min<std::int64_t>(clamped, UINT32_MAX));
  const unsigned width = static_cast<unsigned>(std::bit_width(micros));
  const unsigned shift = width > kSubBucketBits + 1 ? width - kSubBucketBits - 1 : 0;
  const std::size_t bucket = (static_cast<std::size_t>(shift) << kSubBucketBits) + (micros >> shift);
  ++m_buckets[std::min(bucket, kBucketCount - 1)];
  ++m_count;
}

std::chrono::microseconds LatencyHistogram::Quantile(double quantile) const noexcept {
  if (m_count == 0) return std::chrono::microseconds(0);
  const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count)));
  std::uint64_t cumulative = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative += m_buckets[bucket];
    if (cumulative < rank || m_buckets[bucket] == 0) continue;
    const std::uint64_t shift = bucket < (2U << kSubBucketBits) ? 0 : (bucket >> kSubBucketBits) - 1;
    const std::uint64_t base = bucket - (shift << kSubBucketBits);
    return std::chrono::microseconds(((base + 1) << shift) - 1);
  }
  return std::chrono::microseconds(UINT32_MAX);
}

}  // namespace fighatch::load
