#include "target.h"

#include <glog/logging.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cstring>
#include <nlohmann/json.hpp>

#include "config/json_reader.h"
#include "fighatch/key_ring.h"
#include "io/http_client.h"

namespace fighatch::target {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStopCheckInterval{100};
constexpr milliseconds kAnnounceTimeout{400};
// Within this time balancers learn that the target is draining and stop sending new work.
constexpr milliseconds kDrainDuration{3000};

Result<TargetKey> ReadTargetKey(const std::string& path) {
  const Result<std::string> text = config::ReadTextFile(path);
  if (!IsOk(text)) return MakeError(ErrorCode::kKeyUnreadable, path);
  const Result<KeyBytes> bytes = KeyRing::ParseKey(ValueOf(text));
  if (!IsOk(bytes)) return ErrorOf(bytes);
  TargetKey key{};
  std::memcpy(key.data(), ValueOf(bytes).data(), key.size());
  return key;
}

}  // namespace

Target::Target(const TargetSettings& settings, const TargetKey& key, FlowServer flows)
    : m_settings(settings), m_key(key), m_flows(std::move(flows)), m_records(settings) {}

Result<std::unique_ptr<Target>> Target::Create(const TargetSettings& settings) {
  const Result<TargetKey> key = ReadTargetKey(settings.m_key_file);
  if (!IsOk(key)) return ErrorOf(key);
  Result<FlowServer> flows = FlowServer::Create(settings);
  if (!IsOk(flows)) return ErrorOf(flows);
  std::unique_ptr<Target> target(new Target(settings, ValueOf(key), std::move(ValueOf(flows))));
  Target* raw = target.get();
  auto server = io::HttpServer::Create(
      settings.m_http, [raw](const HttpRequest& request, const io::HttpArrival&) { return raw->HandleHttp(request); });
  if (!IsOk(server)) return ErrorOf(server);
  target->m_server = std::move(ValueOf(server));
  return target;
}

void Target::Run(daemon::StopSignal* stop) {
  boost::fibers::fiber http([this] { m_server->Serve(); });
  boost::fibers::fiber flows([this] {
    while (!m_stopping) m_flows.ServeBatch(steady_clock::now() + kStopCheckInterval);
  });
  boost::fibers::fiber announcer([this] { AnnounceLoop(); });
  while (!stop->Wait(io::kNoDeadline)) {
  }
  LOG(INFO) << "event=draining";
  m_state = TargetState::kDraining;
  Announce();
  boost::this_fiber::sleep_for(kDrainDuration);
  m_state = TargetState::kStopped;
  Announce();
  m_stopping = true;
  m_server->Stop();
  announcer.join();
  flows.join();
  http.join();
}

void Target::AnnounceLoop() {
  while (!m_stopping) {
    Announce();
    boost::this_fiber::sleep_for(m_settings.m_announce_interval);
  }
}

void Target::Announce() {
  if (m_announcements_paused || m_settings.m_announce_to.empty()) return;
  Announcement announcement;
  announcement.m_service = m_settings.m_service;
  announcement.m_data_centre = m_settings.m_data_centre;
  announcement.m_gue_endpoint = m_settings.m_gue;
  announcement.m_http_endpoint = m_settings.m_http;
  announcement.m_slots = m_settings.m_slots;
  announcement.m_connections = m_settings.m_connections;
  announcement.m_incarnation = Incarnation{m_settings.m_incarnation};
  announcement.m_state = m_state;
  announcement.m_requests_in_progress = m_records.InProgress();
  announcement.m_open_connections = static_cast<std::uint32_t>(m_flows.OpenConnections());
  announcement.m_uptime_ms = UptimeMs();
  announcement.m_sequence = ++m_sequence;
  HttpRequest request{"POST", "/v1/announce", {{"Content-Type", "application/json"}}, ToJson(announcement)};
  SetHeader(&request.m_headers, "Fighatch-Signature", SignAnnouncement(request.m_body, m_key));
  for (std::size_t attempts = 0; attempts < m_settings.m_announce_to.size(); ++attempts) {
    const Endpoint& balancer = m_settings.m_announce_to[m_announce_index % m_settings.m_announce_to.size()];
    const auto response = io::HttpExchange(balancer, request, steady_clock::now() + kAnnounceTimeout);
    if (IsOk(response) && ValueOf(response).m_status < 300) return;
    LOG_EVERY_N(WARNING, 20) << "event=announce_failed balancer=" << ToString(balancer) << " "
                             << (IsOk(response) ? ValueOf(response).m_body : ToString(ErrorOf(response)));
    ++m_announce_index;
  }
}

std::uint64_t Target::UptimeMs() const {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_started).count());
}

HttpResponse Target::HandleHttp(const HttpRequest& request) {
  if (request.m_path == "/health") return {m_state == TargetState::kServing ? 200 : 503, {}, "\n"};
  if (request.m_path == "/load") return {200, {{"Content-Type", "application/json"}}, LoadJson()};
  if (request.m_path == "/v1/stats") return {200, {{"Content-Type", "application/json"}}, StatsJson()};
  if (request.m_path == "/v1/records") {
    return {200, {{"Content-Type", "application/json"}}, nlohmann::json(m_records.Records()).dump()};
  }
  constexpr std::string_view kControl = "/v1/control/";
  if (request.m_method == "POST" && request.m_path.starts_with(kControl)) {
    return HandleControl(request.m_path.substr(kControl.size()));
  }
  return m_records.Handle(request);
}

HttpResponse Target::HandleControl(const std::string& verb) {
  if (verb == "drain") {
    m_state = TargetState::kDraining;
  } else if (verb == "cold") {
    m_records.ResetToCold();
  } else if (verb == "silence") {
    m_announcements_paused = true;
  } else if (verb == "resume") {
    m_announcements_paused = false;
    m_state = TargetState::kServing;
  } else {
    return {404, {}, "unknown control verb\n"};
  }
  LOG(INFO) << "event=control verb=" << verb;
  return {200, {}, "ok\n"};
}

std::string Target::LoadJson() const {
  return nlohmann::json{
      {"in_progress", m_records.InProgress()}, {"connections", m_flows.OpenConnections()}, {"uptime_ms", UptimeMs()}}
      .dump();
}

std::string Target::StatsJson() const {
  const FlowCounters& flows = m_flows.Counters();
  const RecordCounters& records = m_records.Counters();
  const auto idle = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_flows.LastPacket());
  return nlohmann::json{
      {"service", m_settings.m_service},  {"packets", flows.m_packets},
      {"opened", flows.m_opened},         {"closed", flows.m_closed},
      {"resets", flows.m_resets},         {"misdelivered", flows.m_misdelivered},
      {"malformed", flows.m_malformed},   {"ms_since_packet", flows.m_packets == 0 ? -1 : idle.count()},
      {"requests", records.m_requests},   {"sheds", records.m_shed_requests},
      {"records", records.m_records},     {"double_records", records.m_duplicate_records},
      {"overloads", records.m_overloads}, {"peak_in_progress", records.m_peak_in_progress}}
      .dump();
}

}  // namespace fighatch::target
