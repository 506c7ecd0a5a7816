#include "check.h"

#include <algorithm>
#include <iostream>
#include <optional>

#include "config/json_reader.h"
#include "control_client.h"
#include "fighatch/ticket_check.h"
#include "state/state_json.h"
#include "ticket_difference.h"
#include "wire/codec.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::steady_clock;

// What control hosts know that matters for a ticket.
struct StateInForce {
  StateDocument m_state;
  json m_json;
  // The accepted ticket of the same number.
  std::optional<AcceptedTicket> m_accepted;
};

// The result of a check.
struct Report {
  std::vector<TicketFinding> m_findings;
  std::vector<TicketDifference> m_differences;
  // The version that the ticket was compared with; none if there was no comparison.
  std::optional<Version> m_version;
  // True if the same ticket was accepted before, so that control hosts would answer it without another change.
  bool m_was_accepted = false;
  // Why the state in force could not be read; empty if it was not needed or was read.
  std::string m_read_error;
};

Result<std::optional<AcceptedTicket>> ReadAcceptedTicket(ControlClient* client, TicketNumber number) {
  const Result<json> response = client->GetConfirmedTicket(number);
  if (!IsOk(response)) return ErrorOf(response);
  const json& found = ValueOf(response);
  if (!found.value("accepted", false)) return std::optional<AcceptedTicket>();
  const Result<TicketDigest> digest = DigestFromHex(found.value("digest", ""));
  if (!IsOk(digest)) return ErrorOf(digest);
  const Version version{found.value("epoch", std::uint64_t{0}), found.value("generation", std::uint64_t{0})};
  return std::optional(AcceptedTicket{ValueOf(digest), found.value("author", ""), version});
}

Result<StateInForce> ReadStateInForce(const CommandLine& line, TicketNumber number) {
  if (line.m_control_hosts.empty()) {
    return MakeError(ErrorCode::kSettingsMissingField, "name the control hosts with --control or --config");
  }
  ControlClient client(line.m_control_hosts, steady_clock::now() + line.m_deadline);
  Result<json> response = client.GetConfirmedState();
  if (!IsOk(response)) return ErrorOf(response);
  Result<StateDocument> state = StateFromJson(ValueOf(response));
  if (!IsOk(state)) return ErrorOf(state);
  Result<std::optional<AcceptedTicket>> accepted = ReadAcceptedTicket(&client, number);
  if (!IsOk(accepted)) return ErrorOf(accepted);
  return StateInForce{std::move(ValueOf(state)), std::move(ValueOf(response)), std::move(ValueOf(accepted))};
}

void Append(std::vector<TicketFinding> findings, Report* report) {
  std::move(findings.begin(), findings.end(), std::back_inserter(report->m_findings));
}

void AddError(const Error& error, std::string path, Report* report) {
  if (error.m_code == ErrorCode::kOk) return;
  report->m_findings.push_back({error.m_code, FindingSeverity::kError, std::move(path), error.m_detail});
}

void CompareWithState(const Ticket& ticket, const StateInForce& in_force, Report* report) {
  report->m_version = in_force.m_state.m_version;
  const std::optional<AcceptedTicket>& accepted = in_force.m_accepted;
  if (accepted) {
    const Error conflict = CheckNumberConflict(ticket.m_number, DigestOf(ticket), *accepted);
    AddError(conflict, "number", report);
    report->m_was_accepted = conflict.m_code == ErrorCode::kOk;
    if (report->m_was_accepted) return;
  }
  const AddressOwners owners = AddressOwnersOf(in_force.m_state);
  TicketCheckInput input;
  input.m_state = &in_force.m_state;
  input.m_address_owners = &owners;
  const TicketCheck check(ticket, input);
  Append(check.FindErrors(), report);
  Append(check.FindWarnings(), report);
  report->m_differences = DifferencesOf(ticket, in_force.m_json);
}

Report CheckText(const CommandLine& line, const std::string& text) {
  Report report;
  Ticket ticket;
  Append(CheckTicketText(text, &ticket), &report);
  if (!report.m_findings.empty()) return report;
  AddError(CheckEncodedTicketSize(wire::Encode(ticket).size()), "", &report);
  if (!line.m_offline) {
    const Result<StateInForce> in_force = ReadStateInForce(line, ticket.m_number);
    if (IsOk(in_force)) {
      CompareWithState(ticket, ValueOf(in_force), &report);
      return report;
    }
    report.m_read_error = ToString(ErrorOf(in_force));
  }
  const TicketCheck check(ticket, {});
  Append(check.FindErrors(), &report);
  Append(check.FindWarnings(), &report);
  return report;
}

std::ptrdiff_t Count(const Report& report, FindingSeverity severity) {
  return std::count_if(report.m_findings.begin(), report.m_findings.end(),
                       [severity](const TicketFinding& finding) { return finding.m_severity == severity; });
}

void PrintJson(const Report& report) {
  ordered_json out;
  out["version"] = report.m_version ? ordered_json{{"epoch", report.m_version->m_epoch},
                                                   {"generation", report.m_version->m_generation}}
                                    : ordered_json();
  out["accepted_before"] = report.m_was_accepted;
  out["findings"] = ordered_json::array();
  for (const TicketFinding& finding : report.m_findings) {
    out["findings"].push_back({{"code", static_cast<int>(finding.m_code)},
                               {"error", ErrorName(finding.m_code)},
                               {"severity", FindingSeverityName(finding.m_severity)},
                               {"path", finding.m_path},
                               {"text", finding.m_text}});
  }
  out["differences"] = report.m_version ? DifferencesToJson(report.m_differences) : ordered_json();
  // The message of a syntax error may repeat bytes that are not UTF-8, for which `dump` throws by default.
  std::cout << out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) << "\n";
}

void PrintText(const Report& report) {
  for (const TicketFinding& finding : report.m_findings) {
    std::cout << FindingSeverityName(finding.m_severity) << " " << static_cast<int>(finding.m_code) << " "
              << ErrorName(finding.m_code) << (finding.m_path.empty() ? "" : " ") << finding.m_path << ": "
              << finding.m_text << "\n";
  }
  PrintDifferences(report.m_differences, std::cout);
  std::cout << Count(report, FindingSeverity::kError) << " errors, " << Count(report, FindingSeverity::kWarning)
            << " warnings; ";
  if (report.m_was_accepted) {
    std::cout << "this ticket was accepted before, sending it again changes nothing\n";
  } else if (report.m_version) {
    std::cout << report.m_differences.size() << " differences from version " << report.m_version->m_epoch << "."
              << report.m_version->m_generation << "\n";
  } else {
    std::cout << "not compared with the version in force\n";
  }
}

}  // namespace

ExitCode Check(const CommandLine& line) {
  const Result<std::string> text = config::ReadTextFile(line.m_arguments[0]);
  Report report;
  if (IsOk(text)) {
    report = CheckText(line, ValueOf(text));
  } else {
    AddError(ErrorOf(text), "", &report);
  }
  line.m_json ? PrintJson(report) : PrintText(report);
  if (!report.m_read_error.empty()) {
    std::cerr << "the version in force could not be read: " << report.m_read_error
              << "\nnext: check --control and that a control host runs, or check the file alone with --offline\n";
  }
  if (Count(report, FindingSeverity::kError) > 0) return ExitCode::kCheckErrors;
  if (!report.m_read_error.empty()) return ExitCode::kCheckNoState;
  return report.m_findings.empty() ? ExitCode::kOk : ExitCode::kCheckWarnings;
}

}  // namespace fighatch::ctl
