#ifndef FIGHATCH_PROGRAMS_CTL_CHECK_H_
#define FIGHATCH_PROGRAMS_CTL_CHECK_H_

#include "commands.h"

namespace fighatch::ctl {

/// Checks the ticket in the file of the first argument as control hosts would, and prints the findings and the
/// difference from the state in force. Sends no ticket. With `--offline` it asks no control host and checks only what
/// the file shows.
[[nodiscard]] ExitCode Check(const CommandLine& line);

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_CHECK_H_
