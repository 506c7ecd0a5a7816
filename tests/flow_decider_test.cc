#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "flow_test_support.h"

namespace fighatch {
namespace {

/// One data centre with two targets, and a third that joins and takes about a third of the slots.
struct TargetJoinFixture : TableFixture {
  explicit TargetJoinFixture(std::uint32_t balancers = 1) {
    AddDataCentre(1);
    AddService(1, {1});
    AddTarget(1, 1, 1);
    AddTarget(1, 1, 2);
    for (std::uint32_t host = 1; host <= balancers; ++host) AddBalancer(host, 1);
    const TargetId joined = AddTarget(1, 1, 3, false);
    m_next = Table(1, 1).m_current;
    m_next.push_back({joined.m_value, 16});
  }
  void StartLearning() { ASSERT_TRUE(BeginLearning(&Table(1, 1), m_next)); }
  void StartMoving() { BeginMoving(&Table(1, 1)); }
  /// A flow whose slot moves to the joined target and whose keepers satisfy the condition.
  template <typename Condition>
  [[nodiscard]] std::uint32_t MovingFlow(const Condition& condition, std::uint32_t from = 0) {
    TargetJoinFixture moved = *this;
    if (moved.Table(1, 1).m_phase == TransitionPhase::kSettled) {
      moved.StartLearning();
      moved.StartMoving();
    }
    const auto table = moved.Build(1, 1);
    const ServiceTable* service = table->FindService(ServiceId{1});
    for (std::uint32_t number = from;; ++number) {
      const std::uint64_t hash = PacketOf(number, PacketKind::kFirst).m_flow_hash;
      const KeeperPair keepers = table->Keepers().Find(DataCentreId{1}, hash);
      if (!service->Resolve(service->SlotOf(hash)).m_settled && condition(keepers)) return number;
    }
  }
  [[nodiscard]] std::uint32_t MovingFlow(std::uint32_t from = 0) {
    return MovingFlow([](const KeeperPair&) { return true; }, from);
  }
  std::vector<OwnerEntry> m_next;
};

constexpr TargetId kJoined{1103};

bool HasKeepers(const KeeperPair& pair, std::uint32_t first, std::uint32_t second) {
  return pair.m_first->m_host.m_value == first && pair.m_second->m_host.m_value == second;
}

// Guards against new flows that open at the joining target before phase `moving`, and against established flows that
// move to it in that phase.
TEST(FlowDeciderTest, OpensAtBaseWhileLearningAndAtCurrentWhileMoving) {
  TargetJoinFixture fixture;
  FlowDecider decider(OptionsOf(1));
  decider.SetContact(FreshContact(AtMs(0)));
  const std::uint32_t in_learning = fixture.MovingFlow();
  const std::uint32_t in_moving = fixture.MovingFlow(in_learning + 1);
  const std::uint32_t established = fixture.MovingFlow(in_moving + 1);
  fixture.StartLearning();
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  const Decision learned = decider.Decide(PacketOf(in_learning, PacketKind::kFirst), AtMs(0));
  ASSERT_EQ(learned.m_kind, DecisionKind::kTarget);
  EXPECT_NE(learned.m_target, kJoined);
  fixture.StartMoving();
  decider.SetTable(fixture.Build(1, 1), AtMs(1000));
  EXPECT_EQ(decider.Decide(PacketOf(in_learning, PacketKind::kFirst), AtMs(1000)).m_target, learned.m_target);
  EXPECT_EQ(decider.Decide(PacketOf(in_moving, PacketKind::kFirst), AtMs(1000)).m_target, kJoined);
  EXPECT_EQ(decider.Decide(PacketOf(in_moving, PacketKind::kLater), AtMs(1000)).m_target, kJoined);
  EXPECT_NE(decider.Decide(PacketOf(established, PacketKind::kLater), AtMs(1000)).m_target, kJoined);
}

// Guards against a flow that opens at a second target: its first packet is sent just before the change, and the
// retransmission arrives in phase `moving`.
TEST(FlowDeciderTest, ARetransmittedFirstPacketFromBeforeTheChangeKeepsItsTarget) {
  TargetJoinFixture fixture;
  FlowDecider decider(OptionsOf(1));
  decider.SetContact(FreshContact(AtMs(0)));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  const std::uint32_t flow = fixture.MovingFlow();
  const TargetId target = decider.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(100)).m_target;
  fixture.StartLearning();
  decider.SetTable(fixture.Build(1, 1), AtMs(200));
  fixture.StartMoving();
  decider.SetTable(fixture.Build(1, 1), AtMs(1200));
  decider.SetContact(FreshContact(AtMs(1200)));
  EXPECT_EQ(decider.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(1300)).m_target, target);
}

