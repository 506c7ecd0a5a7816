#include "commands.h"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <charconv>
#include <iostream>
#include <map>
#include <string_view>

#include "check.h"
#include "config/json_reader.h"
#include "control_client.h"
#include "daemon/operator_key.h"
#include "explain.h"
#include "fighatch/ticket.h"
#include "ticket_difference.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{50};
constexpr std::chrono::milliseconds kWatchInterval{1000};
// Time within which a balancer whose control host stopped responding reports to another one.
constexpr std::chrono::milliseconds kReportFailoverTime{4000};

ControlClient MakeClient(const CommandLine& line) {
  return {line.m_control_hosts, steady_clock::now() + line.m_deadline};
}

ExitCode ReportUsageError(const std::string& text) {
  std::cerr << text << "\n";
  return ExitCode::kUsage;
}

ExitCode ReportNoAnswer(const Error& error, bool was_ticket) {
  std::cerr << "no final answer before the deadline; last: " << error.m_detail << "\n";
  std::cerr << (was_ticket ? "next: run the same command again (a resend is safe), or ask with `where NUMBER`\n"
                           : "next: check --control and that a control host runs, or raise --deadline; "
                             "`show --local` asks one host without a majority\n");
  return ExitCode::kNoAnswer;
}

std::string FormatHostList(const std::vector<std::uint32_t>& hosts) {
  std::string text;
  for (const std::uint32_t host : hosts) text += (text.empty() ? "" : ",") + std::to_string(host);
  return text.empty() ? "none" : text;
}

void PrintTicketStatus(const CommandLine& line, TicketNumber number, const TicketStatus& status) {
  if (line.m_json) {
    ordered_json out{{"number", number.m_value},      {"accepted", status.m_accepted},
                     {"digest", status.m_digest},     {"generation", status.m_generation},
                     {"in_force", status.m_in_force}, {"not_in_force", status.m_not_in_force}};
    out["silent_control_hosts"] = ordered_json::array();
    for (const Endpoint& host : status.m_unreachable_hosts) out["silent_control_hosts"].push_back(ToString(host));
    std::cout << out.dump() << "\n";
    return;
  }
  std::cout << "ticket " << number.m_value << ": " << (status.m_accepted ? "accepted" : "not accepted") << "\n";
  if (status.m_accepted) {
    std::cout << "digest " << status.m_digest << "\ngeneration " << status.m_generation << "\nin force on hosts "
              << FormatHostList(status.m_in_force) << "\nnot yet in force on hosts "
              << FormatHostList(status.m_not_in_force) << "\n";
  }
  for (const Endpoint& host : status.m_unreachable_hosts)
    std::cout << "no answer from control host " << ToString(host) << "\n";
}

std::string SuggestNextStep(int code) {
  switch (static_cast<ErrorCode>(code)) {
    case ErrorCode::kTicketMalformed:
      return "correct the named field in the file";
    case ErrorCode::kTicketNumberConflict:
      return "look at the winner with `where NUMBER`, then use a new number";
    case ErrorCode::kTicketNumberTooLow:
      return "look at `show`, then use a number above the one named";
    case ErrorCode::kTicketBadSignature:
      return "use the operator key of this deployment with --key";
    case ErrorCode::kTicketTooLarge:
      return "split the ticket into several";
    default:
      return "correct the ticket, or set \"force\": true in it if the change is intended";
  }
}

ExitCode WaitUntilInForce(const CommandLine& line, ControlClient* client, TicketNumber number) {
  const auto failover_deadline = steady_clock::now() + kReportFailoverTime;
  TicketStatus status = client->QueryTicket(number);
  const auto is_incomplete = [&] {
    return !status.m_not_in_force.empty() ||
           (!status.m_unreachable_hosts.empty() && steady_clock::now() < failover_deadline);
  };
  while (is_incomplete() && !client->IsPastDeadline()) {
    boost::this_fiber::sleep_for(kPollInterval);
    TicketStatus latest = client->QueryTicket(number);
    if (latest.m_accepted) status = std::move(latest);
  }
  status.m_accepted = true;
  PrintTicketStatus(line, number, status);
  if (status.m_not_in_force.empty()) return ExitCode::kOk;
  std::cerr << "accepted, but not in force everywhere before the deadline\nnext: ask again with `where "
            << number.m_value << "`\n";
  return ExitCode::kNotInForce;
}

ExitCode Submit(const CommandLine& line, const std::string& text) {
  const Result<Ticket> ticket = ParseTicket(text);
  if (!IsOk(ticket)) return ReportUsageError(ToString(ErrorOf(ticket)) + "\nnext: correct the named field");
  const Result<daemon::OperatorKey> key = daemon::OperatorKey::Load(line.m_key_file);
  if (!IsOk(key)) return ReportUsageError(ToString(ErrorOf(key)) + "\nnext: name the operator key file with --key");
  ControlClient client = MakeClient(line);
  const Result<json> response = client.SubmitTicket(text, ValueOf(key).Sign(text));
  if (!IsOk(response)) return ReportNoAnswer(ErrorOf(response), true);
  const json& result = ValueOf(response);
  if (result.value("code", -1) == 0) {
    if (line.m_wait) return WaitUntilInForce(line, &client, ValueOf(ticket).m_number);
    std::cout << (line.m_json ? result.dump() : "accepted") << "\n";
    return ExitCode::kOk;
  }
  if (line.m_json) std::cout << result.dump() << "\n";
  std::cerr << "refused: code=" << result.value("code", -1) << " error=" << result.value("error", "") << " "
            << result.value("detail", "") << "\nnext: " << SuggestNextStep(result.value("code", -1)) << "\n";
  return ExitCode::kRefused;
}

