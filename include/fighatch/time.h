#ifndef FIGHATCH_TIME_H_
#define FIGHATCH_TIME_H_

#include <chrono>
#include <cstdint>

namespace fighatch {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// The clock that the core's time points belong to. It cannot be read: the caller passes the time in, so that the core
/// runs under virtual time in tests.
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