// Guards against UDP flows that move in phase `moving` although they were active in phase `learning`.
TEST(FlowDeciderTest, AnActiveUdpFlowStays) {
  TargetJoinFixture fixture;
  FlowDecider decider(OptionsOf(1));
  decider.SetContact(FreshContact(AtMs(0)));
  fixture.StartLearning();
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  std::vector<TargetId> targets;
  for (std::uint32_t flow = 0; flow < 100; ++flow) {
    targets.push_back(decider.Decide(PacketOf(flow, PacketKind::kDatagram), AtMs(10)).m_target);
  }
  fixture.StartMoving();
  decider.SetTable(fixture.Build(1, 1), AtMs(1000));
  for (std::uint32_t flow = 0; flow < 100; ++flow) {
    EXPECT_EQ(decider.Decide(PacketOf(flow, PacketKind::kDatagram), AtMs(1010)).m_target, targets[flow]);
  }
}

// Guards against the loss of a flow with its keeper: the second keeper holds the record and takes over as soon as the
// keeper is suspect.
TEST(FlowDeciderTest, TheSecondKeeperTakesOver) {
  TargetJoinFixture fixture(3);
  fixture.StartLearning();
  fixture.StartMoving();
  const std::uint32_t flow = fixture.MovingFlow([](const KeeperPair& pair) { return HasKeepers(pair, 1, 2); });
  FlowDecider keeper(OptionsOf(1));
  FlowDecider second(OptionsOf(2));
  FlowDecider other(OptionsOf(3));
  for (auto [decider, host] : {std::pair(&keeper, 1U), {&second, 2U}, {&other, 3U}}) {
    decider->SetTable(fixture.Build(host, 1), AtMs(0));
    decider->SetContact(FreshContact(AtMs(0)));
  }
  Decision decision = other.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(1));
  EXPECT_EQ(decision.m_balancer, HostId{1});
  EXPECT_EQ(decision.m_reason, ForwardReason::kKeeper);
  EXPECT_EQ(keeper.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(2)).m_target, kJoined);
  const auto sends = keeper.Tick(AtMs(20));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].m_host, HostId{2});
  keeper.OnAck(second.OnRecords(sends[0].m_message, AtMs(21)));
  EXPECT_TRUE(keeper.Tick(AtMs(500)).empty());

  fixture.MemberOf(1).m_state = MemberState::kSuspect;
  other.SetTable(fixture.Build(3, 1), AtMs(600));
  decision = other.Decide(PacketOf(flow, PacketKind::kLater), AtMs(601));
  EXPECT_EQ(decision.m_balancer, HostId{2});
  EXPECT_EQ(decision.m_reason, ForwardReason::kSecondKeeper);
  EXPECT_EQ(second.Decide(PacketOf(flow, PacketKind::kLater), AtMs(602)).m_target, kJoined);
}

// Guards against a joining balancer that becomes a keeper before it has received the records.
TEST(FlowDeciderTest, AJoiningBalancerGetsTheRecordsThatItWillKeep) {
  TargetJoinFixture fixture(2);
  fixture.StartLearning();
  fixture.StartMoving();
  FlowDecider keeper(OptionsOf(1));
  keeper.SetTable(fixture.Build(1, 1), AtMs(0));
  keeper.SetContact(FreshContact(AtMs(0)));
  std::vector<std::uint32_t> flows;
  for (std::uint32_t flow = 0; flow < 600; ++flow) {
    const Decision decision = keeper.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(0));
    if (decision.m_kind == DecisionKind::kTarget && decision.m_target == kJoined) flows.push_back(flow);
  }
  ASSERT_FALSE(flows.empty());
  static_cast<void>(keeper.Tick(AtMs(10)));
  fixture.AddBalancer(3, 1, false);
  FlowDecider joining(OptionsOf(3));
  joining.SetTable(fixture.Build(3, 1), AtMs(100));
  joining.SetContact(FreshContact(AtMs(100)));
  keeper.SetTable(fixture.Build(1, 1), AtMs(100));
  EXPECT_FALSE(joining.HasAllRecords());
  for (int ms = 100; ms < 2000; ms += 10) {
    for (const OutgoingRecords& send : keeper.Tick(AtMs(ms))) {
      if (send.m_host == HostId{3}) keeper.OnAck(joining.OnRecords(send.m_message, AtMs(ms)));
    }
  }
  EXPECT_FALSE(joining.HasAllRecords()) << "balancer 2 has not finished";
  fixture.MemberOf(3).m_keeper_ready = true;
  const auto ready = fixture.Build(3, 1);
  for (const std::uint32_t flow : flows) {
    const Packet packet = PacketOf(flow, PacketKind::kLater);
    if (!ready->Keepers().Find(DataCentreId{1}, packet.m_flow_hash).Has(HostId{3})) continue;
    EXPECT_EQ(joining.Decide(packet, AtMs(2000)).m_target, kJoined);
  }
}

