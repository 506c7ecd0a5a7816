#include "daemon/program.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sodium.h>
#include <unistd.h>

#include <cstdio>
#include <cxxopts.hpp>

#include "config/json_reader.h"

namespace fighatch::daemon {
namespace {

// Longer than any log line, so that each line is written at once.
constexpr std::size_t kLogBufferBytes = std::size_t{64} << 10U;

}  // namespace

ParsedCommandLine ParseCommandLine(int argc, char** argv, const ProgramInfo& info) {
  ParsedCommandLine parsed;
  const std::string name(info.m_name);
  cxxopts::Options options(name, std::string(info.m_summary));
  options.add_options()("c,config", "Settings file (JSON with comments)", cxxopts::value<std::string>())(
      "check-config", "Check the settings and exit")("h,help", "Print this help")("version", "Print the version");
  for (const ProgramFlag& flag : info.m_flags) options.add_options()(flag.m_name, flag.m_help);
  try {
    const cxxopts::ParseResult result = options.parse(argc, argv);
    if (result.count("help") > 0) {
      std::cout << options.help();
      parsed.m_exit = ExitCode::kOk;
    } else if (result.count("version") > 0) {
      std::cout << name << " " << FIGHATCH_VERSION << "\n";
      parsed.m_exit = ExitCode::kOk;
    } else if (result.count("config") == 0) {
      std::cerr << name << ": --config FILE is required; see --help\n";
      parsed.m_exit = ExitCode::kUsage;
    } else {
      parsed.m_options = {result["config"].as<std::string>(), result.count("check-config") > 0, {}};
      for (const ProgramFlag& flag : info.m_flags) {
        if (result.count(flag.m_name) > 0) parsed.m_options.m_flags.insert(flag.m_name);
      }
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << name << ": " << error.what() << "; see --help\n";
    parsed.m_exit = ExitCode::kUsage;
  }
  return parsed;
}

bool InitialiseCryptography() { return sodium_init() >= 0; }

void StartLogging(std::string_view program, LogOutput output) {
  if (output == LogOutput::kStandardOutput) {
    FLAGS_logtostdout = true;
    FLAGS_logbuflevel = -1;
    // A pipe or a file is buffered as a whole block by default, so that the last lines of a killed process were lost.
    setvbuf(stdout, nullptr, _IOLBF, kLogBufferBytes);
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  } else {
    FLAGS_logtostderr = true;
  }
  static const std::string kName(program);  // glog keeps the pointer.
  google::InitGoogleLogging(kName.c_str());
}

Result<std::string> ReadSettingsFile(const std::string& path) { return config::ReadTextFile(path); }

}  // namespace fighatch::daemon
