#ifndef FIGHATCH_ADMISSION_H_
#define FIGHATCH_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "fighatch/time.h"

namespace fighatch {

/// Admission control of one service: decides on arrival whether a request can still be served before its deadline, from
/// the queue length, the tokens held and a moving mean of the service time. Durations come from the caller's clock.
class Admission {
 public:
  explicit Admission(std::size_t queue_limit) noexcept : m_queue_limit(queue_limit) {}

  /// Adds the service time of an answered request to the moving mean.
  void OnServiceTime(Duration service_time) noexcept;

  /// Moving mean of the service time; 0 before the first request was answered.
  [[nodiscard]] Duration MeanServiceTime() const noexcept { return m_mean; }

  /// The least time until its deadline that a request needs to be dispatched: twice the mean service time, so that few
  /// requests end as "unknown" because they took somewhat longer than the mean.
  [[nodiscard]] Duration MinTimeToRun() const noexcept { return m_mean * 2; }

  /// Queue length x mean service time / tokens held; 0 if no tokens are held or no service time is known yet.
  [[nodiscard]] Duration ExpectedWait(std::size_t queued, std::uint32_t tokens_held) const noexcept;

  /// False if the queue is full, or if the expected wait plus `MinTimeToRun` exceeds the time until the deadline.
  [[nodiscard]] bool Admits(std::size_t queued, std::uint32_t tokens_held, Duration time_left) const noexcept;

 private:
  std::size_t m_queue_limit;
  Duration m_mean{};
};

}  // namespace fighatch

#endif  // FIGHATCH_ADMISSION_H_
