#ifndef FIGHATCH_TIME_H_
#define FIGHATCH_TIME_H_

#include <chrono>
#include <cstdint>

namespace fighatch {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// The clock to which the core's time points belong. It has no `now()`: the caller passes the time in, so that tests
/// can run the core in virtual time.
struct CoreClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): name fixed by the standard.
};

/// A point on the host's monotonic clock. Points of different hosts must not be compared.
using TimePoint = CoreClock::time_point;

}  // namespace fighatch

#endif  // FIGHATCH_TIME_H_
