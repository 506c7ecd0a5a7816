#ifndef FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
#define FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace fighatch::load {

/// Counts latencies in buckets of at most 1/16 relative width, from 1 microsecond to about an hour.
class LatencyHistogram {
 public:
  void Add(std::chrono::nanoseconds latency) noexcept;

  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }

  /// Upper edge of the bucket in which the quantile (0 to 1) lies; 0 if nothing was added.
  [[nodiscard]] std::chrono::microseconds Quantile(double quantile) const noexcept;

 private:
  static constexpr unsigned kSubBucketBits = 4;
  static constexpr std::size_t kBucketCount = (32 - kSubBucketBits + 1) << kSubBucketBits;

  std::array<std::uint64_t, kBucketCount> m_buckets{};
  std::uint64_t m_count = 0;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
