#include "load_settings.h"

#include "config/json_reader.h"

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{3'600'000};
constexpr double kMaxRate = 1'000'000;

void ReadFlow(config::ObjectReader& reader, FlowWorkload* out) {
  reader.Text("service", &out->m_service);
  reader.EndpointField("address", &out->m_address);
  std::string transport = "tcp";
  reader.OptionalText("transport", &transport);
  if (transport != "tcp" && transport != "udp") {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "transport", "neither tcp nor udp");
  }
  out->m_transport = transport == "udp" ? Transport::kUdp : Transport::kTcp;
  reader.OptionalNumber("rate", 0, kMaxRate, &out->m_rate);
  reader.OptionalMilliseconds("hold_ms", milliseconds(1), kMaxDuration, &out->m_flow_duration);
  reader.OptionalMilliseconds("segment_interval_ms", milliseconds(1), kMaxDuration, &out->m_segment_interval);
}

void ReadRequest(config::ObjectReader& reader, RequestWorkload* out) {
  reader.Text("service", &out->m_service);
  reader.EndpointField("address", &out->m_address);
  reader.OptionalNumber("rate", 0, kMaxRate, &out->m_rate);
  reader.OptionalNumber("post_share", 0, 1, &out->m_post_share);
  reader.OptionalMilliseconds("deadline_ms", milliseconds(1), milliseconds(10000), &out->m_deadline);
  reader.OptionalMilliseconds("resend_ms", milliseconds(1), kMaxDuration, &out->m_resend_timeout);
}

}  // namespace

Result<LoadSettings> ParseLoadSettings(std::string_view text) {
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  LoadSettings settings;
  config::ObjectReader reader(ValueOf(json), "");
  reader.EndpointField("local", &settings.m_local);
  reader.EndpointField("fabric", &settings.m_fabric);
  std::string base;
  reader.Text("caller_base", &base);
  const Result<IpAddress> address = ParseIpAddress(base);
  if (IsOk(address)) {
    settings.m_caller_base = ValueOf(address);
  } else {
    reader.Fail(ErrorCode::kSettingsWrongType, "caller_base", ErrorOf(address).m_detail);
  }
  reader.OptionalMilliseconds("duration_ms", milliseconds(1), kMaxDuration, &settings.m_duration);
  reader.OptionalUnsigned("seed", 0, UINT64_MAX, &settings.m_seed);
  reader.OptionalObjects("flows",
                         [&settings](config::ObjectReader& item) { ReadFlow(item, &settings.m_flows.emplace_back()); });
  reader.OptionalObjects(
      "requests", [&settings](config::ObjectReader& item) { ReadRequest(item, &settings.m_requests.emplace_back()); });
  reader.OptionalText("report_file", &settings.m_report_file);
  reader.OptionalText("plot_file", &settings.m_plot_file);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::load
