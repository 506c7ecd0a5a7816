#include "io/boot_time.h"

#include <ctime>

namespace fighatch::io {

TimePoint BootTime() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace fighatch::io
