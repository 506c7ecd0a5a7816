#ifndef FIGHATCH_IO_BOOT_TIME_H_
#define FIGHATCH_IO_BOOT_TIME_H_

#include "fighatch/time.h"

namespace fighatch::io {

/// The time since the host's boot. Unlike the steady clock it advances while the host is suspended.
[[nodiscard]] TimePoint BootTime() noexcept;

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_BOOT_TIME_H_
