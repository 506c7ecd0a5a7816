#include "control_client.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <set>

#include "io/http_client.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

// Longer than a control host waits for a majority, so that its own answer arrives first.
constexpr std::chrono::milliseconds kExchangeTimeout{3000};
constexpr std::chrono::milliseconds kRetryInterval{100};
// A balancer reports its version at least once a second; one that is silent for longer is not waited for.
constexpr int kSilentAfterMs = 10000;

bool IsFinalTicketAnswer(const json& answer) {
  const int code = answer.value("code", -1);
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

Result<json> ControlClient::ExchangeUntil(const HttpRequest& request,
                                          const std::function<bool(const json&)>& is_final) {
  std::string last = "no control host was tried";
  std::size_t tried = 0;
  while (!IsPastDeadline()) {
    const Endpoint host = m_control_hosts[m_next_host % m_control_hosts.size()];
    Result<json> answer = Exchange(host, request);
    if (IsOk(answer) && is_final(ValueOf(answer))) return answer;
    last = ToString(host) + ": " + (IsOk(answer) ? ValueOf(answer).dump() : ToString(ErrorOf(answer)));
    ++m_next_host;
    const std::string leader = IsOk(answer) ? ValueOf(answer).value("leader", "") : "";
    const auto known = std::find_if(m_control_hosts.begin(), m_control_hosts.end(),
                                    [&leader](const Endpoint& endpoint) { return ToString(endpoint) == leader; });
    if (known != m_control_hosts.end()) m_next_host = static_cast<std::size_t>(known - m_control_hosts.begin());
    if (known == m_control_hosts.end() || ++tried % m_control_hosts.size() == 0) {
      boost::this_fiber::sleep_until(std::min(m_deadline, steady_clock::now() + kRetryInterval));
    }
  }
  return MakeError(ErrorCode::kIoTimeout, last);
}

Result<json> ControlClient::SubmitTicket(const std::string& text, const std::string& signature) {
  const HttpRequest request{"POST", "/v1/tickets", {{std::string(daemon::kTicketSignatureHeader), signature}}, text};
  return ExchangeUntil(request, IsFinalTicketAnswer);
}

Result<json> ControlClient::Get(const std::string& path) {
  return ExchangeUntil({"GET", path, {}, ""}, [](const json&) { return true; });
}

std::vector<json> ControlClient::GetFromAll(const std::string& path) const {
  std::vector<json> answers;
  for (const Endpoint& host : m_control_hosts) {
    Result<json> answer = Exchange(host, {"GET", path, {}, ""});
    if (IsOk(answer)) answers.push_back(std::move(ValueOf(answer)));
  }
  return answers;
}

TicketPlaces ControlClient::FindTicket(TicketNumber number) {
  TicketPlaces places;
  std::set<std::uint32_t> in_force;
  std::set<std::uint32_t> not_in_force;
  for (const Endpoint& host : m_control_hosts) {
    const Result<json> answer = Exchange(host, {"GET", "/v1/tickets/" + std::to_string(number.m_value), {}, ""});
    if (!IsOk(answer)) {
      places.m_silent.push_back(host);
      continue;
    }
    const json& found = ValueOf(answer);
    if (!found.value("accepted", false)) continue;
    places.m_accepted = true;
    places.m_digest = found.value("digest", "");
    places.m_generation = found.value("generation", std::uint64_t{0});
    for (const json& entry : found.value("in_force", json::array())) in_force.insert(entry.value("host", 0U));
    for (const json& entry : found.value("not_in_force", json::array())) {
      if (entry.value("age_ms", 0) < kSilentAfterMs) not_in_force.insert(entry.value("host", 0U));
    }
  }
  places.m_in_force.assign(in_force.begin(), in_force.end());
  std::set_difference(not_in_force.begin(), not_in_force.end(), in_force.begin(), in_force.end(),
                      std::back_inserter(places.m_not_in_force));
  return places;
}

}  // namespace fighatch::ctl
