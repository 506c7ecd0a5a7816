#include <signal.h>
#include <sodium.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "commands.h"
#include "config/json_reader.h"
#include "io/reactor.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::ValueOf;
using fighatch::ctl::CommandLine;
using fighatch::ctl::ExitCode;

int Fail(const std::string& text) {
  std::cerr << text << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("fighatchctl", "Operator tool of fighatch.");
  options.positional_help("COMMAND [ARGUMENT...]");
  options.add_options()("config", "settings file (JSON with comments)", cxxopts::value<std::string>())(
      "control", "HTTP endpoints of the control hosts, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "balancers", "HTTP endpoints of the balancers for explain, separated by commas",
      cxxopts::value<std::vector<std::string>>())("key", "operator key file", cxxopts::value<std::string>())(
      "author", "author of generated tickets", cxxopts::value<std::string>())(
      "number", "number of a generated ticket; default: one above the highest in force",
      cxxopts::value<std::uint64_t>())("deadline", "milliseconds for the whole command",
                                       cxxopts::value<std::uint64_t>())(
      "force", "accept a generated ticket that fails a safety check (codes 3004 to 3006)")(
      "no-wait", "do not wait for \"in force\"")("local", "with show: the state of one control host, which may be old")(
      "offline", "with check: check the file alone, without the version in force")("json", "print JSON")(
      "check-config", "check the settings and exit")("version", "print the version")("help", "print this text")(
      "command", "", cxxopts::value<std::string>())("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command", "arguments"});
  return options;
}

fighatch::Status ReadSettings(const std::string& path, CommandLine* line) {
  const auto text = fighatch::config::ReadTextFile(path);
  if (!IsOk(text)) return ErrorOf(text);
  const auto json = fighatch::config::ParseJson(ValueOf(text));
  if (!IsOk(json)) return ErrorOf(json);
  fighatch::config::ObjectReader reader(ValueOf(json), "");
  reader.OptionalEndpointList("control_hosts", &line->m_control_hosts);
  reader.OptionalEndpointList("balancers", &line->m_balancers);
  reader.OptionalText("operator_key_file", &line->m_key_file);
  reader.OptionalText("author", &line->m_author);
  reader.OptionalMilliseconds("deadline_ms", std::chrono::milliseconds(1), std::chrono::hours(1), &line->m_deadline);
  return reader.Finish();
}

// Reads a list of endpoints from an option; it replaces the list of the settings file.
fighatch::Status ReadEndpoints(const cxxopts::ParseResult& parsed, const std::string& option,
                               std::vector<fighatch::Endpoint>* out) {
  if (parsed.count(option) == 0) return fighatch::OkStatus();
  out->clear();
  for (const std::string& text : parsed[option].as<std::vector<std::string>>()) {
    const auto endpoint = fighatch::ParseEndpoint(text);
    if (!IsOk(endpoint)) return ErrorOf(endpoint);
    out->push_back(ValueOf(endpoint));
  }
  return fighatch::OkStatus();
}

fighatch::Status ReadOptions(const cxxopts::ParseResult& parsed, CommandLine* line) {
  if (parsed.count("config") > 0) {
    fighatch::Status status = ReadSettings(parsed["config"].as<std::string>(), line);
    if (!IsOk(status)) return status;
  }
  fighatch::Status status = ReadEndpoints(parsed, "control", &line->m_control_hosts);
  if (!IsOk(status)) return status;
  status = ReadEndpoints(parsed, "balancers", &line->m_balancers);
  if (!IsOk(status)) return status;
  if (parsed.count("key") > 0) line->m_key_file = parsed["key"].as<std::string>();
  if (parsed.count("author") > 0) line->m_author = parsed["author"].as<std::string>();
  if (parsed.count("number") > 0) line->m_number = parsed["number"].as<std::uint64_t>();
  if (parsed.count("deadline") > 0) {
    line->m_deadline = std::chrono::milliseconds(parsed["deadline"].as<std::uint64_t>());
  }
  line->m_force = parsed.count("force") > 0;
  line->m_wait = parsed.count("no-wait") == 0;
  line->m_local = parsed.count("local") > 0;
  line->m_offline = parsed.count("offline") > 0;
  line->m_json = parsed.count("json") > 0;
  if (parsed.count("command") > 0) line->m_command = parsed["command"].as<std::string>();
  if (parsed.count("arguments") > 0) line->m_arguments = parsed["arguments"].as<std::vector<std::string>>();
  return fighatch::OkStatus();
}

int Run(cxxopts::Options& options, int argc, char** argv) {
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) return std::cout << options.help() << "\n" << fighatch::ctl::CommandHelp(), 0;
  if (parsed.count("version") > 0) return std::cout << "fighatchctl " << FIGHATCH_VERSION << "\n", 0;
  CommandLine line;
  if (const char* user = std::getenv("USER")) line.m_author = user;
  if (line.m_author.empty()) line.m_author = "fighatchctl";
  const fighatch::Status status = ReadOptions(parsed, &line);
  if (!IsOk(status)) return Fail(ToString(ErrorOf(status)));
  if (parsed.count("check-config") > 0) return std::cout << "settings are valid\n", 0;
  if (line.m_command.empty()) return Fail("no command; see --help");
  // `check` reports missing control hosts with an exit code of its own.
  const bool asks_control_hosts = line.m_command != "explain" && line.m_command != "check";
  if (asks_control_hosts && line.m_control_hosts.empty()) {
    return Fail("name the control hosts with --control or --config");
  }
  const fighatch::io::Reactor reactor;
  return static_cast<int>(fighatch::ctl::RunCommand(line));
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0) return Fail("libsodium cannot be initialised");
  cxxopts::Options options = MakeOptions();
  try {
    return Run(options, argc, argv);
  } catch (const std::exception& error) {
    return Fail(std::string(error.what()) + "; see --help");
  }
}
