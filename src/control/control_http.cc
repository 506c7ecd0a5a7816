#include "control/control_http.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "daemon/http_query.h"
#include "fighatch/state_delta.h"
#include "state/state_json.h"

namespace fighatch::daemon {
namespace {

using nlohmann::ordered_json;
using std::chrono::steady_clock;

// A request for deltas waits this long for a newer state and is then answered with an empty body.
constexpr std::chrono::milliseconds kLongPollTimeout{1000};
// How often a long poll checks for a planned stop, and so the longest time by which it delays the stop.
constexpr std::chrono::milliseconds kStopCheckInterval{100};
// Once `kMaxBalancerReports` reports are stored, those older than this are removed to make room for a new balancer.
constexpr std::chrono::minutes kBalancerReportRetention{10};
constexpr std::size_t kMaxBalancerReports = 32768;

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOk:
      return 200;
    case ErrorCode::kTicketMalformed:
      return 400;
    case ErrorCode::kTicketBadSignature:
      return 401;
    case ErrorCode::kTicketTooLarge:
      return 413;
    case ErrorCode::kTicketNumberConflict:
    case ErrorCode::kTicketNumberTooLow:
      return 409;
    case ErrorCode::kTicketNotLeader:
    case ErrorCode::kTicketNoQuorum:
    case ErrorCode::kTicketOutcomeUnknown:
      return 503;
    default:
      return 422;
  }
}

HttpResponse JsonResponse(int status, const ordered_json& json) {
  // Texts of a request are repeated in errors and may hold bytes that are not UTF-8, for which `dump` throws by
  // default.
  const std::string text = json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return {status, {{"Content-Type", "application/json"}}, text + "\n"};
}

HttpResponse ErrorResponse(int status, const Error& error) {
  HttpResponse response = JsonResponse(
      status,
      {{"code", static_cast<int>(error.m_code)}, {"error", ErrorName(error.m_code)}, {"detail", error.m_detail}});
  SetHeader(&response.m_headers, "Fighatch-Code", std::to_string(static_cast<int>(error.m_code)));
  return response;
}

bool ParseNumber(const std::string& text, std::uint64_t* out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
  return error == std::errc() && end == text.data() + text.size();
}

std::int64_t AgeMs(steady_clock::time_point since) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - since).count();
}

}  // namespace

ControlHttp::ControlHttp(const config::ControlSettings& settings, const OperatorKey& operator_key,
                         const HttpAuthenticator& authenticator, TicketBackend* backend, ControlMetrics* metrics)
    : m_settings(settings),
      m_operator_key(operator_key),
      m_authenticator(authenticator),
      m_backend(backend),
      m_metrics(metrics) {}

HttpResponse ControlHttp::Handle(const HttpRequest& request) {
  const std::size_t question_mark = request.m_path.find('?');
  const std::string path = request.m_path.substr(0, question_mark);
  const std::string query = question_mark == std::string::npos ? "" : request.m_path.substr(question_mark + 1);
  constexpr std::string_view kTickets = "/v1/tickets";
  if (path == kTickets && request.m_method == "POST") return PostTicket(request);
  if (request.m_method != "GET") return ErrorResponse(405, MakeError(ErrorCode::kRequestMalformed, "method"));
  if (path.starts_with("/v1/tickets/")) return GetTicket(path.substr(kTickets.size() + 1));
  if (path == "/v1/state") return GetState(ParseQuery(query));
  if (path == "/v1/delta") return GetSignedDelta(request, query);
  if (path == "/v1/hosts") return GetHosts();
  if (path == "/v1/health") return GetHealth();
  if (path == "/metrics") return GetMetrics();
  return ErrorResponse(404, MakeError(ErrorCode::kRequestMalformed, "unknown path " + path));
}

const config::ControlPeer* ControlHttp::FindPeer(HostId host) const {
  for (const config::ControlPeer& peer : m_settings.m_control_hosts) {
    if (peer.m_host == host) return &peer;
  }
  return nullptr;
}