// The keepers of a slot move to another data centre while a balancer becomes ready: the former keeper gets the member
// first and the table next, the new keeper of that moment the other way round. The earlier change changes nothing in
// the table, and comes 1.55 s before the second of the two.
void ExpectHoldersAgreeOnTheSender(bool has_earlier_change) {
  TableFixture fixture;
  for (const std::uint16_t data_centre : {std::uint16_t{1}, std::uint16_t{2}}) fixture.AddDataCentre(data_centre);
  fixture.AddService(1, {1, 2});
  for (const std::uint16_t data_centre : {std::uint16_t{1}, std::uint16_t{2}}) fixture.AddTarget(1, data_centre, 1);
  fixture.AddBalancer(1, 1);
  fixture.AddBalancer(2, 2);
  fixture.AddBalancer(3, 2, false);
  OwnerTable& shares = fixture.Table(1, 0);
  shares.m_base = shares.m_current = {{1, 1}, {2, 1}};
  ASSERT_TRUE(BeginLearning(&shares, {{1, 1}, {2, 2}}));
  BeginMoving(&shares);
  TableFixture ready = fixture;
  ready.MemberOf(3).m_keeper_ready = true;
  TableFixture learning = fixture;
  ASSERT_TRUE(BeginLearning(&learning.Table(1, 0), {{1, 1}, {2, 1}}));
  TableFixture both = learning;
  both.MemberOf(3).m_keeper_ready = true;

  FlowDecider former(OptionsOf(2));
  FlowDecider joined(OptionsOf(3));
  for (FlowDecider* decider : {&former, &joined}) decider->SetContact(FreshContact(AtMs(0)));
  former.SetTable(fixture.Build(2, 2), AtMs(0));
  joined.SetTable(fixture.Build(3, 2), AtMs(0));
  std::set<std::uint64_t> recorded;
  std::set<std::uint64_t> sent;
  const auto run = [&](int from_ms, int to_ms) {
    for (int ms = from_ms; ms < to_ms; ms += 10) {
      for (FlowDecider* decider : {&former, &joined}) {
        for (const OutgoingRecords& send : decider->Tick(AtMs(ms))) {
          FlowRecordsAck ack{kFlowRecordsVersion, send.m_host, 0, send.m_message.m_sequence};
          if (send.m_host == HostId{2}) ack = former.OnRecords(send.m_message, AtMs(ms));
          if (send.m_host == HostId{3}) ack = joined.OnRecords(send.m_message, AtMs(ms));
          decider->OnAck(ack);
          if (send.m_host != HostId{1}) continue;
          for (const WireFlowRecord& record : send.m_message.m_records) sent.insert(record.m_fingerprint);
        }
      }
    }
  };
  const std::shared_ptr<const ForwardingTable> after = both.Build(3, 2);
  const ServiceTable* service = after->FindService(ServiceId{1});
  for (std::uint32_t flow = 0; flow < 600; ++flow) {
    const Packet packet = PacketOf(flow, PacketKind::kFirst);
    const Decision decision = former.Decide(packet, AtMs(0));
    const SlotOwners owners = service->Resolve(service->SlotOf(packet.m_flow_hash));
    if (decision.m_kind != DecisionKind::kTarget || owners.m_keeper_data_centre != DataCentreId{1}) continue;
    recorded.insert(packet.m_flow_hash);
  }
  run(0, 550);
  if (has_earlier_change) {
    former.SetTable(fixture.Build(2, 2), AtMs(550));
    joined.SetTable(fixture.Build(3, 2), AtMs(550));
  }
  run(550, 2000);
  former.SetTable(ready.Build(2, 2), AtMs(2000));
  joined.SetTable(learning.Build(3, 2), AtMs(2000));
  run(2000, 2100);
  former.SetTable(both.Build(2, 2), AtMs(2100));
  joined.SetTable(after, AtMs(2100));
  run(2100, 2300);
  ASSERT_FALSE(recorded.empty());
  EXPECT_TRUE(std::includes(sent.begin(), sent.end(), recorded.begin(), recorded.end()))
      << sent.size() << " of " << recorded.size() << " records reached the new keeper";
}

