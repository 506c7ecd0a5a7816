#ifndef FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
#define FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace fighatch::load {

/// Log-linear histogram of latencies from 1 microsecond to about an hour. A bucket is 1 microsecond or at most 1/16 of
/// its value wide.
class LatencyHistogram {
 public:
  void Add(std::chrono::nanoseconds latency) noexcept;

  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }

  /// Upper bound of the bucket that contains the quantile (0 to 1); 0 if the histogram is empty.
  [[nodiscard]] std::chrono::microseconds Quantile(double quantile) const noexcept;

 private:
  // 2^4 buckets for each power of two.
  static constexpr unsigned kSubBucketBits = 4;
  static constexpr std::size_t kBucketCount = (32 - kSubBucketBits + 1) << kSubBucketBits;

  std::array<std::uint64_t, kBucketCount> m_buckets{};
  std::uint64_t m_count = 0;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LATENCY_HISTOGRAM_H_
