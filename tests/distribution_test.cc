#include <gtest/gtest.h>

#include "../bench/distribution_node.h"
#include "distribution/distribution_messages.h"
#include "fighatch/hot_file.h"

namespace fighatch {
namespace {

using bench::DistributionCluster;
using bench::FakeStateMachine;
using bench::LinkSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Bytes = std::vector<std::byte>;

constexpr HostId kFirstBalancer{1001};

void ExpectAllInForce(DistributionCluster& cluster) {
  for (const HostId host : cluster.Balancers())
    EXPECT_EQ(cluster.Network().Find(host)->History().CurrentVersion(), cluster.CurrentVersion()) << host.m_value;
}

// Guards against a restarted host that fetches missed deltas one at a time, or none at all once it is more than 256
// deltas behind.
TEST(DistributionTest, BringsARestartedHostUpToDate) {
  for (const int missed : {1, 200, 300}) {
    DistributionCluster cluster(6, 2, 4, {}, 1);
    cluster.Network().RunFor(seconds(3));
    cluster.Network().Remove(kFirstBalancer);
    for (int change = 0; change < missed; ++change) {
      (void)cluster.Change(3500);
      cluster.Network().RunFor(milliseconds(10));
    }
    cluster.Start(kFirstBalancer, false);
    cluster.UpdateNeighbours();
    cluster.Network().RunFor(seconds(5));
    ExpectAllInForce(cluster);
  }
}

// Guards against a large snapshot that is truncated at the datagram size, or that is lost as a whole with one chunk.
TEST(DistributionTest, TransfersALargeSnapshotUnderLoss) {
  FakeStateMachine machine(1 << 20);
  StateHistory source(&machine);
  std::uint64_t generation = 0;
  const auto change = [&] {
    const Version from = source.CurrentVersion();
    ASSERT_TRUE(IsOk(source.Apply({from, {1, ++generation}, Bytes(10), 0})));
  };
  while (generation < 300) change();
  StateDistributor distributor({1}, &source, true);
  FakeStateMachine copy(1 << 20);
  StateHistory history(&copy);
  StateReceiver receiver(&history, Random(1));
  receiver.SetFallbackPeers({{{1}, {}}});
  Random random(3);
  TimePoint now{};
  // The source is 300 deltas ahead, more than it keeps, and changes further during the transfer: only a snapshot helps.
  (void)receiver.CatchUp(now, {{1}, {}}, source.CurrentVersion());
  for (int round = 0; round < 2000 && history.CurrentVersion() != source.CurrentVersion(); ++round) {
    now += milliseconds(50);
    if (round % 44 == 0 && round < 1000) change();
    for (const OutgoingMessage& request : receiver.Tick(now).m_messages) {
      std::vector<Bytes> pending = {request.m_payload};
      while (!pending.empty()) {
        const Bytes payload = pending.back();
        pending.pop_back();
        auto answers = distributor.Receive(now, {2}, {}, MessageType::kStateRequest, payload);
        for (const OutgoingMessage& answer : ValueOf(answers).m_messages) {
          if (random.NextDouble() < 0.1) continue;
          auto actions = receiver.Receive(now, {1}, {}, answer.m_type, answer.m_payload);
          for (const OutgoingMessage& next : ValueOf(actions).m_messages) pending.push_back(next.m_payload);
        }
      }
    }
  }
  EXPECT_EQ(history.CurrentVersion(), source.CurrentVersion());
  EXPECT_EQ(history.CurrentDigest(), source.CurrentDigest());
}

// Guards against state that counts as fresh without contact to a control host, and that stays stale after contact is
// restored.
TEST(DistributionTest, SaysStaleAfterThreeSecondsWithoutControlHosts) {
  DistributionCluster cluster(20, 1, 2, {}, 1);
  auto& network = cluster.Network();
  network.RunFor(seconds(5));
  for (const HostId host : cluster.Balancers()) EXPECT_FALSE(network.Find(host)->Receiver().IsStale(network.Now()));
  for (const HostId host : cluster.Balancers())
    for (std::uint32_t control = 1; control <= 3; ++control) network.Cut({control}, host);
  network.RunFor(milliseconds(4300));
  for (const HostId host : cluster.Balancers()) EXPECT_TRUE(network.Find(host)->Receiver().IsStale(network.Now()));
  network.RestoreLinks();
  network.RunFor(seconds(2));
  for (const HostId host : cluster.Balancers()) EXPECT_FALSE(network.Find(host)->Receiver().IsStale(network.Now()));
}

// Guards against a subtree that misses changes while its parent is dead and membership has not detected it yet.
TEST(DistributionTest, AsksOthersWhenTheParentIsSilent) {
  DistributionCluster cluster(21, 1, 4, {}, 1);
  cluster.Network().RunFor(seconds(3));
  cluster.Network().Remove({1002});
  (void)cluster.Change(100);
  cluster.Network().RunFor(milliseconds(2500));
  ExpectAllInForce(cluster);
}

// Guards against an operator who cannot learn which host lacks a ticket.
TEST(DistributionTest, NamesTheHostThatIsBehind) {
  DistributionCluster cluster(21, 1, 4, {}, 1);
  auto& network = cluster.Network();
  network.RunFor(seconds(5));
  InForceReport report = network.Find({1})->Distributor().InForce(network.Now());
  EXPECT_EQ(report.m_hosts, 24U);
  EXPECT_EQ(report.m_lagging_count, 0U);
  for (const HostId host : network.Hosts()) network.Cut(host, {1020});
  (void)cluster.Change(100);
  network.RunFor(seconds(5));
  report = network.Find({1})->Distributor().InForce(network.Now());
  EXPECT_EQ(report.m_version, cluster.CurrentVersion());
  EXPECT_EQ(report.m_lagging_count, 1U);
  ASSERT_EQ(report.m_lagging_hosts.size(), 1U);
  EXPECT_EQ(report.m_lagging_hosts[0].m_host, HostId{1020});
}

// Guards against an old hot file, or a peer with an older version, that lowers the version of a host.
TEST(DistributionTest, NeverTakesALowerVersion) {
  FakeStateMachine machine(100);
  StateHistory history(&machine);
  ASSERT_TRUE(IsOk(history.Load({3, 5}, Bytes(100, std::byte{1}))));
  const std::uint64_t digest = history.CurrentDigest();
  EXPECT_FALSE(IsOk(history.Load({2, 900}, Bytes(100))));
  EXPECT_FALSE(IsOk(history.Apply({{2, 4}, {3, 6}, {}, 0})));
  EXPECT_FALSE(IsOk(history.Apply({{3, 5}, {3, 5}, {}, 0})));
  StateReceiver receiver(&history, Random(1));
  distribution::ChunkMessage chunk;
  chunk.m_to = {2, 900};
  chunk.m_count = 1;
  chunk.m_bytes = std::vector<std::uint8_t>(100, 7);
  auto actions = receiver.Receive(TimePoint{}, {9}, {}, MessageType::kStateSnapshot, distribution::Encode(chunk));
  ASSERT_TRUE(IsOk(actions));
  EXPECT_FALSE(ValueOf(actions).m_is_state_changed);
  EXPECT_EQ(history.CurrentVersion(), (Version{3, 5}));
  EXPECT_EQ(history.CurrentDigest(), digest);
}

// Guards against a host whose content stays different from the control hosts' at the same version.
TEST(DistributionTest, ReplacesContentThatDiffersAtTheSameVersion) {
  DistributionCluster cluster(3, 1, 4, {}, 1);
  cluster.Network().RunFor(seconds(2));
  const Version version = cluster.Change(100);
  cluster.Network().Remove(kFirstBalancer);
  cluster.Start(kFirstBalancer, false);
  cluster.Network().Find(kFirstBalancer)->Restore(version, Bytes(3000, std::byte{9}));
  cluster.UpdateNeighbours();
  cluster.Network().RunFor(seconds(3));
  EXPECT_EQ(cluster.Network().Find(kFirstBalancer)->History().CurrentDigest(),
            cluster.Network().Find({1})->History().CurrentDigest());
}

// Guards against malformed messages that are accepted, or that change the state before they are refused.
TEST(DistributionTest, RefusesMalformedMessages) {
  FakeStateMachine machine(100);
  StateHistory history(&machine);
  StateReceiver receiver(&history, Random(1));
  StateDistributor distributor({1}, &history, false);
  distribution::ChunkMessage chunk;
  chunk.m_to = {1, 1};
  chunk.m_count = 1;
  chunk.m_bytes = std::vector<std::uint8_t>(50, 7);
  const Bytes good = distribution::Encode(chunk);
  const auto refused = [&](MessageType type, std::span<const std::byte> payload) {
    auto result = receiver.Receive(TimePoint{}, {9}, {}, type, payload);
    return !IsOk(result) && ErrorOf(result).m_code == ErrorCode::kMessageMalformed;
  };
  for (std::size_t size = 0; size < good.size(); ++size)
    EXPECT_TRUE(refused(MessageType::kStateSnapshot, std::span(good).first(size)));
  for (const auto& [index, count] : {std::pair{1U, 1U}, {0U, 0U}, {0U, distribution::kMaxChunks + 1}}) {
    chunk.m_index = index;
    chunk.m_count = count;
    EXPECT_TRUE(refused(MessageType::kStateSnapshot, distribution::Encode(chunk)));
  }
  EXPECT_FALSE(IsOk(distributor.Receive(TimePoint{}, {9}, {}, MessageType::kStateRequest, Bytes(3))));
  EXPECT_FALSE(IsOk(distributor.Receive(TimePoint{}, {9}, {}, MessageType::kStateReport, Bytes(3))));
  EXPECT_EQ(history.CurrentVersion(), Version{});
}

// Guards against a tree in which a host has no parent, or a parent that does not know it as a child.
TEST(DistributionTreeTest, ParentsAndChildrenAgree) {
  std::vector<Member> live(100);
  for (std::uint32_t index = 0; index < live.size(); ++index) live[index].m_host = {index + 1};
  live[7].m_role = MemberRole::kControl;
  const std::vector<StatePeer> control_hosts = {{{200}, {}}, {{201}, {}}};
  std::size_t placed = 0;
  for (const Member& member : live) {
    const TreeNeighbours neighbours = NeighboursOfBalancer(member.m_host, live, control_hosts, 4);
    EXPECT_LE(neighbours.m_children.size(), 4U);
    for (const StatePeer& child : neighbours.m_children) {
      EXPECT_EQ(NeighboursOfBalancer(child.m_host, live, control_hosts, 4).m_parent->m_host, member.m_host);
      ++placed;
    }
  }
  EXPECT_EQ(placed, 98U);
  const TreeNeighbours root = NeighboursOfBalancer({1}, live, control_hosts, 4);
  const TreeNeighbours control =
      NeighboursOfControlHost(root.m_parent->m_host, {200}, control_hosts, std::vector<Member>{live[0]});
  EXPECT_EQ(control.m_children.back().m_host, HostId{1});
}

// Guards against loading a damaged hot file: truncated after any byte, or with a flipped bit in any byte.
TEST(HotFileTest, RefusesEveryDamage) {
  const HotFile file{{4, 9}, Bytes(64, std::byte{5})};
  const Bytes good = EncodeHotFile(file);
  ASSERT_EQ(ValueOf(DecodeHotFile(good)), file);
  for (std::size_t size = 0; size < good.size(); ++size)
    EXPECT_EQ(ErrorOf(DecodeHotFile(std::span(good).first(size))).m_code, ErrorCode::kStorageTornTail) << size;
  for (std::size_t at = 0; at < good.size(); ++at) {
    Bytes bad = good;
    bad[at] ^= std::byte{1};
    EXPECT_FALSE(IsOk(DecodeHotFile(bad))) << at;
  }
}

}  // namespace
}  // namespace fighatch
