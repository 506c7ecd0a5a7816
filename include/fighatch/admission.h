#ifndef FIGHATCH_ADMISSION_H_
#define FIGHATCH_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "fighatch/time.h"

namespace fighatch {

/// Decides whether a request can still be served in time when it arrives.
class Admission {
 public:
  explicit Admission(std::size_t queue_limit) noexcept : m_queue_limit(queue_limit) {}

  /// Takes the time that a target needed for a request into the moving mean.
  void OnServiceTime(Duration service_time) noexcept;

  /// Moving mean of the service time; 0 before the first request has ended.
  [[nodiscard]] Duration MeanServiceTime() const noexcept { return m_mean; }

  /// The time that a request should have left when it is dispatched: twice the mean service time, so that few end as
  /// "unknown" because they took somewhat longer than the mean.
  [[nodiscard]] Duration MinTimeToRun() const noexcept { return m_mean * 2; }

  /// Queue length x mean service time / tokens held; 0 while nothing is known.
  [[nodiscard]] Duration ExpectedWait(std::size_t queued, std::uint32_t tokens_held) const noexcept;

  /// False if the queue is full, or if the wait and the run allowance exceed the time left.
  [[nodiscard]] bool Admits(std::size_t queued, std::uint32_t tokens_held, Duration time_left) const noexcept;

 private:
  std::size_t m_queue_limit;
  Duration m_mean{};
};

}  // namespace fighatch

#endif  // FIGHATCH_ADMISSION_H_
