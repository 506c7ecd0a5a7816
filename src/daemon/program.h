#ifndef FIGHATCH_DAEMON_PROGRAM_H_
#define FIGHATCH_DAEMON_PROGRAM_H_

#include <cstdint>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/result.h"

namespace fighatch::daemon {

/// Exit codes of all daemons.
enum class ExitCode : int { kOk = 0, kFailed = 1, kUsage = 2, kBadSettings = 3 };

/// An option of one program that takes no value.
struct ProgramFlag {
  std::string m_name;
  std::string m_help;
};

/// Where the log goes.
enum class LogOutput : std::uint8_t {
  kStandardError = 0,
  /// Standard output in non-blocking mode: lines are lost if the reader does not keep up.
  kStandardOutput = 1,
};

/// Name, summary and flags of a program for `--help`, and where it logs.
struct ProgramInfo {
  std::string_view m_name;
  std::string_view m_summary;
  std::vector<ProgramFlag> m_flags;
  LogOutput m_log_output = LogOutput::kStandardError;
};

/// The parsed command-line options of a daemon.
struct ProgramOptions {
  std::string m_settings_path;
  bool m_check_only = false;
  /// Names of the program's own flags that were given.
  std::set<std::string> m_flags;
};

/// The outcome of `ParseCommandLine`. The exit code is set if the program must end at once: after `--help`, `--version`
/// and wrong usage.
struct ParsedCommandLine {
  ProgramOptions m_options;
  std::optional<ExitCode> m_exit;
};

/// Parses `--config FILE`, `--check-config`, `--help`, `--version` and the flags in `info`. Prints help, version and
/// usage errors.
[[nodiscard]] ParsedCommandLine ParseCommandLine(int argc, char** argv, const ProgramInfo& info);

/// Initialises libsodium; false if that fails.
[[nodiscard]] bool InitialiseCryptography();

/// Initialises glog, with one line per event.
void StartLogging(std::string_view program, LogOutput output);

/// Reads a whole settings file. Errors: `kSettingsUnreadable`.
[[nodiscard]] Result<std::string> ReadSettingsFile(const std::string& path);

/// The `main` function of a daemon: parses the command line and the settings, initialises logging and libsodium, calls
/// `run(settings, options)` and returns the exit code. Settings errors go to standard error.
template <typename Settings, typename Run>
int RunProgram(int argc, char** argv, const ProgramInfo& info, Result<Settings> (*parse)(std::string_view text),
               const Run& run) {
  const ParsedCommandLine command_line = ParseCommandLine(argc, argv, info);
  if (command_line.m_exit) return static_cast<int>(*command_line.m_exit);
  const Result<std::string> text = ReadSettingsFile(command_line.m_options.m_settings_path);
  Result<Settings> settings = IsOk(text) ? parse(ValueOf(text)) : Result<Settings>(ErrorOf(text));
  if (!IsOk(settings)) {
    std::cerr << info.m_name << ": " << command_line.m_options.m_settings_path << ": " << ToString(ErrorOf(settings))
              << "\n";
    return static_cast<int>(ExitCode::kBadSettings);
  }
  if (command_line.m_options.m_check_only) {
    std::cout << command_line.m_options.m_settings_path << ": ok\n";
    return static_cast<int>(ExitCode::kOk);
  }
  StartLogging(info.m_name, info.m_log_output);
  if (!InitialiseCryptography()) return static_cast<int>(ExitCode::kFailed);
  return static_cast<int>(run(ValueOf(settings), command_line.m_options));
}

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_PROGRAM_H_
