#include "balancer/steering_balancer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <map>
#include <vector>

#include "fighatch/host_address.h"
#include "io/reactor.h"
#include "steering_fixture.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testing_support::kPublicAddress;
using testing_support::kService;

// Takes each datagram for an opening packet of a new client.
class OpeningPacketCodec : public PacketCodec {
 public:
  [[nodiscard]] Result<CookiePacket> Parse(std::span<const std::byte> /*packet*/) const override {
    return testing_support::OpeningPacket(++m_clients);
  }
  [[nodiscard]] std::span<const std::byte> Encapsulate(std::span<std::byte> packet, TargetId /*target*/,
                                                       std::uint32_t /*cookie*/) const override {
    return packet;
  }
  [[nodiscard]] std::vector<std::byte> MakeReset(std::span<const std::byte> packet) const override {
    return {packet.begin(), packet.end()};
  }

 private:
  mutable std::uint32_t m_clients = 0;
};

// One real balancer among stand-ins for a control host and for the other balancers: 9 of its data centre "a", 8 of "b".
class SteeringBalancerTest : public testing::Test {
 protected:
  static constexpr std::uint16_t kControlPort = 39601;
  static constexpr std::uint16_t kBalancerPort = 39602;
  static constexpr std::uint16_t kPacketPort = 39603;

  SteeringBalancerTest() {
    for (std::uint32_t number = 1; number <= 18; ++number) m_peers.push_back({Host(number), number <= 10 ? "a" : "b"});
    for (const BalancerPeer& peer : m_peers) {
      if (peer.m_host != Host(1)) Bind(peer.m_host, kBalancerPort);
    }
    Bind(Host(100), kControlPort);
  }

  // Addresses of this process, so that two runs do not meet.
  static HostId Host(std::uint32_t number) {
    return HostId{0x7F000000U + ((static_cast<std::uint32_t>(getpid()) % 0xFF00U + 1) << 8U) + number};
  }

  void Bind(HostId host, std::uint16_t port) {
    Result<io::PlainMessageSocket> socket = io::PlainMessageSocket::Bind(EndpointOf(host, port));
    ASSERT_TRUE(IsOk(socket));
    m_sockets.emplace(host, std::move(ValueOf(socket)));
  }

  static config::SteeringBalancerSettings Settings() {
    config::SteeringBalancerSettings settings;
    settings.m_discovery.m_address = IpAddress::FromV4(Host(1).m_value);
    settings.m_discovery.m_data_centre = "a";
    settings.m_discovery.m_seeds = {EndpointOf(Host(100), 80)};
    settings.m_discovery.m_control_message_port = kControlPort;
    settings.m_discovery.m_balancer_message_port = kBalancerPort;
    settings.m_packet_endpoint = EndpointOf(Host(1), kPacketPort);
    settings.m_readiness_endpoint = EndpointOf(Host(1), 39604);
    settings.m_stop_grace = milliseconds(1000);
    return settings;
  }

  // Answers requests with 18 balancers and two routes of different priority to one service.
  void ServeControlHost() {
    SyncReply reply;
    reply.m_from = Host(100);
    reply.m_has_quorum = true;
    reply.m_position = {1, 0};
    PublishedState state = testing_support::MakeState();
    const Endpoint other{kPublicAddress.m_address, 444};
    state.m_routing.m_routes[other] = testing_support::MakeRoute(other, kService);
    state.m_routing.m_routes[other].m_priority = 1;
    reply.m_update = MakeUpdate({}, state);
    reply.m_hosts_digest = 5;
    reply.m_control_hosts = {Host(100)};
    reply.m_balancers = m_peers;
    while (!m_done) {
      for (const auto& message : m_sockets.at(Host(100)).Receive(steady_clock::now() + milliseconds(20))) {
        if (message.m_type != MessageType::kSyncRequest) continue;
        (void)m_sockets.at(Host(100)).Send(EndpointOf(Host(1), kBalancerPort), MessageType::kSyncReply,
                                           EncodeSyncReply(reply));
      }
    }
  }

