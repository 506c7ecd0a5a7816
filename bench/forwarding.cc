// Packets per second, CPU time and p99 latency of the data plane over loopback, compared with a bare batched forwarder
// on sockets with the same options in the same run.
#include <cstring>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/data_plane.h"
#include "fighatch/inner_packet.h"
#include "flow_fixture.h"
#include "forwarding_harness.h"

namespace fighatch::bench {
namespace {

constexpr double kMaxTimesBareRate = 2;
constexpr double kMaxTimesBareP99 = 2;

std::vector<std::byte> MakeDatagram(std::uint32_t flow) {
  const Packet packet = PacketOf(flow, PacketKind::kLater);
  const std::vector<std::byte> payload(kPayloadBytes);
  const auto inner = BuildTcpPacket(packet.m_key.m_source, packet.m_key.m_destination, {0, 1, kTcpAck}, payload);
  std::vector<std::byte> datagram(kGuePlainBytes + inner.size());
  EncodeGue({kGueProtocolIpv4}, datagram);
  std::copy(inner.begin(), inner.end(), datagram.begin() + kGuePlainBytes);
  return datagram;
}

Traffic MakeTraffic() {
  Traffic traffic{{}, kGuePlainBytes + 20 + 4, kGuePlainBytes + 40, kGuePlainBytes + 40};
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) traffic.m_datagrams.push_back(MakeDatagram(flow));
  return traffic;
}

/// The data plane with the owner table of one service, without a transition.
class DataPlaneForwarder {
 public:
  explicit DataPlaneForwarder(std::uint16_t port) {
    daemon::DataPlaneOptions options;
    options.m_host = HostId{1};
    options.m_listen = ValueOf(ParseEndpoint("127.0.0.1:0"));
    auto plane = daemon::DataPlane::Create(options, [](const daemon::RequestDatagram&) {});
    if (!IsOk(plane)) throw std::runtime_error(ToString(ErrorOf(plane)));
    m_plane = std::move(ValueOf(plane));
    FlowFixture fixture(1, kTargets, 1);
    for (std::uint32_t index = 0; index < kTargets; ++index) {
      fixture.m_targets[index].m_gue_endpoint = TargetAt(index, port);
    }
    fixture.m_members[0].m_data_endpoint = m_plane->Local();
    m_plane->SetTable(fixture.Build(1), {m_plane->Local()});
  }
  [[nodiscard]] Endpoint Local() const { return m_plane->Local(); }
  [[nodiscard]] std::uint64_t Forwarded() const { return m_plane->Counters().m_to_targets; }
  void RefreshContact() {
    const TimePoint now = daemon::DataPlane::Now();
    m_plane->SetContact({now, now, HostId{}});
    static_cast<void>(m_plane->Tick());
  }
  void Start() { m_plane->Start(); }
  void Stop() { m_plane->Stop(); }

 private:
  std::unique_ptr<daemon::DataPlane> m_plane;
};

bool Measure(const Traffic& traffic, int rounds, milliseconds duration) {
  const Rounds unpaced = RunAlternating<DataPlaneForwarder>(traffic, 0, rounds, duration);
  bool pass = ReportRatio("forwarding.packets_per_second", unpaced, &RunResult::m_packets_per_second, "1/s",
                          kMaxTimesBareRate, true);
  pass &= ReportRatio("forwarding.cpu_per_packet", unpaced, &RunResult::m_cpu_us_per_packet, "us", kMaxTimesBareRate,
                      false);
  const double sustained_rate = std::min(Median(unpaced.m_bare, &RunResult::m_packets_per_second),
                                         Median(unpaced.m_plane, &RunResult::m_packets_per_second));
  const Rounds paced = RunAlternating<DataPlaneForwarder>(traffic, sustained_rate / 4, rounds, duration);
  Report("forwarding.paced_rate", sustained_rate / 4, "1/s");
  Report("forwarding.paced_lost_share", Median(paced.m_plane, &RunResult::m_lost_share), "share", std::nullopt,
         Median(paced.m_bare, &RunResult::m_lost_share));
  // A delay of 1 ms in one thread of the benchmark is enough to determine the p99 of a round, so the lowest round is
  // used to compare the forwarders.
  return ReportRatio("forwarding.p99", paced, &RunResult::m_p99_us, "us", kMaxTimesBareP99, false, Lowest) && pass;
}

/// Reports the throughput and CPU time of the data plane at three packet rates, to show how the CPU time grows with the
/// rate.
void MeasureSlope(const Traffic& traffic, int rounds, milliseconds duration) {
  for (const int rate : {5'000, 20'000, 80'000}) {
    std::vector<RunResult> results;
    for (int round = 0; round < rounds; ++round) results.push_back(Run<DataPlaneForwarder>(traffic, rate, duration));
    const std::string suffix = ".rate_" + std::to_string(rate);
    Report("forwarding.carried" + suffix, Median(results, &RunResult::m_packets_per_second), "1/s");
    Report("forwarding.cpu_share" + suffix, Median(results, &RunResult::m_cpu_share), "of a core");
  }
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  const int rounds = quick ? 3 : 7;
  const std::chrono::milliseconds duration(quick ? 400 : 1000);
  const fighatch::bench::Traffic traffic = fighatch::bench::MakeTraffic();
  const bool pass = fighatch::bench::Measure(traffic, rounds, duration);
  fighatch::bench::MeasureSlope(traffic, quick ? 1 : 3, duration);
  return pass ? 0 : 1;
}
