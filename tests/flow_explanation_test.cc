#include "balancer/flow_explanation.h"

#include <gtest/gtest.h>

#include "flow_test_support.h"

namespace fighatch::daemon {
namespace {

// A service whose slots move from target 1 to target 2, with one balancer, which is the keeper of all flows.
TableFixture MovingFixture() {
  TableFixture fixture;
  fixture.AddDataCentre(1);
  fixture.AddService(1, {1});
  fixture.AddBalancer(1, 1);
  const TargetId first = fixture.AddTarget(1, 1, 1);
  const TargetId second = fixture.AddTarget(1, 1, 2, false);
  OwnerTable& table = fixture.Table(1, 1);
  table.m_phase = TransitionPhase::kMoving;
  table.m_base = {{first.m_value, 16}};
  table.m_current = {{second.m_value, 16}};
  return fixture;
}

// Guards against an explanation that differs from the decision of the data path for the flow's packets.
TEST(FlowExplanationTest, AgreesWithTheDecision) {
  const TableFixture fixture = MovingFixture();
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  decider.SetContact(FreshContact(AtMs(0)));
  const Packet opened = PacketOf(1, PacketKind::kFirst);
  const TargetId target = decider.Decide(opened, AtMs(1)).m_target;
  const Packet established = PacketOf(2, PacketKind::kLater);
  EXPECT_EQ(ExplainFlow(decider, opened.m_key, opened.m_flow_hash).m_target, target);
  EXPECT_EQ(ExplainFlow(decider, established.m_key, established.m_flow_hash).m_target,
            decider.Decide(established, AtMs(2)).m_target);
  EXPECT_NE(target, decider.Decide(established, AtMs(2)).m_target);
}

// Guards against an operator's query that adds a record or resets the idle time of the base list, which would keep a
// transition open.
TEST(FlowExplanationTest, DoesNotModifyTheDecider) {
  const TableFixture fixture = MovingFixture();
  FlowDecider decider(OptionsOf(1));
  decider.SetTable(fixture.Build(1, 1), AtMs(0));
  decider.SetContact(FreshContact(AtMs(0)));
  const Packet datagram = PacketOf(3, PacketKind::kDatagram);
  (void)ExplainFlow(decider, datagram.m_key, datagram.m_flow_hash);
  EXPECT_EQ(decider.Records().size(), 0U);
  EXPECT_EQ(decider.BaseIdleSeconds(ServiceId{1}, DataCentreId{1}, AtMs(60'000)), 60U);
}

}  // namespace
}  // namespace fighatch::daemon
