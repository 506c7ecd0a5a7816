#include "fabric.h"

#include <glog/logging.h>

#include <algorithm>

#include "fighatch/gue.h"
#include "fighatch/inner_packet.h"

namespace fighatch::fabric {
namespace {

constexpr std::size_t kBatchSize = 64;

}  // namespace

Fabric::Fabric(const FabricSettings& settings, io::UdpSocket socket)
    : m_settings(settings),
      m_socket(std::move(socket)),
      m_random(settings.m_seed),
      m_active_balancers(settings.m_balancers) {}

Result<Fabric> Fabric::Create(const FabricSettings& settings) {
  io::UdpOptions options;
  options.m_batch = kBatchSize;
  options.m_datagram_bytes = 20000;
  Result<io::UdpSocket> socket = io::UdpSocket::Bind(settings.m_listen, options);
  if (!IsOk(socket)) return ErrorOf(socket);
  return Fabric(settings, std::move(ValueOf(socket)));
}

void Fabric::ForwardBatch(io::Deadline deadline) {
  const auto received = m_socket.Receive(deadline);
  m_batch.clear();
  for (const io::IncomingDatagram& datagram : received) Route(datagram.m_bytes);
  m_socket.Send(m_batch);
}

void Fabric::Route(std::span<const std::byte> datagram) {
  const Result<GuePacket> outer = DecodeGue(datagram);
  if (!IsOk(outer)) {
    ++m_counters.m_malformed;
    return;
  }
  const Result<InnerPacket> inner = ParseInnerPacket(ValueOf(outer).m_inner);
  if (!IsOk(inner)) {
    // Forward inner packets that do not parse, so that the balancers are exposed to malformed input, which they must
    // survive.
    RouteToBalancer(datagram);
    return;
  }
  const CallerRoute* caller = FindCaller(ValueOf(inner).m_key.m_destination.m_address);
  if (caller == nullptr) {
    RouteToBalancer(datagram);
    return;
  }
  ++m_counters.m_to_callers;
  m_batch.push_back({caller->m_endpoint, datagram});
}

void Fabric::RouteToBalancer(std::span<const std::byte> datagram) {
  if (m_active_balancers.empty()) {
    ++m_counters.m_no_balancer;
    return;
  }
  if (m_random.NextDouble() < m_settings.m_loss) {
    ++m_counters.m_lost;
    return;
  }
  ++m_counters.m_to_balancers;
  m_batch.push_back({m_active_balancers[m_random.Below(m_active_balancers.size())], datagram});
  if (m_random.NextDouble() < m_settings.m_duplication) {
    ++m_counters.m_duplicated;
    m_batch.push_back({m_active_balancers[m_random.Below(m_active_balancers.size())], datagram});
  }
}

const CallerRoute* Fabric::FindCaller(const IpAddress& address) const {
  const auto found = std::find_if(m_settings.m_callers.begin(), m_settings.m_callers.end(),
                                  [&address](const CallerRoute& route) { return route.m_prefix.Contains(address); });
  return found == m_settings.m_callers.end() ? nullptr : &*found;
}

HttpResponse Fabric::HandleHttp(const HttpRequest& request) {
  if (request.m_method == "GET" && request.m_path == "/v1/health") return {200, {}, "ok\n"};
  if (request.m_method == "GET" && request.m_path == "/metrics") {
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, MetricsText()};
  }
  if (request.m_method == "POST" && request.m_path.starts_with("/v1/balancers/"))
    return SetBalancerState(request.m_path);
  return {404, {}, "not found\n"};
}

HttpResponse Fabric::SetBalancerState(const std::string& path) {
  const std::string rest = path.substr(std::string("/v1/balancers/").size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) return {404, {}, "not found\n"};
  const Result<Endpoint> endpoint = ParseEndpoint(rest.substr(0, slash));
  if (!IsOk(endpoint)) return {400, {}, ToString(ErrorOf(endpoint)) + "\n"};
  const bool up = rest.substr(slash + 1) == "up";
  std::erase(m_active_balancers, ValueOf(endpoint));
  if (up) m_active_balancers.push_back(ValueOf(endpoint));
  LOG(INFO) << "event=balancer_set endpoint=" << ToString(ValueOf(endpoint)) << " up=" << up
            << " balancers=" << m_active_balancers.size();
  return {200, {}, "ok\n"};
}

std::string Fabric::MetricsText() const {
  struct Row {
    const char* m_name;
    std::uint64_t FabricCounters::*m_value;
  };
  static constexpr Row kRows[] = {
      {"fighatch_fabric_to_balancers_total", &FabricCounters::m_to_balancers},
      {"fighatch_fabric_to_callers_total", &FabricCounters::m_to_callers},
      {"fighatch_fabric_lost_total", &FabricCounters::m_lost},
      {"fighatch_fabric_duplicated_total", &FabricCounters::m_duplicated},
      {"fighatch_fabric_malformed_total", &FabricCounters::m_malformed},
      {"fighatch_fabric_no_balancer_total", &FabricCounters::m_no_balancer},
  };
  std::string text;
  for (const Row& row : kRows) {
    text.append("# TYPE ").append(row.m_name).append(" counter\n");
    text.append(row.m_name).append(" ").append(std::to_string(m_counters.*row.m_value)).append("\n");
  }
  return text;
}

}  // namespace fighatch::fabric
