#include "target_settings.h"

#include "config/json_reader.h"

namespace fighatch::target {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{3'600'000};
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 10'000'000;
constexpr double kMaxColdFactor = 1000;

}  // namespace

Result<TargetSettings> ParseTargetSettings(std::string_view text) {
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  TargetSettings settings;
  config::ObjectReader reader(ValueOf(json), "");
  reader.Text("service", &settings.m_service);
  reader.Text("data_centre", &settings.m_data_centre);
  reader.EndpointField("gue", &settings.m_gue);
  reader.EndpointField("http", &settings.m_http);
  reader.EndpointField("fabric", &settings.m_fabric);
  reader.OptionalEndpointList("service_addresses", &settings.m_service_addresses);
  reader.OptionalEndpointList("announce_to", &settings.m_announce_to);
  reader.Text("key_file", &settings.m_key_file);
  reader.OptionalUnsigned("incarnation", 1, UINT64_MAX, &settings.m_incarnation);
  reader.OptionalUnsigned("slots", 1, kMaxSlots, &settings.m_slots);
  reader.OptionalUnsigned("connections", 1, kMaxConnections, &settings.m_connections);
  reader.OptionalMilliseconds("service_time_ms", milliseconds(0), kMaxDuration, &settings.m_service_time);
  reader.OptionalMilliseconds("warm_up_ms", milliseconds(0), kMaxDuration, &settings.m_warm_up);
  reader.OptionalNumber("cold_factor", 1, kMaxColdFactor, &settings.m_cold_factor);
  reader.OptionalMilliseconds("announce_interval_ms", milliseconds(10), kMaxDuration, &settings.m_announce_interval);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::target
