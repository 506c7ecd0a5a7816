#include "daemon/clock.h"

#include <ctime>

namespace fighatch::daemon {

TimePoint Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace fighatch::daemon
