#ifndef FIGHATCH_DAEMON_CLOCK_H_
#define FIGHATCH_DAEMON_CLOCK_H_

#include "fighatch/time.h"

namespace fighatch::daemon {

/// The clock of leases and deadlines. It advances while the host is suspended, so that a host that resumes finds its
/// leases expired.
[[nodiscard]] TimePoint Now();

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CLOCK_H_
