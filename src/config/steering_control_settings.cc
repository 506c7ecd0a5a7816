#include "config/steering_control_settings.h"

#include "config/json_reader.h"

namespace fighatch::config {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{600000};
constexpr std::uint64_t kMaxToleratedLostDisks = 4;

}  // namespace

Result<SteeringControlSettings> ParseSteeringControlSettings(std::string_view text) {
  const Result<nlohmann::json> json = ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  SteeringControlSettings settings;
  ObjectReader reader(ValueOf(json), "");
  ReadDiscoverySettings(reader, &settings.m_discovery);
  reader.EndpointField("http", &settings.m_http_endpoint);
  reader.Text("data_folder", &settings.m_data_folder);
  reader.OptionalBool("found_group", &settings.m_found_group);
  reader.OptionalMilliseconds("announcement_period_ms", milliseconds(10), kMaxDuration,
                              &settings.m_announcement_period);
  reader.OptionalMilliseconds("heartbeat_ms", milliseconds(5), kMaxDuration, &settings.m_heartbeat);
  reader.OptionalMilliseconds("election_timeout_ms", milliseconds(20), kMaxDuration, &settings.m_election_timeout);
  reader.OptionalMilliseconds("order_timeout_ms", milliseconds(50), kMaxDuration, &settings.m_command_timeout);
  reader.OptionalMilliseconds("replace_silent_after_ms", milliseconds(100), kMaxDuration,
                              &settings.m_replace_silent_after);
  reader.OptionalUnsigned("tolerated_lost_disks", 0, kMaxToleratedLostDisks, &settings.m_tolerated_lost_disks);
  if (settings.m_election_timeout < 3 * settings.m_heartbeat) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "election_timeout_ms", "less than three times heartbeat_ms");
  }
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::config