HttpResponse ControlHttp::PostTicket(const HttpRequest& request) {
  const auto start = steady_clock::now();
  const auto refuse = [this](const Error& error) {
    m_metrics->CountTicket(error.m_code);
    return ErrorResponse(HttpStatusOf(error.m_code), error);
  };
  const std::string_view signature = FindHeader(request.m_headers, kTicketSignatureHeader).value_or("");
  if (!m_operator_key.Verify(request.m_body, signature)) {
    return refuse(MakeError(ErrorCode::kTicketBadSignature, "sign the body with the operator key"));
  }
  const Result<Ticket> ticket = ParseTicket(request.m_body);
  if (!IsOk(ticket)) return refuse(ErrorOf(ticket));
  const TicketAnswer answer = m_backend->Submit(ValueOf(ticket));
  m_metrics->CountTicket(answer.m_code);
  m_metrics->ObserveTicketSeconds(std::chrono::duration<double>(steady_clock::now() - start).count());
  ordered_json json = AnswerToJson(answer);
  if (answer.m_code == ErrorCode::kTicketNotLeader) AddLeader(&json);
  HttpResponse response = JsonResponse(HttpStatusOf(answer.m_code), json);
  SetHeader(&response.m_headers, "Fighatch-Code", std::to_string(static_cast<int>(answer.m_code)));
  return response;
}

HttpResponse ControlHttp::GetTicket(const std::string& number_text) {
  TicketNumber number;
  if (!ParseNumber(number_text, &number.m_value)) {
    return ErrorResponse(400, MakeError(ErrorCode::kRequestMalformed, "invalid ticket number " + number_text));
  }
  const AcceptedTicket* accepted = m_backend->Processor().FindAccepted(number);
  ordered_json json{{"number", number.m_value}, {"accepted", accepted != nullptr}};
  // Only a leader with a lease can rule out that a ticket unknown to it was accepted elsewhere.
  json["confirmed"] = accepted != nullptr || m_backend->CanServeLinearizableReads();
  if (accepted != nullptr) {
    json["digest"] = DigestToHex(accepted->m_digest);
    json["author"] = accepted->m_author;
    json["epoch"] = accepted->m_version.m_epoch;
    json["generation"] = accepted->m_version.m_generation;
    json["in_force"] = ordered_json::array();
    json["not_in_force"] = ordered_json::array();
    for (const auto& [host, report] : m_balancer_reports) {
      const bool in_force = report.m_version_in_force >= accepted->m_version;
      json[in_force ? "in_force" : "not_in_force"].push_back(
          {{"host", host.m_value}, {"age_ms", AgeMs(report.m_received)}});
    }
  }
  return JsonResponse(accepted == nullptr ? 404 : 200, json);
}

void ControlHttp::AddLeader(nlohmann::ordered_json* json) const {
  const config::ControlPeer* leader = FindPeer(m_backend->GetStatus().m_leader);
  if (leader != nullptr) (*json)["leader"] = ToString(leader->m_http_endpoint);
}

HttpResponse ControlHttp::GetState(const Parameters& parameters) const {
  const auto confirmed = parameters.find("confirmed");
  const bool must_confirm = confirmed != parameters.end() && confirmed->second == "1";
  if (!must_confirm || m_backend->CanServeLinearizableReads()) {
    return JsonResponse(200, StateToJson(m_backend->Processor().State()));
  }
  ordered_json json{{"code", static_cast<int>(ErrorCode::kTicketNotLeader)},
                    {"error", ErrorName(ErrorCode::kTicketNotLeader)},
                    {"detail", "this host cannot confirm that its state is the newest"}};
  AddLeader(&json);
  return JsonResponse(503, json);
}

void ControlHttp::RecordBalancerReport(HostId host, Version version_in_force) {
  const auto now = steady_clock::now();
  if (m_balancer_reports.size() >= kMaxBalancerReports && !m_balancer_reports.contains(host)) {
    std::erase_if(m_balancer_reports,
                  [now](const auto& entry) { return now - entry.second.m_received > kBalancerReportRetention; });
    if (m_balancer_reports.size() >= kMaxBalancerReports) return;
  }
  m_balancer_reports[host] = {version_in_force, now};
}

