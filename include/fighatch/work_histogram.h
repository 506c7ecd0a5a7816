#ifndef FIGHATCH_WORK_HISTOGRAM_H_
#define FIGHATCH_WORK_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "fighatch/time.h"

namespace fighatch {

/// A distribution of the work of requests in milliseconds, in logarithmic buckets (four in each octave). The weight of
/// a sample halves with every `kHalfLife`. Size and cost of each call are fixed.
class WorkHistogram {
 public:
  static constexpr std::size_t kBuckets = 64;
  static constexpr Duration kHalfLife = std::chrono::seconds(30);

  /// Adds a sample; a negative one counts as 0. Estimates include it after the next `Refresh`.
  void Add(TimePoint now, double work_ms);

  /// Recomputes the estimates from the samples so far.
  void Refresh();

  /// Number of samples ever added.
  [[nodiscard]] std::uint64_t Samples() const noexcept { return m_samples; }
  /// Mean work in milliseconds; 0 without samples.
  [[nodiscard]] double MeanMs() const noexcept { return m_mean_above_ms[0]; }
  /// Mean remaining work in milliseconds of a running request whose age is not known.
  [[nodiscard]] double MeanRemainingAtUnknownAgeMs() const noexcept { return m_residual_ms; }
  /// Mean remaining work in milliseconds of a request that has had `done_ms` of work.
  [[nodiscard]] double MeanRemainingMs(double done_ms) const;
  /// Share of the requests with more work than `done_ms`, from 0 to 1.
  [[nodiscard]] double ShareAbove(double done_ms) const;

 private:
  std::array<double, kBuckets> m_weights{};
  // Weighted sums of the samples of each bucket.
  std::array<double, kBuckets> m_sums_ms{};
  // Mean of the samples in a bucket and those above it, and their share of all samples.
  std::array<double, kBuckets> m_mean_above_ms{};
  std::array<double, kBuckets> m_share_above{};
  double m_residual_ms = 0;
  std::uint64_t m_samples = 0;
  // A sample has weight 1 at this time and more at a later one.
  TimePoint m_reference;
};

}  // namespace fighatch

#endif  // FIGHATCH_WORK_HISTOGRAM_H_