// Guards against a record that nobody sends because each of two holders takes the other one for the sender.
TEST(FlowDeciderTest, HoldersAgreeOnTheSenderWhenChangesComeInDifferentOrder) { ExpectHoldersAgreeOnTheSender(false); }

// Guards against a window of time that starts at an earlier change, and ends between the two changes.
TEST(FlowDeciderTest, HoldersAgreeOnTheSenderAfterAnEarlierChange) { ExpectHoldersAgreeOnTheSender(true); }

// Guards against a balancer that decides by a stale table although it can reach a balancer with a confirmed one.
TEST(FlowDeciderTest, AStaleBalancerAsksAFreshPeer) {
  TargetJoinFixture fixture(2);
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  decider.SetContact(FreshContact(AtMs(0), 2));
  EXPECT_EQ(decider.Decide(PacketOf(1, PacketKind::kFirst), AtMs(900)).m_kind, DecisionKind::kTarget);
  const Decision decision = decider.Decide(PacketOf(1, PacketKind::kFirst), AtMs(1100));
  EXPECT_EQ(decision.m_kind, DecisionKind::kBalancer);
  EXPECT_EQ(decision.m_reason, ForwardReason::kStaleTable);
  Packet forwarded = PacketOf(1, PacketKind::kFirst);
  forwarded.m_reason = ForwardReason::kStaleTable;
  forwarded.m_hop_count = 1;
  EXPECT_EQ(decider.Decide(forwarded, AtMs(1100)).m_kind, DecisionKind::kTarget);
  decider.SetContact(FreshContact(AtMs(0)));
  EXPECT_EQ(decider.Decide(PacketOf(1, PacketKind::kFirst), AtMs(1100)).m_kind, DecisionKind::kTarget);
}