HttpResponse ControlHttp::GetSignedDelta(const HttpRequest& request, const std::string& query) {
  const Status verified =
      m_authenticator.Verify(request.m_path, FindHeader(request.m_headers, kHttpSignatureHeader).value_or(""));
  if (!IsOk(verified)) return ErrorResponse(401, ErrorOf(verified));
  HttpResponse response = GetDelta(ParseQuery(query));
  const Result<std::string> signature =
      m_authenticator.Sign(HttpAuthenticator::SignedResponseText(request.m_path, response.m_body));
  if (!IsOk(signature)) return ErrorResponse(503, ErrorOf(signature));
  SetHeader(&response.m_headers, kHttpSignatureHeader, ValueOf(signature));
  return response;
}

HttpResponse ControlHttp::GetDelta(const Parameters& parameters) {
  Version version;
  std::uint64_t host = 0;
  const auto read_number = [&parameters](const char* name, std::uint64_t* out) {
    const auto found = parameters.find(name);
    return found != parameters.end() && ParseNumber(found->second, out);
  };
  if (!read_number("epoch", &version.m_epoch) || !read_number("generation", &version.m_generation) ||
      !read_number("host", &host)) {
    return ErrorResponse(400, MakeError(ErrorCode::kRequestMalformed, "epoch, generation and host are required"));
  }
  RecordBalancerReport(HostId{static_cast<std::uint32_t>(host)}, version);
  const auto deadline = steady_clock::now() + kLongPollTimeout;
  std::optional<StateDelta> delta = m_backend->Processor().DeltaSince(version);
  while (!delta && !m_stopping && steady_clock::now() < deadline) {
    m_backend->WaitForNewer(version, std::min(deadline, steady_clock::now() + kStopCheckInterval));
    delta = m_backend->Processor().DeltaSince(version);
  }
  HttpResponse response{200, {{"Content-Type", "application/octet-stream"}}, ""};
  if (delta) {
    const std::vector<std::byte> bytes = EncodeDelta(*delta);
    response.m_body.assign(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }
  m_metrics->CountDelta(delta && delta->m_snapshot, response.m_body.size());
  return response;
}

HttpResponse ControlHttp::GetHosts() const {
  ordered_json json{{"balancers", ordered_json::array()}, {"control_hosts", ordered_json::array()}};
  for (const auto& [host, report] : m_balancer_reports) {
    json["balancers"].push_back({{"host", host.m_value},
                                 {"epoch", report.m_version_in_force.m_epoch},
                                 {"generation", report.m_version_in_force.m_generation},
                                 {"age_ms", AgeMs(report.m_received)}});
  }
  const ReplicaStatus status = m_backend->GetStatus();
  for (const ReplicaMember& member : status.m_members) {
    json["control_hosts"].push_back({{"host", member.m_host.m_value},
                                     {"disk", member.m_disk},
                                     {"voter", member.m_voter},
                                     {"leader", member.m_host == status.m_leader}});
  }
  return JsonResponse(200, json);
}

HttpResponse ControlHttp::GetHealth() const {
  const ReplicaStatus status = m_backend->GetStatus();
  const Version version = m_backend->Processor().State().m_version;
  return JsonResponse(200, {{"host", m_settings.m_host.m_value},
                            {"data_centre", m_settings.m_data_centre},
                            {"role", status.m_role},
                            {"leader", status.m_leader.m_value},
                            {"term", status.m_term},
                            {"commit", status.m_commit_index},
                            {"applied", status.m_applied_index},
                            {"last", status.m_last_index},
                            {"epoch", version.m_epoch},
                            {"generation", version.m_generation}});
}

HttpResponse ControlHttp::GetMetrics() const {
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          m_metrics->Serialize(m_backend->GetStatus(), m_balancer_reports.size())};
}

}  // namespace fighatch::daemon