ExitCode Apply(const CommandLine& line) {
  const Result<std::string> text = config::ReadTextFile(line.m_arguments[0]);
  if (!IsOk(text)) return ReportUsageError("cannot read " + line.m_arguments[0]);
  return Submit(line, ValueOf(text));
}

void PrintState(const json& state) {
  std::cout << "version " << state.value("epoch", 0ULL) << "." << state.value("generation", 0ULL) << "\n";
  for (const json& data_centre : state.value("data_centres", json::array())) {
    std::cout << "data centre " << data_centre.value("name", "") << ": " << data_centre.value("state", "")
              << ", region " << data_centre.value("region", "") << ", ticket " << data_centre.value("ticket", 0ULL)
              << "\n";
  }
  for (const json& service : state.value("services", json::array())) {
    std::cout << "service " << service.value("name", "") << ": mode " << service.value("mode", "") << ", ticket "
              << service.value("ticket", 0ULL);
    for (const json& address : service.value("addresses", json::array())) {
      std::cout << ", " << address.value("transport", "") << " " << address.value("endpoint", "");
    }
    std::cout << "\n";
  }
}

ExitCode Show(const CommandLine& line) {
  ControlClient client = MakeClient(line);
  const Result<json> state = line.m_local ? client.Get("/v1/state") : client.GetConfirmedState();
  if (!IsOk(state)) return ReportNoAnswer(ErrorOf(state), false);
  if (line.m_json) {
    std::cout << ValueOf(state).dump() << "\n";
  } else {
    PrintState(ValueOf(state));
  }
  return ExitCode::kOk;
}

ExitCode Where(const CommandLine& line) {
  TicketNumber number;
  const std::string& text = line.m_arguments[0];
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number.m_value);
  if (error != std::errc() || end != text.data() + text.size()) return ReportUsageError("not a ticket number: " + text);
  const TicketStatus status = MakeClient(line).QueryTicket(number);
  if (status.m_unreachable_hosts.size() == line.m_control_hosts.size()) {
    return ReportNoAnswer(MakeError(ErrorCode::kIoTimeout, "no control host answered"), false);
  }
  PrintTicketStatus(line, number, status);
  if (!status.m_accepted) return ExitCode::kNotFound;
  return status.m_not_in_force.empty() ? ExitCode::kOk : ExitCode::kNotInForce;
}

ExitCode Diff(const CommandLine& line) {
  const Result<std::string> text = config::ReadTextFile(line.m_arguments[0]);
  if (!IsOk(text)) return ReportUsageError("cannot read " + line.m_arguments[0]);
  const Result<Ticket> ticket = ParseTicket(ValueOf(text));
  if (!IsOk(ticket)) return ReportUsageError(ToString(ErrorOf(ticket)) + "\nnext: correct the named field");
  const Result<json> state = MakeClient(line).GetConfirmedState();
  if (!IsOk(state)) return ReportNoAnswer(ErrorOf(state), false);
  const std::vector<TicketDifference> differences = DifferencesOf(ValueOf(ticket), ValueOf(state));
  PrintDifferences(differences, std::cout);
  return differences.empty() ? ExitCode::kOk : ExitCode::kDifferent;
}

// The number given on the command line, or else the one after the highest of the state's recent tickets.
std::uint64_t ChooseTicketNumber(const CommandLine& line, const json& state) {
  if (line.m_number != 0) return line.m_number;
  std::uint64_t highest = 0;
  for (const json& number : state.value("recent_tickets", json::array())) {
    highest = std::max(highest, number.get<std::uint64_t>());
  }
  return highest + 1;
}

ExitCode SubmitObject(const CommandLine& line, const json& state, const char* list, json object) {
  object.erase("id");
  object.erase("ticket");
  ordered_json ticket{{"number", ChooseTicketNumber(line, state)}, {"author", line.m_author}, {"force", line.m_force}};
  ticket[list] = json::array({object});
  return Submit(line, ticket.dump());
}

ExitCode SetDataCentre(const CommandLine& line, const char* new_state) {
  const Result<json> state = MakeClient(line).GetConfirmedState();
  if (!IsOk(state)) return ReportNoAnswer(ErrorOf(state), false);
  const json data_centres = ValueOf(state).value("data_centres", json::array());
  const json* found = FindByName(data_centres, line.m_arguments[0]);
  if (found == nullptr)
    return ReportUsageError("no data centre " + line.m_arguments[0] + "\nnext: see `show` for the names");
  json changed = *found;
  changed["state"] = new_state;
  return SubmitObject(line, ValueOf(state), "data_centres", changed);
}

