#ifndef FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_
#define FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_

#include "daemon/stop_signal.h"
#include "load_settings.h"

namespace fighatch::load {

/// Runs all workloads and writes the report and the plot. Errors: `kIoSocket`, `kStorageIo`.
[[nodiscard]] Status RunLoad(const LoadSettings& settings, daemon::StopSignal* stop);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LOAD_RUN_H_
