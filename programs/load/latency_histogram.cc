#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fighatch::load {

void LatencyHistogram::Add(std::chrono::nanoseconds latency) noexcept {
  const std::int64_t count = std::max<std::int64_t>(latency.count() / 1000, 0);
  const auto micros = static_cast<std::uint32_t>(std::min<std::int64_t>(count, UINT32_MAX));
  const unsigned width = static_cast<unsigned>(std::bit_width(micros));
  const unsigned shift = width > kSubBits + 1 ? width - kSubBits - 1 : 0;
  const std::size_t bucket = (static_cast<std::size_t>(shift) << kSubBits) + (micros >> shift);
  ++m_buckets[std::min(bucket, kBuckets - 1)];
  ++m_count;
}

std::chrono::microseconds LatencyHistogram::Quantile(double quantile) const noexcept {
  if (m_count == 0) return std::chrono::microseconds(0);
  const auto wanted = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += m_buckets[bucket];
    if (seen < wanted || m_buckets[bucket] == 0) continue;
    const std::uint64_t shift = bucket < (2U << kSubBits) ? 0 : (bucket >> kSubBits) - 1;
    const std::uint64_t base = bucket - (shift << kSubBits);
    return std::chrono::microseconds(((base + 1) << shift) - 1);
  }
  return std::chrono::microseconds(UINT32_MAX);
}

}  // namespace fighatch::load