ExitCode Out(const CommandLine& line) { return SetDataCentre(line, "out"); }

ExitCode In(const CommandLine& line) { return SetDataCentre(line, "in"); }

ExitCode Drain(const CommandLine& line) {
  const Result<json> state = MakeClient(line).GetConfirmedState();
  if (!IsOk(state)) return ReportNoAnswer(ErrorOf(state), false);
  const json services = ValueOf(state).value("services", json::array());
  const json* found = FindByName(services, line.m_arguments[0]);
  if (found == nullptr)
    return ReportUsageError("no service " + line.m_arguments[0] + "\nnext: see `show` for the names");
  json changed = *found;
  bool has_weight = false;
  for (json& weight : changed["weights"]) {
    if (weight.value("data_centre", "") != line.m_arguments[1]) continue;
    weight["weight"] = 0;
    has_weight = true;
  }
  if (!has_weight)
    return ReportUsageError("service " + line.m_arguments[0] + " has no weight in " + line.m_arguments[1]);
  return SubmitObject(line, ValueOf(state), "services", changed);
}

// The version in force on each balancer, by host, as last reported. A balancer reports to one control host at a time,
// so the reports of all control hosts are merged and the highest version of a balancer counts.
std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>> VersionsInForce(const ControlClient& client) {
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>> versions;
  for (const json& response : client.GetFromAll("/v1/hosts")) {
    for (const json& host : response.value("balancers", json::array())) {
      auto& version = versions[host.value("host", 0U)];
      version = std::max(version, {host.value("epoch", std::uint64_t{0}), host.value("generation", std::uint64_t{0})});
    }
  }
  return versions;
}

std::string WatchLine(const CommandLine& line) {
  const Result<json> health = MakeClient(line).Get("/v1/health");
  if (!IsOk(health)) return "no control host answers";
  const json& state = ValueOf(health);
  std::string text = "version " + std::to_string(state.value("epoch", 0ULL)) + "." +
                     std::to_string(state.value("generation", 0ULL)) + " leader " +
                     std::to_string(state.value("leader", 0U));
  for (const auto& [host, version] : VersionsInForce(MakeClient(line))) {
    text += " host" + std::to_string(host) + "=" + std::to_string(version.first) + "." + std::to_string(version.second);
  }
  return text;
}

ExitCode Watch(const CommandLine& line) {
  std::string last;
  for (;;) {
    const std::string text = WatchLine(line);
    if (text != last) std::cout << (line.m_json ? json{{"status", text}}.dump() : text) << std::endl;
    last = text;
    boost::this_fiber::sleep_for(kWatchInterval);
  }
}

struct Command {
  std::string_view m_name;
  std::string_view m_arguments;
  std::size_t m_argument_count;
  ExitCode (*m_run)(const CommandLine&);
  std::string_view m_help;
};

constexpr std::array kCommands{
    Command{"apply", "FILE", 1, Apply, "send a ticket and wait until it is in force on every host"},
    Command{"show", "", 0, Show, "print the state"},
    Command{"where", "NUMBER", 1, Where, "say whether a ticket is accepted and where it is in force"},
    Command{"check", "FILE", 1, Check, "check a ticket without sending it, and print what it would change"},
    Command{"diff", "FILE", 1, Diff, "print what a ticket would change"},
    Command{"drain", "SERVICE DC", 2, Drain, "set the weight of a service in a data centre to 0"},
    Command{"out", "DC", 1, Out, "take a data centre out"},
    Command{"in", "DC", 1, In, "bring a data centre back in"},
    Command{"explain", "FLOW", 1, Explain, "ask each balancer where TRANSPORT/SOURCE/DESTINATION goes and why"},
    Command{"watch", "", 0, Watch, "print the versions in force whenever they change"},
};

}  // namespace

ExitCode RunCommand(const CommandLine& line) {
  for (const Command& command : kCommands) {
    if (command.m_name != line.m_command) continue;
    if (line.m_arguments.size() == command.m_argument_count) return command.m_run(line);
    return ReportUsageError("usage: " + line.m_command + " " + std::string(command.m_arguments));
  }
  return ReportUsageError("unknown command " + line.m_command + "; see --help");
}

std::string CommandHelp() {
  std::string text = "Commands:\n";
  for (const Command& command : kCommands) {
    std::string use = std::string(command.m_name) + " " + std::string(command.m_arguments);
    use.resize(std::max<std::size_t>(use.size(), 18), ' ');
    text += "  " + use + " " + std::string(command.m_help) + "\n";
  }
  return text +
         "\nExit codes: 0 done, 1 wrong use or unreadable file, 2 ticket refused, 3 no answer before the deadline,\n"
         "  4 accepted but not in force everywhere, 5 no such ticket, 6 the file differs from the state,\n"
         "  7 a balancer drops or resets the flow, or balancers name different targets\n"
         "Exit codes of check: 0 no findings, 1 warnings only (or wrong use), 2 errors or unreadable file,\n"
         "  3 the version in force could not be read\n";
}

}  // namespace fighatch::ctl