// Guards against a base list that the coordinator retires too early, because the idle time also counts the time before
// the change.
TEST(FlowDeciderTest, BaseIdleTimeStartsWithTheChange) {
  TargetJoinFixture fixture;
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  const std::uint32_t flow = fixture.MovingFlow();
  fixture.StartLearning();
  decider.SetTable(fixture.Build(1, 1), AtMs(500'000));
  fixture.StartMoving();
  decider.SetTable(fixture.Build(1, 1), AtMs(501'000));
  EXPECT_EQ(decider.BaseIdleSeconds(ServiceId{1}, DataCentreId{1}, AtMs(503'000)), 2U);
  decider.SetContact(FreshContact(AtMs(504'000)));
  static_cast<void>(decider.Decide(PacketOf(flow, PacketKind::kLater), AtMs(504'000)));
  EXPECT_EQ(decider.BaseIdleSeconds(ServiceId{1}, DataCentreId{1}, AtMs(510'000)), 6U);
}

// Guards against packets that an isolated balancer sends to another data centre, which may have been taken out without
// its knowledge (P4), and against dropping the flows of its own data centre. An unknown service gives its own error.
TEST(FlowDeciderTest, AnIsolatedBalancerServesItsOwnDataCentreOnly) {
  TableFixture fixture;
  fixture.AddDataCentre(1);
  fixture.AddDataCentre(2);
  fixture.AddService(1, {1, 2});
  fixture.AddTarget(1, 1, 1);
  fixture.AddTarget(1, 2, 1);
  fixture.AddBalancer(1, 1);
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  decider.SetContact(FreshContact(AtMs(0)));
  std::size_t dropped = 0;
  for (std::uint32_t flow = 0; flow < 100; ++flow) {
    const Decision before = decider.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(2900));
    ASSERT_EQ(before.m_kind, DecisionKind::kTarget);
    const Decision after = decider.Decide(PacketOf(flow, PacketKind::kLater), AtMs(3100));
    const bool is_remote = before.m_target == TargetId{1201};
    EXPECT_EQ(after.m_code, is_remote ? ErrorCode::kPacketNoTarget : ErrorCode::kOk);
    dropped += is_remote ? 1 : 0;
  }
  EXPECT_GT(dropped, 0U);
  EXPECT_EQ(decider.Decide(PacketOf(1, PacketKind::kFirst, 9), AtMs(0)).m_code, ErrorCode::kPacketUnknownService);
}

// Guards against flows of a cut-off data centre that move to another one, and against new flows that fail although
// other data centres can serve them.
TEST(FlowDeciderTest, FirstPacketsForACutOffDataCentreOpenAtReachableOnes) {
  TableFixture fixture;
  fixture.AddDataCentre(1);
  fixture.AddDataCentre(2);
  fixture.AddService(1, {1, 2});
  fixture.AddTarget(1, 1, 1);
  fixture.AddTarget(1, 2, 1);
  fixture.AddBalancer(1, 1);
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  decider.SetContact(FreshContact(AtMs(0)));
  std::uint32_t flow = 0;
  while (decider.Decide(PacketOf(flow, PacketKind::kFirst), AtMs(0)).m_target != TargetId{1201}) ++flow;
  std::uint32_t next = flow + 1;
  while (decider.Decide(PacketOf(next, PacketKind::kFirst), AtMs(0)).m_target != TargetId{1201}) ++next;
  fixture.m_cut_off = {DataCentreId{2}};
  decider.SetTable(fixture.Build(1, 1), AtMs(10'000));
  decider.SetContact(FreshContact(AtMs(10'000)));
  EXPECT_EQ(decider.Decide(PacketOf(flow, PacketKind::kLater), AtMs(10'000)).m_code, ErrorCode::kPacketNoTarget);
  EXPECT_EQ(decider.Decide(PacketOf(next, PacketKind::kFirst), AtMs(10'000)).m_target, TargetId{1101});
  EXPECT_EQ(decider.Decide(PacketOf(next, PacketKind::kLater), AtMs(10'001)).m_target, TargetId{1101});
  fixture.m_cut_off.clear();
  fixture.m_recently_cut_off = {DataCentreId{2}};
  decider.SetTable(fixture.Build(1, 1), AtMs(10'500));
  EXPECT_EQ(decider.Decide(PacketOf(next, PacketKind::kLater), AtMs(10'500)).m_target, TargetId{1101});
  EXPECT_EQ(decider.Decide(PacketOf(flow, PacketKind::kLater), AtMs(10'500)).m_target, TargetId{1201});
}

// Guards against a stalled flow that is never reset, so that its caller cannot reconnect (P12), and against resets of
// flows that send keep-alives or whose target makes no progress with any flow.
TEST(StalledFlowDetectorTest, ResetsAFlowThatRepeatsWhileOthersProgress) {
  StalledFlowDetector detector;
  const auto segment = [](std::uint32_t flow, std::uint32_t sequence, std::uint32_t bytes) {
    Packet packet = PacketOf(flow, PacketKind::kLater);
    packet.m_tcp.m_sequence = sequence;
    packet.m_payload_bytes = bytes;
    return packet;
  };
  bool stalled = false;
  for (int ms = 0; ms <= 8000; ms += 1000) stalled |= detector.IsStalled(segment(1, 5, 100), TargetId{1}, AtMs(ms));
  EXPECT_FALSE(stalled) << "no other flow makes progress";
  for (std::uint32_t sequence = 1; sequence < 4; ++sequence) {
    EXPECT_FALSE(detector.IsStalled(segment(2, sequence, 100), TargetId{1}, AtMs(8500)));
  }
  EXPECT_TRUE(detector.IsStalled(segment(1, 5, 100), TargetId{1}, AtMs(9000)));
  for (int ms = 9000; ms <= 20000; ms += 1000) {
    EXPECT_FALSE(detector.IsStalled(segment(3, 7, 1), TargetId{1}, AtMs(ms)));
  }
}

}  // namespace
}  // namespace fighatch
