#include "explain.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "fighatch/error.h"
#include "fighatch/http_message.h"
#include "io/http_client.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kExchangeTimeout{2000};

struct Flow {
  std::string m_transport;
  std::string m_source;
  std::string m_destination;
};

// What one balancer reports about the flow.
struct Explanation {
  Endpoint m_balancer;
  bool m_answered = false;
  std::uint32_t m_host = 0;
  std::string m_decision;
  // GUE endpoint of the target or balancer that the packet is sent to; empty for other decisions.
  std::string m_endpoint;
  std::uint64_t m_target = 0;
  std::string m_reason;
};

Result<Flow> ParseFlow(const std::string& text) {
  const std::size_t first_slash = text.find('/');
  const std::size_t second_slash = first_slash == std::string::npos ? first_slash : text.find('/', first_slash + 1);
  if (second_slash == std::string::npos)
    return MakeError(ErrorCode::kRequestMalformed, "expected TRANSPORT/SOURCE/DESTINATION");
  Flow flow{text.substr(0, first_slash), text.substr(first_slash + 1, second_slash - first_slash - 1),
            text.substr(second_slash + 1)};
  if (flow.m_transport != "tcp" && flow.m_transport != "udp") {
    return MakeError(ErrorCode::kRequestMalformed, "transport " + flow.m_transport + " is neither tcp nor udp");
  }
  for (const std::string& endpoint : {flow.m_source, flow.m_destination}) {
    const auto parsed = ParseEndpoint(endpoint);
    if (!IsOk(parsed)) return ErrorOf(parsed);
  }
  return flow;
}

json GetJson(const Endpoint& balancer, const std::string& path, steady_clock::time_point deadline) {
  const auto response =
      io::HttpExchange(balancer, {"GET", path, {}, ""}, std::min(deadline, steady_clock::now() + kExchangeTimeout));
  if (!IsOk(response)) return {};
  json parsed = json::parse(ValueOf(response).m_body, nullptr, false);
  return parsed.is_object() ? parsed : json();
}

// The phases of those tables of the service that are not settled, for example "moving in data centre 2".
std::string UnsettledPhases(const json& members, std::uint32_t service) {
  std::string text;
  for (const json& table : members.value("tables", json::array())) {
    if (table.value("service", 0U) != service || table.value("phase", "") == "settled") continue;
    const std::uint32_t data_centre = table.value("data_centre", 0U);
    text += (text.empty() ? "" : ", ") + table.value("phase", "") + " " +
            (data_centre == 0 ? "between data centres" : "in data centre " + std::to_string(data_centre));
  }
  return text;
}

std::string ExplainTargetDecision(const json& members, std::uint32_t service) {
  const std::string phases = UnsettledPhases(members, service);
  if (phases.empty()) return "owner of the flow's slot; all slots are settled";
  return "owner of the flow's slot or its flow record; tables: " + phases;
}

std::string ExplainDecision(const json& response, const json& members) {
  const std::string decision = response.value("decision", "");
  const auto service = response.value("service", 0U);
  if (decision == "target") return ExplainTargetDecision(members, service);
  if (decision == "balancer") {
    return "host " + std::to_string(response.value("balancer", 0U)) +
           " decides (keeper of the flow, or a newer table); tables: " + UnsettledPhases(members, service);
  }
  if (decision == "request") return "request service; a target is chosen for each request";
  if (decision == "reset")
    return "the flow is stalled (the caller retransmits without progress); the caller gets a reset";
  const int code = response.value("code", 0);
  return "code " + std::to_string(code) + " " + std::string(ErrorName(static_cast<ErrorCode>(code)));
}

Explanation QueryBalancer(const Endpoint& balancer, const Flow& flow, steady_clock::time_point deadline) {
  Explanation explanation;
  explanation.m_balancer = balancer;
  const json response = GetJson(
      balancer,
      "/v1/explain?source=" + flow.m_source + "&destination=" + flow.m_destination + "&transport=" + flow.m_transport,
      deadline);
  if (!response.is_object()) {
    explanation.m_decision = "silent";
    explanation.m_reason = "no answer from the balancer";
    return explanation;
  }
  explanation.m_answered = true;
  explanation.m_host = response.value("host", 0U);
  explanation.m_decision = response.value("decision", "");
  explanation.m_target = response.value("target", std::uint64_t{0});
  const bool has_endpoint = explanation.m_decision == "target" || explanation.m_decision == "balancer";
  if (has_endpoint) explanation.m_endpoint = response.value("endpoint", "");
  explanation.m_reason = ExplainDecision(response, GetJson(balancer, "/v1/members", deadline));
  return explanation;
}

void PrintTable(const std::vector<Explanation>& explanations) {
  std::cout << std::left << std::setw(22) << "BALANCER" << std::setw(6) << "HOST" << std::setw(10) << "DECISION"
            << std::setw(22) << "GOES TO"
            << "WHY\n";
  for (const Explanation& entry : explanations) {
    std::cout << std::setw(22) << ToString(entry.m_balancer) << std::setw(6)
              << (entry.m_answered ? std::to_string(entry.m_host) : "-") << std::setw(10) << entry.m_decision
              << std::setw(22) << (entry.m_endpoint.empty() ? "-" : entry.m_endpoint) << entry.m_reason << "\n";
  }
}

void PrintJson(const std::vector<Explanation>& explanations) {
  ordered_json out = ordered_json::array();
  for (const Explanation& entry : explanations) {
    out.push_back({{"balancer", ToString(entry.m_balancer)},
                   {"answered", entry.m_answered},
                   {"host", entry.m_host},
                   {"decision", entry.m_decision},
                   {"target", entry.m_target},
                   {"endpoint", entry.m_endpoint},
                   {"why", entry.m_reason}});
  }
  std::cout << ordered_json{{"balancers", out}}.dump() << "\n";
}

// A balancer that forwards the packet to another one makes no decision of its own; all others must agree on the
// outcome.
ExitCode DetermineExitCode(const std::vector<Explanation>& explanations) {
  std::set<std::string> outcomes;
  bool all_answered = true;
  bool has_drop_or_reset = false;
  for (const Explanation& entry : explanations) {
    all_answered = all_answered && entry.m_answered;
    has_drop_or_reset = has_drop_or_reset || entry.m_decision == "drop" || entry.m_decision == "reset";
    if (entry.m_answered && entry.m_decision != "balancer") outcomes.insert(entry.m_decision + entry.m_endpoint);
  }
  if (has_drop_or_reset || outcomes.size() > 1) return ExitCode::kNotServed;
  return all_answered ? ExitCode::kOk : ExitCode::kNoAnswer;
}

}  // namespace

ExitCode Explain(const CommandLine& line) {
  const Result<Flow> flow = ParseFlow(line.m_arguments[0]);
  if (!IsOk(flow)) {
    std::cerr << ToString(ErrorOf(flow)) << "\nnext: for example explain tcp/203.0.113.5:4000/198.51.100.11:443\n";
    return ExitCode::kUsage;
  }
  if (line.m_balancers.empty()) {
    std::cerr << "no balancers\nnext: name their HTTP endpoints with --balancers or in the settings file\n";
    return ExitCode::kUsage;
  }
  const auto deadline = steady_clock::now() + line.m_deadline;
  std::vector<Explanation> explanations;
  for (const Endpoint& balancer : line.m_balancers)
    explanations.push_back(QueryBalancer(balancer, ValueOf(flow), deadline));
  if (line.m_json) {
    PrintJson(explanations);
  } else {
    PrintTable(explanations);
  }
  return DetermineExitCode(explanations);
}

}  // namespace fighatch::ctl
