#include "config/control_settings.h"

#include <algorithm>
#include <limits>

#include "config/json_reader.h"
#include "config/key_settings.h"

namespace fighatch::config {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxHostId = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t kMaxControlHosts = 35;

void ReadPeer(ObjectReader& reader, ControlPeer* out) {
  reader.Unsigned("host", 1, kMaxHostId, &out->m_host.m_value);
  reader.EndpointField("messages", &out->m_message_endpoint);
  reader.EndpointField("http", &out->m_http_endpoint);
}

bool HasDuplicateHost(const std::vector<ControlPeer>& peers) {
  for (std::size_t index = 0; index < peers.size(); ++index) {
    for (std::size_t other = 0; other < index; ++other) {
      if (peers[index].m_host == peers[other].m_host) return true;
    }
  }
  return false;
}

void CheckSettings(ObjectReader& reader, const ControlSettings& settings) {
  const auto& peers = settings.m_control_hosts;
  const bool has_self =
      std::any_of(peers.begin(), peers.end(), [&](const ControlPeer& peer) { return peer.m_host == settings.m_host; });
  if (!has_self) reader.Fail(ErrorCode::kSettingsOutOfRange, "control_hosts", "does not list this host");
  if (HasDuplicateHost(peers)) reader.Fail(ErrorCode::kSettingsOutOfRange, "control_hosts", "lists a host twice");
  if (peers.size() > kMaxControlHosts) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "control_hosts", "more than 35 hosts");
  }
  if (settings.m_election_timeout < 3 * settings.m_heartbeat) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "election_timeout_ms", "less than three times heartbeat_ms");
  }
}

}  // namespace

const ControlPeer& ControlSettings::Self() const {
  return *std::find_if(m_control_hosts.begin(), m_control_hosts.end(),
                       [this](const ControlPeer& peer) { return peer.m_host == m_host; });
}

Result<ControlSettings> ParseControlSettings(std::string_view text) {
  const Result<nlohmann::json> json = ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  ControlSettings settings;
  ObjectReader reader(ValueOf(json), "");
  reader.Unsigned("host", 1, kMaxHostId, &settings.m_host.m_value);
  reader.Text("data_centre", &settings.m_data_centre);
  reader.Text("data_folder", &settings.m_data_folder);
  reader.Text("operator_key_file", &settings.m_operator_key_file);
  ReadKeyFiles(reader, "cluster_keys", KeyKind::kCluster, &settings.m_cluster_keys);
  reader.OptionalObjects("control_hosts",
                         [&](ObjectReader& item) { ReadPeer(item, &settings.m_control_hosts.emplace_back()); });
  reader.OptionalMilliseconds("heartbeat_ms", milliseconds(10), milliseconds(10000), &settings.m_heartbeat);
  reader.OptionalMilliseconds("election_timeout_ms", milliseconds(50), milliseconds(60000),
                              &settings.m_election_timeout);
  reader.OptionalUnsigned("snapshot_entries", 16, 1000000, &settings.m_snapshot_entries);
  reader.OptionalMilliseconds("ticket_timeout_ms", milliseconds(100), milliseconds(60000), &settings.m_ticket_timeout);
  CheckSettings(reader, settings);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::config
