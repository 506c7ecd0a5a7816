#include "observe/latency_histogram.h"

#include <algorithm>

namespace fighatch::observe {

void LatencyHistogram::Add(std::chrono::nanoseconds duration) noexcept {
  duration = std::max(duration, std::chrono::nanoseconds(0));
  const auto* const bucket = std::lower_bound(kUpperBounds.begin(), kUpperBounds.end(), duration);
  ++m_counts[static_cast<std::size_t>(bucket - kUpperBounds.begin())];
  ++m_count;
  m_sum += duration;
}

}  // namespace fighatch::observe
