#ifndef FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_
#define FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_

#include "commands.h"

namespace fighatch::ctl {

/// Asks every balancer where a flow goes and why. The flow is given as `TRANSPORT/SOURCE/DESTINATION`, for example
/// `tcp/203.0.113.5:4000/198.51.100.11:443`.
[[nodiscard]] ExitCode Explain(const CommandLine& line);

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_
