#include "config/discovery_settings.h"

#include "config/json_reader.h"
#include "fighatch/host_address.h"

namespace fighatch::config {
namespace {

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxLogLinesPerSecond = 100000;

void ReadIpv4Address(ObjectReader& reader, std::string_view field, IpAddress* out) {
  std::string text;
  reader.Text(field, &text);
  const Result<IpAddress> address = ParseIpAddress(text);
  if (!IsOk(address) || !ValueOf(address).IsV4()) {
    reader.Fail(ErrorCode::kSettingsWrongType, field, "not an IPv4 address");
    return;
  }
  *out = ValueOf(address);
}

}  // namespace

void ReadDiscoverySettings(ObjectReader& reader, DiscoverySettings* out) {
  ReadIpv4Address(reader, "address", &out->m_address);
  reader.Text("data_centre", &out->m_data_centre);
  reader.OptionalEndpointList("seeds", &out->m_seeds);
  reader.Unsigned("control_message_port", 1, kMaxPort, &out->m_control_message_port);
  reader.Unsigned("balancer_message_port", 1, kMaxPort, &out->m_balancer_message_port);
  reader.OptionalUnsigned("metrics_port", 0, kMaxPort, &out->m_metrics_port);
  reader.OptionalUnsigned("log_lines_per_second", 1, kMaxLogLinesPerSecond, &out->m_log_lines_per_second);
  reader.OptionalBool("unsealed_messages", &out->m_unsealed_messages);
  if (!out->m_unsealed_messages) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "unsealed_messages",
                "messages between hosts are neither encrypted nor authenticated; set it to true to confirm");
  }
  if (out->m_control_message_port == out->m_balancer_message_port) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "balancer_message_port", "must differ from control_message_port");
  }
}

HostId DiscoverySettings::Self() const noexcept { return HostIdOf(m_address); }

std::set<HostId> DiscoverySettings::SeedHosts() const {
  std::set<HostId> hosts;
  for (const Endpoint& seed : m_seeds) hosts.insert(HostIdOf(seed.m_address));
  return hosts;
}

}  // namespace fighatch::config
