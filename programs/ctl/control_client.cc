#include "control_client.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <set>

#include "io/http_client.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

// Longer than a control host waits for a majority, so that its own error response arrives before this time-out.
constexpr std::chrono::milliseconds kExchangeTimeout{3000};
constexpr std::chrono::milliseconds kRetryInterval{100};
// A balancer reports its version at least once a second. One whose last report is older than this counts as stopped,
// and no command waits for it.
constexpr int kStaleReportAgeMs = 10000;

bool IsFinalTicketResponse(const json& response) {
  const int code = response.value("code", -1);
  return code >= 0 && code != static_cast<int>(ErrorCode::kTicketNotLeader) &&
         code != static_cast<int>(ErrorCode::kTicketNoQuorum) &&
         code != static_cast<int>(ErrorCode::kTicketOutcomeUnknown);
}

}  // namespace

Result<json> ControlClient::Exchange(const Endpoint& host, const HttpRequest& request) const {
  const auto deadline = std::min(m_deadline, steady_clock::now() + kExchangeTimeout);
  const Result<HttpResponse> response = io::HttpExchange(host, request, deadline);
  if (!IsOk(response)) return ErrorOf(response);
  json parsed = json::parse(ValueOf(response).m_body, nullptr, false);
  if (!parsed.is_object()) return MakeError(ErrorCode::kMessageMalformed, "answer of " + ToString(host));
  return parsed;
}

Result<json> ControlClient::ExchangeUntilFinal(const HttpRequest& request,
                                               const std::function<bool(const json&)>& is_final) {
  std::string last_failure = "no control host was tried";
  std::size_t attempts = 0;
  while (!IsPastDeadline()) {
    const Endpoint host = m_control_hosts[m_next_host % m_control_hosts.size()];
    Result<json> response = Exchange(host, request);
    if (IsOk(response) && is_final(ValueOf(response))) return response;
    last_failure = ToString(host) + ": " + (IsOk(response) ? ValueOf(response).dump() : ToString(ErrorOf(response)));
    ++m_next_host;
    const std::string leader = IsOk(response) ? ValueOf(response).value("leader", "") : "";
    const auto known = std::find_if(m_control_hosts.begin(), m_control_hosts.end(),
                                    [&leader](const Endpoint& endpoint) { return ToString(endpoint) == leader; });
    if (known != m_control_hosts.end()) m_next_host = static_cast<std::size_t>(known - m_control_hosts.begin());
    if (known == m_control_hosts.end() || ++attempts % m_control_hosts.size() == 0) {
      boost::this_fiber::sleep_until(std::min(m_deadline, steady_clock::now() + kRetryInterval));
    }
  }
  return MakeError(ErrorCode::kIoTimeout, last_failure);
}

Result<json> ControlClient::SubmitTicket(const std::string& text, const std::string& signature) {
  const HttpRequest request{"POST", "/v1/tickets", {{std::string(daemon::kTicketSignatureHeader), signature}}, text};
  return ExchangeUntilFinal(request, IsFinalTicketResponse);
}

Result<json> ControlClient::Get(const std::string& path) {
  return ExchangeUntilFinal({"GET", path, {}, ""}, [](const json&) { return true; });
}

Result<json> ControlClient::GetConfirmedState() {
  return ExchangeUntilFinal({"GET", "/v1/state?confirmed=1", {}, ""},
                            [](const json& response) { return !response.contains("code"); });
}

Result<json> ControlClient::GetConfirmedTicket(TicketNumber number) {
  return ExchangeUntilFinal({"GET", "/v1/tickets/" + std::to_string(number.m_value), {}, ""},
                            [](const json& response) { return response.value("confirmed", false); });
}

std::vector<json> ControlClient::GetFromAll(const std::string& path) const {
  std::vector<json> responses;
  for (const Endpoint& host : m_control_hosts) {
    Result<json> response = Exchange(host, {"GET", path, {}, ""});
    if (IsOk(response)) responses.push_back(std::move(ValueOf(response)));
  }
  return responses;
}

TicketStatus ControlClient::QueryTicket(TicketNumber number) {
  TicketStatus status;
  std::set<std::uint32_t> in_force;
  std::set<std::uint32_t> not_in_force;
  for (const Endpoint& host : m_control_hosts) {
    const Result<json> response = Exchange(host, {"GET", "/v1/tickets/" + std::to_string(number.m_value), {}, ""});
    if (!IsOk(response)) {
      status.m_unreachable_hosts.push_back(host);
      continue;
    }
    const json& found = ValueOf(response);
    if (!found.value("accepted", false)) continue;
    status.m_accepted = true;
    status.m_digest = found.value("digest", "");
    status.m_generation = found.value("generation", std::uint64_t{0});
    for (const json& entry : found.value("in_force", json::array())) in_force.insert(entry.value("host", 0U));
    for (const json& entry : found.value("not_in_force", json::array())) {
      if (entry.value("age_ms", 0) < kStaleReportAgeMs) not_in_force.insert(entry.value("host", 0U));
    }
  }
  status.m_in_force.assign(in_force.begin(), in_force.end());
  std::set_difference(not_in_force.begin(), not_in_force.end(), in_force.begin(), in_force.end(),
                      std::back_inserter(status.m_not_in_force));
  return status;
}

}  // namespace fighatch::ctl
