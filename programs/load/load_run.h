#ifndef FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_
#define FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_

#include "daemon/stop_signal.h"
#include "load_settings.h"

namespace fighatch::load {

/// Runs all workloads until they are done or the stop signal comes, then writes the report and the plot. Errors:
/// `kIoSocket` if the socket cannot be bound, `kStorageIo` if a file cannot be written.
[[nodiscard]] Status RunLoad(const LoadSettings& settings, daemon::StopSignal* stop);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_
