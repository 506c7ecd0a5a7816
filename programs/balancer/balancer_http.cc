// The HTTP interface and the metrics of a balancer.

#include <map>
#include <nlohmann/json.hpp>

#include "balancer.h"
#include "daemon/http_query.h"

namespace fighatch::balancer {
namespace {

using nlohmann::json;

HttpResponse JsonResponse(const json& body) {
  return {200, {{"Content-Type", "application/json"}}, body.dump(1) + "\n"};
}

const char* DecisionKindName(DecisionKind kind) {
  static constexpr const char* kNames[] = {"drop", "target", "balancer", "reset", "request"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

HttpResponse Balancer::HandleHttp(const HttpRequest& request) {
  const std::size_t query_start = request.m_path.find('?');
  const std::string path = request.m_path.substr(0, query_start);
  const std::string query = query_start == std::string::npos ? "" : request.m_path.substr(query_start + 1);
  if (request.m_method == "POST" && path == "/v1/announce") return Announce(request);
  if (request.m_method != "GET") return {405, {}, "method not allowed\n"};
  if (path == "/v1/health") return Health();
  if (path == "/v1/members") return ListMembers();
  if (path == "/v1/explain") return Explain(query);
  if (path == "/metrics") return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.Render()};
  return {404, {}, "not found\n"};
}

HttpResponse Balancer::Announce(const HttpRequest& request) {
  if (!m_control) return {503, {}, "no state yet; announce to another balancer\n"};
  const std::string signature(FindHeader(request.m_headers, "Fighatch-Signature").value_or(""));
  const Result<TargetId> target = m_control->OnAnnouncement(request.m_body, signature);
  if (IsOk(target)) return {200, {}, "{}\n"};
  const Error& error = ErrorOf(target);
  const int status = error.m_code == ErrorCode::kAnnouncementForged ? 401 : 400;
  return {status, {{"Fighatch-Code", std::to_string(static_cast<int>(error.m_code))}}, ToString(error) + "\n"};
}

HttpResponse Balancer::Health() const {
  // The fabric sends a balancer no packets while this check fails: before the balancer has a state and tables, while it
  // leaves the cluster, and while it hears no other member.
  const bool isolated = m_control && m_control->IsIsolated();
  const char* state = !m_control              ? "no_state"
                      : m_leaving             ? "leaving"
                      : !m_control->IsReady() ? "starting"
                      : isolated              ? "isolated"
                                              : "ok";
  return {std::string_view(state) == "ok" ? 200 : 503, {}, std::string(state) + "\n"};
}

HttpResponse Balancer::ListMembers() const {
  json members = json::array();
  if (m_control) {
    for (const Member& member : m_control->Members().AllMembers()) {
      members.push_back({{"host", member.m_host.m_value},
                         {"data_centre", member.m_data_centre.m_value},
                         {"state", MemberStateName(member.m_state)},
                         {"keeper_ready", member.m_keeper_ready},
                         {"incarnation", member.m_incarnation.m_value}});
    }
  }
  json tables = json::array();
  if (m_control) {
    for (const OwnerTable& table : m_control->Tables()) {
      tables.push_back({{"service", table.m_service.m_value},
                        {"data_centre", table.m_data_centre.m_value},
                        {"epoch", table.m_version.m_epoch},
                        {"generation", table.m_version.m_generation},
                        {"phase", TransitionPhaseName(table.m_phase)}});
    }
  }
  json targets = json::array();
  if (m_control) {
    for (const TargetRecord* record : m_control->Registry().Live()) {
      targets.push_back({{"id", record->m_fact.m_info.m_id.m_value},
                         {"service", record->m_fact.m_info.m_service.m_value},
                         {"http", ToString(record->m_fact.m_info.m_http_endpoint)},
                         {"state", TargetStateName(record->m_fact.m_info.m_state)},
                         {"healthy", record->m_fact.m_healthy}});
    }
  }
  return JsonResponse({{"host", m_settings.m_host.m_value},
                       {"coordinator", m_control ? m_control->GetCoordinator().Elected().m_value : 0},
                       {"members", members},
                       {"tables", tables},
                       {"targets", targets}});
}

HttpResponse Balancer::Explain(const std::string& query) {
  std::map<std::string, std::string> fields = daemon::ParseQuery(query);
  const Result<Endpoint> source = ParseEndpoint(fields["source"]);
  const Result<Endpoint> destination = ParseEndpoint(fields["destination"]);
  if (!IsOk(source) || !IsOk(destination)) {
    return {400, {}, "usage: /v1/explain?source=IP:PORT&destination=IP:PORT&transport=tcp|udp\n"};
  }
  const Transport transport = fields["transport"] == "udp" ? Transport::kUdp : Transport::kTcp;
  const Decision decision = m_data_plane->Explain({ValueOf(source), ValueOf(destination), transport});
  return JsonResponse({{"host", m_settings.m_host.m_value},
                       {"decision", DecisionKindName(decision.m_kind)},
                       {"code", static_cast<int>(decision.m_code)},
                       {"service", decision.m_service.m_value},
                       {"target", decision.m_target.m_value},
                       {"balancer", decision.m_balancer.m_value},
                       {"endpoint", ToString(decision.m_endpoint)}});
}

void Balancer::AddMetrics() {
  const daemon::PacketCounters& packets = m_data_plane->Counters();
  struct CounterRow {
    const char* m_destination;
    std::atomic<std::uint64_t> daemon::PacketCounters::*m_value;
  };
  static constexpr CounterRow kForwarded[] = {{"target", &daemon::PacketCounters::m_to_targets},
                                              {"balancer", &daemon::PacketCounters::m_to_balancers},
                                              {"request", &daemon::PacketCounters::m_to_requests},
                                              {"reset", &daemon::PacketCounters::m_resets}};
  m_metrics.AddCounter("fighatch_packets_received_total", "Packets received on the data endpoint.", {},
                       [&packets] { return static_cast<double>(packets.m_received.load()); });
  for (const CounterRow& row : kForwarded) {
    m_metrics.AddCounter("fighatch_packets_forwarded_total", "Packets by where they went.", {{"to", row.m_destination}},
                         [&packets, value = row.m_value] { return static_cast<double>((packets.*value).load()); });
  }
  for (std::size_t index = 1; index < daemon::PacketCounters::kCodeCount; ++index) {
    const auto code = static_cast<ErrorCode>(1000 + index);
    if (ErrorName(code) == "unknown") continue;
    m_metrics.AddCounter("fighatch_packets_dropped_total", "Packets dropped by error code.",
                         {{"code", std::to_string(1000 + index)}, {"error", std::string(ErrorName(code))}},
                         [&packets, index] { return static_cast<double>(packets.m_dropped[index].load()); });
  }
  m_metrics.AddGauge("fighatch_flow_records", "Flow records held.", {},
                     [this] { return static_cast<double>(m_data_plane->RecordCount()); });
  m_metrics.AddGauge("fighatch_state_generation", "Generation of the state in force.", {}, [this] {
    return m_follower ? static_cast<double>(m_follower->State().m_version.m_generation) : 0.0;
  });
  m_metrics.AddGauge("fighatch_requests_in_progress", "Requests in progress on this balancer.", {},
                     [this] { return m_requests ? static_cast<double>(m_requests->Engine().CallsInProgress()) : 0.0; });
  struct RequestRow {
    const char* m_name;
    const char* m_help;
    std::uint64_t RequestStatistics::*m_value;
  };
  static constexpr RequestRow kRequests[] = {
      {"fighatch_requests_total", "Requests taken.", &RequestStatistics::m_requests},
      {"fighatch_request_dispatches_total", "Requests sent to targets.", &RequestStatistics::m_dispatches},
      {"fighatch_request_retries_total", "Requests sent to a second target.", &RequestStatistics::m_retries},
      {"fighatch_requests_answered_total", "Requests answered by a target.", &RequestStatistics::m_answered},
      {"fighatch_requests_not_run_total", "Requests refused as not run.", &RequestStatistics::m_not_run},
      {"fighatch_requests_unknown_total", "Requests with an unknown outcome.", &RequestStatistics::m_unknown},
  };
  for (const RequestRow& row : kRequests) {
    m_metrics.AddCounter(row.m_name, row.m_help, {}, [this, value = row.m_value] {
      return m_requests ? static_cast<double>(m_requests->Engine().Statistics().*value) : 0.0;
    });
  }
  m_metrics.AddCounter("fighatch_control_bytes_total", "Bytes of control messages.", {{"direction", "sent"}},
                       [this] { return static_cast<double>(m_links->Counters().m_sent_bytes); });
  m_metrics.AddCounter("fighatch_control_bytes_total", "Bytes of control messages.", {{"direction", "received"}},
                       [this] { return static_cast<double>(m_links->Counters().m_received_bytes); });
}

}  // namespace fighatch::balancer
