#ifndef FIGHATCH_PROGRAMS_CTL_COMMANDS_H_
#define FIGHATCH_PROGRAMS_CTL_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fighatch/address.h"

namespace fighatch::ctl {

/// The exit codes of `fighatchctl`; `--help` lists them.
enum class ExitCode : int {
  kOk = 0,
  /// Wrong use, an unreadable file or bad settings: nothing was sent.
  kUsage = 1,
  /// The ticket was refused: nothing was changed.
  kRefused = 2,
  /// No final response came before the deadline: the ticket may have been accepted.
  kNoAnswer = 3,
  /// The ticket was accepted but is not yet in force on every host.
  kNotInForce = 4,
  /// No ticket of this number was accepted.
  kNotFound = 5,
  /// The file differs from the state.
  kDifferent = 6,
  /// `explain`: a balancer drops or resets the flow, or balancers name different targets.
  kNotServed = 7,

  /// `check`: the findings are warnings only.
  kCheckWarnings = 1,
  /// `check`: control hosts would refuse the ticket, or the file cannot be read.
  kCheckErrors = 2,
  /// `check`: no error was found, but the version in force could not be read.
  kCheckNoState = 3,
};

/// The command line of `fighatchctl`, merged with its settings file.
struct CommandLine {
  std::string m_command;
  std::vector<std::string> m_arguments;
  /// HTTP endpoints of the control hosts.
  std::vector<Endpoint> m_control_hosts;
  /// HTTP endpoints of the balancers that `explain` queries.
  std::vector<Endpoint> m_balancers;
  std::string m_key_file;
  std::string m_author;
  std::uint64_t m_number = 0;
  std::chrono::milliseconds m_deadline{10000};
  bool m_json = false;
  bool m_wait = true;
  /// `show`: the state of any one control host, which may be old.
  bool m_local = false;
  /// `check`: no control host is asked.
  bool m_offline = false;
  bool m_force = false;
};

/// Runs the command and prints its result. A `Reactor` must exist on the calling thread.
[[nodiscard]] ExitCode RunCommand(const CommandLine& line);

/// The help text: each command with its arguments on a line of its own, then the exit codes.
[[nodiscard]] std::string CommandHelp();

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_COMMANDS_H_