  // Receives what the balancer sends to another one, which offers no load itself.
  void ServePeer(const BalancerPeer& peer) {
    io::PlainMessageSocket& socket = m_sockets.at(peer.m_host);
    for (std::uint64_t sequence = 1; !m_done; ++sequence) {
      for (const io::PlainMessage& message : socket.Receive(steady_clock::now() + milliseconds(20))) {
        if (message.m_type == MessageType::kOfferedLoad) {
          m_offered.emplace_back(peer.m_data_centre, ValueOf(DecodeOfferedLoad(message.m_payload)));
        } else if (message.m_type == MessageType::kLoadSummary) {
          m_summaries.emplace_back(peer.m_data_centre, ValueOf(DecodeLoadSummary(message.m_payload)));
        }
      }
      if (peer.m_data_centre != "a") continue;
      (void)socket.Send(EndpointOf(Host(1), kBalancerPort), MessageType::kOfferedLoad,
                        EncodeOfferedLoad({kOfferedLoadVersion, peer.m_host, sequence, {{kService, 1, 100}}}));
    }
  }

  io::Reactor m_reactor;
  std::vector<BalancerPeer> m_peers;
  std::map<HostId, io::PlainMessageSocket> m_sockets;
  std::vector<std::pair<std::string, OfferedLoad>> m_offered;
  std::vector<std::pair<std::string, LoadSummary>> m_summaries;
  bool m_done = false;
};

// Guards against a daemon that does not exchange load: offered rates within the data centre, and summaries of it, which
// include what the others reported, with the other data centre.
TEST_F(SteeringBalancerTest, LoadIsExchangedWithinAndAcrossDataCentres) {
  boost::fibers::fiber([this] {
    StopSignal stop;
    const OpeningPacketCodec codec;
    SteeringBalancer balancer(Settings(), "", &codec);
    ASSERT_TRUE(IsOk(balancer.Open([](const auto&, const auto&) { return HttpResponse{}; })));
    std::vector<boost::fibers::fiber> fibers;
    fibers.emplace_back([&] { balancer.Run(&stop); });
    fibers.emplace_back([this] { ServeControlHost(); });
    for (const BalancerPeer& peer : m_peers) {
      if (peer.m_host != Host(1)) fibers.emplace_back([this, peer] { ServePeer(peer); });
    }
    Result<io::UdpSocket> client = io::UdpSocket::Bind(EndpointOf(Host(101), 0));
    ASSERT_TRUE(IsOk(client));
    const auto deadline = steady_clock::now() + milliseconds(5000);
    // Without shortage the messages are sent in one interval of ten: every 450 ms.
    while (steady_clock::now() < deadline && (m_summaries.size() < 3 || m_offered.size() < 27)) {
      (void)ValueOf(client).Send(EndpointOf(Host(1), kPacketPort), std::vector<std::byte>(40));
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    m_done = true;
    kill(getpid(), SIGTERM);
    for (boost::fibers::fiber& fiber : fibers) fiber.join();
  }).join();
  ASSERT_GE(m_summaries.size(), 3U);
  ASSERT_GE(m_offered.size(), 27U);
  for (const auto& [data_centre, load] : m_offered) {
    EXPECT_EQ(data_centre, "a");
    EXPECT_EQ(load.m_from, Host(1));
    ASSERT_EQ(load.m_rates.size(), 1U);
    EXPECT_EQ(load.m_rates[0].m_service, kService);
  }
  for (const auto& [data_centre, summary] : m_summaries) {
    EXPECT_EQ(data_centre, "b");
    EXPECT_EQ(summary.m_data_centre, "a");
  }
  // The first ones may be sent before all other balancers have reported.
  const LoadSummary& last = m_summaries.back().second;
  EXPECT_EQ(last.m_balancers, 10U);
  ASSERT_EQ(last.m_rates.size(), 2U);
  EXPECT_EQ(last.m_rates[1].m_flows_per_second, 900);
}

}  // namespace
}  // namespace fighatch::daemon
