#ifndef FIGHATCH_OBSERVE_LATENCY_HISTOGRAM_H_
#define FIGHATCH_OBSERVE_LATENCY_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fighatch::observe {

/// A histogram of durations with fixed buckets; adding a duration allocates no memory. Not thread-safe: durations must
/// be added on the thread that renders the metrics.
class LatencyHistogram {
 public:
  /// Upper bounds (inclusive) of the buckets; longer durations go into one more bucket without a bound.
  static constexpr std::array<std::chrono::microseconds, 14> kUpperBounds{
      std::chrono::microseconds(100),       std::chrono::microseconds(500),      std::chrono::microseconds(1'000),
      std::chrono::microseconds(2'500),     std::chrono::microseconds(5'000),    std::chrono::microseconds(10'000),
      std::chrono::microseconds(25'000),    std::chrono::microseconds(50'000),   std::chrono::microseconds(100'000),
      std::chrono::microseconds(250'000),   std::chrono::microseconds(500'000),  std::chrono::microseconds(1'000'000),
      std::chrono::microseconds(2'500'000), std::chrono::microseconds(5'000'000)};

  /// Adds a duration; a negative one counts as 0.
  void Add(std::chrono::nanoseconds duration) noexcept;

  /// Number of durations in one bucket alone; not cumulative.
  [[nodiscard]] std::uint64_t CountInBucket(std::size_t bucket) const noexcept { return m_counts[bucket]; }
  /// Number of all durations.
  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }
  /// Sum of all durations, in seconds.
  [[nodiscard]] double SumSeconds() const noexcept { return std::chrono::duration<double>(m_sum).count(); }

 private:
  std::array<std::uint64_t, kUpperBounds.size() + 1> m_counts{};
  std::uint64_t m_count = 0;
  std::chrono::nanoseconds m_sum{0};
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_LATENCY_HISTOGRAM_H_
