#include "daemon/clock.h"

#include "io/boot_time.h"

namespace fighatch::daemon {

TimePoint Now() { return io::BootTime(); }

}  // namespace fighatch::daemon
