#ifndef FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_
#define FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_

#include "commands.h"

namespace fighatch::ctl {

/// Queries every balancer for its decision on packets of a flow and prints the decisions with their reasons. The first
/// argument names the flow as `TRANSPORT/SOURCE/DESTINATION`, for example `tcp/203.0.113.5:4000/198.51.100.11:443`.
[[nodiscard]] ExitCode Explain(const CommandLine& line);

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_EXPLAIN_H_
