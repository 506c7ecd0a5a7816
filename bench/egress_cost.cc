// Processor time of a packet of an open flow, from receiving to sending over loopback, with the egress scheduler
// relative to forwarding without it: where the link has time for every packet, and where packets queue.
#include <ctime>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fighatch/egress_scheduler.h"
#include "io/udp_socket.h"
#include "platform/packet_format.h"
#include "report.h"
#include "steering_fixture.h"

namespace fighatch::bench {
namespace {

using daemon::PacketCodec;
using platform::PacketFormat;
using testing_support::Balancer;
using testing_support::MakeTarget;
using testing_support::milliseconds;

// The bound of docs/design/load-management.md on processor time with a part on.
constexpr double kMaxTimesToday = 1.1;
constexpr std::uint32_t kFlows = 600;
constexpr std::uint32_t kInFlight = 16;
constexpr std::uint32_t kBatch = 32;
constexpr std::uint32_t kBatches = 1000;
constexpr int kRounds = 25;
constexpr std::size_t kPacketBytes = PacketFormat::kHeaderBytes + PacketFormat::kMaxPayloadBytes;
constexpr double kLinkMbps = 9.2;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

io::UdpSocket BindLoopback() {
  io::UdpOptions options;
  options.m_batch = kBatch;
  options.m_headroom_bytes = PacketCodec::kHeadroomBytes;
  Result<io::UdpSocket> socket = io::UdpSocket::Bind({IpAddress::FromV4(0x7F000001), 0}, options);
  if (!IsOk(socket)) throw std::runtime_error(ToString(ErrorOf(socket)));
  return std::move(ValueOf(socket));
}

class Forwarder {
 public:
  Forwarder() : m_sink(BindLoopback()), m_clients(BindLoopback()), m_socket(BindLoopback()) {
    m_balancer.ApplyState(testing_support::MakeState());
    AnnouncedTarget target = MakeTarget(1);
    target.m_endpoint = m_sink.Local();
    m_balancer.AddTarget(target);
    for (auto& buffer : m_buffers) buffer.resize(kPacketBytes);
  }

  /// Nanoseconds for a packet. With a scheduler the link gets `load` times its rate.
  double Run(EgressScheduler* scheduler, double load) {
    const double batch_seconds = kBatch * 1268.0 / (kLinkMbps * 125000 * EgressScheduler::kPacedShareOfLink) / load;
    double seconds = 0;
    for (std::uint32_t batch = 0; batch < kBatches; ++batch) {
      const TimePoint next = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(batch_seconds));
      SendClientPackets();
      const double start = ProcessorSeconds();
      ForwardBatch(scheduler);
      for (; m_now < next; m_now += EgressScheduler::kPacingInterval) {
        if (scheduler != nullptr && !scheduler->IsEmpty()) SendQueued(scheduler);
      }
      seconds += ProcessorSeconds() - start;
    }
    return seconds * 1e9 / kBatch / kBatches;
  }

 private:
  void ForwardBatch(EgressScheduler* scheduler) {
    m_outgoing.clear();
    for (const auto& [source, bytes] : m_socket.Receive(std::chrono::steady_clock::now())) {
      const CookiePacket packet = ValueOf(m_format.Parse(bytes));
      const SteeringDecision decision = m_balancer.Steer(packet);
      const auto datagram = m_format.Encapsulate(bytes, decision.m_target, decision.m_cookie);
      if (scheduler == nullptr || scheduler->Offer(m_now, packet, Duration(0), decision.m_endpoint, datagram)) {
        m_outgoing.push_back({decision.m_endpoint, datagram});
      }
    }
    m_socket.Send(m_outgoing);
  }

  void SendQueued(EgressScheduler* scheduler) {
    m_taken.clear();
    m_outgoing.clear();
    while (std::optional<EgressDatagram> next = scheduler->Take(m_now)) m_taken.push_back(std::move(*next));
    for (const EgressDatagram& datagram : m_taken) m_outgoing.push_back({datagram.m_destination, datagram.m_bytes});
    m_socket.Send(m_outgoing);
  }

  void SendClientPackets() {
    m_outgoing.clear();
    for (std::vector<std::byte>& buffer : m_buffers) {
      WritePacket(buffer);
      m_outgoing.push_back({m_socket.Local(), buffer});
    }
    m_clients.Send(m_outgoing);
  }

  // The next packet of one of the flows in turn, `kInFlight` of each, with the fields at the offsets of `PacketFormat`.
  void WritePacket(std::span<std::byte> packet) {
    const std::uint32_t flow = m_packets / kInFlight % kFlows;
    const auto write = [&packet](std::size_t offset, std::uint32_t value, int bytes) {
      for (int index = bytes - 1; index >= 0; --index, value >>= 8U) packet[offset + index] = std::byte(value & 0xFFU);
    };
    write(0, 0x64400000 + flow, 4);
    write(4, testing_support::kPublicAddress.m_port, 2);
    write(6, 40000, 2);
    write(8, testing_support::kPublicAddress.m_address.ToV4(), 4);
    write(12, CookieOf(MakeTarget(1).m_id), 4);
    write(20, ++m_packets, 4);
    write(28, PacketFormat::kMaxPayloadBytes, 2);
    write(30, 64, 1);
  }

  PacketFormat m_format;
  Balancer m_balancer;
  io::UdpSocket m_sink;
  io::UdpSocket m_clients;
  io::UdpSocket m_socket;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint32_t m_packets = 0;
  std::array<std::vector<std::byte>, kBatch> m_buffers;
  std::vector<io::OutgoingDatagram> m_outgoing;
  std::vector<EgressDatagram> m_taken;
};

}  // namespace
}  // namespace fighatch::bench

int main() {
  using namespace fighatch::bench;
  std::vector<double> today;
  std::vector<double> at_once;
  std::vector<double> queued;
  for (int round = 0; round < kRounds; ++round) {
    Forwarder forwarder;
    (void)forwarder.Run(nullptr, 1);
    fighatch::EgressScheduler idle(100 * kLinkMbps);
    fighatch::EgressScheduler full(kLinkMbps);
    today.push_back(forwarder.Run(nullptr, 1));
    at_once.push_back(forwarder.Run(&idle, 0.5));
    queued.push_back(forwarder.Run(&full, 0.9));
  }
  const double base = Quantile(today, 0);
  Report("egress_cost.forward", base, "ns");
  bool pass = Report("egress_cost.sent_at_once_over_today", Quantile(at_once, 0) / base, "ratio", kMaxTimesToday, 1);
  pass &= Report("egress_cost.queued_over_today", Quantile(queued, 0) / base, "ratio", kMaxTimesToday, 1);
  return pass ? 0 : 1;
}
