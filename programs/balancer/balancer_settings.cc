#include "balancer_settings.h"

#include "config/json_reader.h"
#include "config/key_settings.h"

namespace fighatch::balancer {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxThreads = 64;
constexpr std::uint32_t kMaxShards = 256;
constexpr std::uint32_t kMaxRecords = 1 << 26;

}  // namespace

Result<BalancerSettings> ParseBalancerSettings(std::string_view text) {
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  BalancerSettings settings;
  config::ObjectReader reader(ValueOf(json), "");
  reader.Unsigned("host", 1, UINT32_MAX, &settings.m_host.m_value);
  reader.Text("data_centre", &settings.m_data_centre);
  reader.EndpointField("control_endpoint", &settings.m_control_endpoint);
  reader.EndpointField("data_endpoint", &settings.m_data_endpoint);
  reader.EndpointField("http_endpoint", &settings.m_http_endpoint);
  reader.EndpointField("fabric_endpoint", &settings.m_fabric_endpoint);
  reader.OptionalEndpointList("control_hosts", &settings.m_control_hosts);
  reader.OptionalEndpointList("seeds", &settings.m_seeds);
  config::ReadKeyFiles(reader, "cluster_keys", KeyKind::kCluster, &settings.m_keys);
  config::ReadKeyFiles(reader, "target_keys", KeyKind::kTarget, &settings.m_keys);
  reader.OptionalText("data_folder", &settings.m_data_folder);
  reader.OptionalUnsigned("receive_threads", 1, kMaxThreads, &settings.m_receive_threads);
  reader.OptionalUnsigned("flow_shards", 1, kMaxShards, &settings.m_flow_shards);
  reader.OptionalUnsigned("flow_records", 1024, kMaxRecords, &settings.m_flow_records);
  reader.OptionalText("trace_file", &settings.m_trace_file);
  reader.OptionalMilliseconds("stop_timeout_ms", milliseconds(0), milliseconds(3'600'000), &settings.m_stop_timeout);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::balancer
