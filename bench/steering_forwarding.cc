// Packet rate of a balancer that steers by cookies over loopback, compared with a bare batched forwarder in the same
// run; cost of a decision relative to parsing the packet header; and heap growth while the balancer forwards packets of
// flows that other balancers have placed.
#include <malloc.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "forwarding_harness.h"
#include "platform/packet_format.h"
#include "steering_fixture.h"

namespace fighatch::bench {
namespace {

using platform::PacketFormat;
using testing_support::Balancer;
using testing_support::MakeState;
using testing_support::MakeTarget;

// The bounds are the performance targets of the data path: a decision costs no more than parsing the header once more,
// and a balancer forwards at least 0.8 times the packet rate of a bare forwarder.
constexpr double kMaxTimesHeaderRead = 2;
constexpr double kMinShareOfBareRate = 0.8;
constexpr double kMaxGrowthBytes = 65536;
constexpr std::uint32_t kPassingFlows = 300'000;
constexpr int kRounds = 7;

constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kCookieOffset = 12;
constexpr std::size_t kLengthOffset = 28;

/// A packet of an open flow to one of the targets.
std::vector<std::byte> MakeDatagram(std::uint32_t flow) {
  std::vector<std::byte> packet(kHeaderBytes + kPayloadBytes);
  const auto write = [&packet](std::size_t offset, std::uint32_t value, int bytes) {
    for (int index = bytes - 1; index >= 0; --index, value >>= 8U) packet[offset + index] = std::byte(value & 0xFFU);
  };
  write(0, 0x64400000 + flow, 4);
  write(4, testing_support::kPublicAddress.m_port, 2);
  write(6, 40000, 2);
  write(8, testing_support::kPublicAddress.m_address.ToV4(), 4);
  write(kCookieOffset, CookieOf(MakeTarget(flow % kTargets).m_id), 4);
  write(kLengthOffset, kPayloadBytes, 2);
  return packet;
}

Traffic MakeTraffic() {
  constexpr std::size_t kSequenceOffset = 20;
  Traffic traffic{{}, kSequenceOffset, kHeaderBytes, kHeaderBytes + daemon::PacketCodec::kHeadroomBytes};
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) traffic.m_datagrams.push_back(MakeDatagram(flow));
  return traffic;
}

std::unique_ptr<Balancer> MakeBalancer(std::uint16_t port) {
  auto balancer = std::make_unique<Balancer>();
  balancer->ApplyState(MakeState());
  for (std::uint32_t number = 0; number < kTargets; ++number) {
    AnnouncedTarget target = MakeTarget(number);
    target.m_endpoint = TargetAt(number, port);
    balancer->AddTarget(target);
  }
  return balancer;
}

/// The packet path of a balancer: receive, decide, encapsulate with the target's id, send.
class SteeringForwarder {
 public:
  explicit SteeringForwarder(std::uint16_t port) : m_balancer(MakeBalancer(port)) {
    io::UdpOptions options;
    options.m_batch = daemon::kReceiveBatch;
    options.m_headroom_bytes = daemon::PacketCodec::kHeadroomBytes;
    auto socket = io::UdpSocket::Bind(ValueOf(ParseEndpoint("127.0.0.1:0")), options);
    if (!IsOk(socket)) throw std::runtime_error(ToString(ErrorOf(socket)));
    m_socket.emplace(std::move(ValueOf(socket)));
  }
  [[nodiscard]] Endpoint Local() const { return m_socket->Local(); }
  [[nodiscard]] std::uint64_t Forwarded() const { return m_forwarded; }
  void RefreshContact() {}
  void Start() {
    m_worker = std::make_unique<Worker>([this] { Step(); });
  }
  void Stop() { m_worker.reset(); }

 private:
  void Step() {
    m_outgoing.clear();
    for (const auto& datagram : m_socket->Receive(steady_clock::now() + milliseconds(20))) {
      const Result<CookiePacket> packet = m_format.Parse(datagram.m_bytes);
      if (!IsOk(packet)) continue;
      const SteeringDecision decision = m_balancer->Steer(ValueOf(packet));
      if (decision.m_action != SteeringAction::kForward) continue;
      m_outgoing.push_back(
          {decision.m_endpoint, m_format.Encapsulate(datagram.m_bytes, decision.m_target, decision.m_cookie)});
    }
    m_forwarded += m_socket->Send(m_outgoing);
  }

  PacketFormat m_format;
  std::unique_ptr<Balancer> m_balancer;
  std::optional<io::UdpSocket> m_socket;
  std::vector<io::OutgoingDatagram> m_outgoing;
  std::atomic<std::uint64_t> m_forwarded{0};
  std::unique_ptr<Worker> m_worker;
};

double SecondsOf(const std::function<void()>& call) {
  const auto start = steady_clock::now();
  call();
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

/// Compares parsing the headers of all packets with parsing and steering them; takes the fastest of `kRounds` each.
bool MeasureDecisions() {
  const std::unique_ptr<Balancer> balancer = MakeBalancer(1);
  const PacketFormat format;
  std::vector<std::vector<std::byte>> packets;
  for (std::uint32_t flow = 0; flow < kPassingFlows; ++flow) packets.push_back(MakeDatagram(flow));
  std::vector<double> read_ns;
  std::vector<double> decided_ns;
  std::uint64_t sum = 0;
  for (int round = 0; round < kRounds; ++round) {
    read_ns.push_back(1e9 / kPassingFlows * SecondsOf([&] {
                        for (const auto& packet : packets) sum += ValueOf(format.Parse(packet)).m_cookie;
                      }));
    decided_ns.push_back(1e9 / kPassingFlows * SecondsOf([&] {
                           for (const auto& packet : packets) {
                             sum += balancer->Steer(ValueOf(format.Parse(packet))).m_cookie;
                           }
                         }));
  }
  const double read = Quantile(read_ns, 0);
  const double decided = Quantile(decided_ns, 0);
  Report("steering_forwarding.checksum", static_cast<double>(sum % 1000), "1");
  Report("steering_forwarding.header_read", read, "ns");
  Report("steering_forwarding.decision", decided - read, "ns", std::nullopt, read);
  return Report("steering_forwarding.read_and_decide_over_read", decided / read, "ratio", kMaxTimesHeaderRead, 1);
}

/// Heap growth of a balancer that forwards packets of flows that other balancers have placed.
bool MeasureMemory() {
  const std::unique_ptr<Balancer> balancer = MakeBalancer(1);
  const PacketFormat format;
  const auto heap = [] { return static_cast<double>(mallinfo2().uordblks); };
  const double before = heap();
  for (std::uint32_t flow = 0; flow < kPassingFlows; ++flow) {
    const std::vector<std::byte> packet = MakeDatagram(flow);
    (void)balancer->Steer(ValueOf(format.Parse(packet)));
  }
  return Report("steering_forwarding.heap_growth.passing_flows_300000", heap() - before, "B", kMaxGrowthBytes, 0);
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using namespace fighatch::bench;
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  const Traffic traffic = MakeTraffic();
  bool pass = MeasureDecisions();
  pass &= MeasureMemory();
  const Rounds unpaced = RunAlternating<SteeringForwarder>(traffic, 0, quick ? 3 : 7, milliseconds(quick ? 400 : 1000));
  pass &= ReportRatio("steering_forwarding.packets_per_second", unpaced, &RunResult::m_packets_per_second, "1/s",
                      1 / kMinShareOfBareRate, true);
  return pass ? 0 : 1;
}
