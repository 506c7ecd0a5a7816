#include <gtest/gtest.h>

#include <set>

#include "steering_fixture.h"

namespace fighatch {
namespace {

using testing_support::Balancer;
using testing_support::kPublicAddress;
using testing_support::LaterPacket;
using testing_support::MakeState;
using testing_support::MakeTarget;
using testing_support::milliseconds;
using testing_support::OpeningPacket;

// Guards against flows that move when another balancer, which has no state for them, receives their packets.
TEST(CookieSteeringTest, AnyBalancerFindsTheTargetOfAPacket) {
  Balancer first(1);
  Balancer second(2);
  for (Balancer* balancer : {&first, &second}) {
    balancer->ApplyState(MakeState());
    for (std::uint32_t number = 1; number <= 5; ++number) balancer->AddTarget(MakeTarget(number));
  }
  const SteeringDecision placed = first.Steer(OpeningPacket(7));
  ASSERT_EQ(placed.m_action, SteeringAction::kForward);
  const SteeringDecision followed = second.Steer(LaterPacket(7, placed.m_cookie));
  EXPECT_EQ(followed.m_action, SteeringAction::kForward);
  EXPECT_EQ(followed.m_target, placed.m_target);
  EXPECT_EQ(followed.m_endpoint, placed.m_endpoint);
}

// Opens a flow whose target answers at once, and ends it.
SteeringDecision OpenAndClose(Balancer* balancer, std::uint32_t client) {
  const SteeringDecision decision = balancer->Open(client);
  (void)balancer->Steer(LaterPacket(client, decision.m_cookie, true));
  return decision;
}

AnnouncedTarget Silent(std::uint32_t number) { return MakeTarget(number, "a", RecordState::kSilent); }

// Guards against refused flows while all targets of a service are reported silent together: the likeliest cause is that
// their announcements do not arrive.
TEST(CookieSteeringTest, ServiceWhoseTargetsAllFellSilentIsStillServed) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  for (std::uint32_t number = 1; number <= 3; ++number) balancer.AddTarget(MakeTarget(number));
  balancer.Advance(milliseconds(5000));
  for (std::uint32_t number = 1; number <= 3; ++number) balancer.AddTarget(Silent(number));
  for (std::uint32_t client = 1; client <= 20; ++client) {
    EXPECT_EQ(OpenAndClose(&balancer, client).m_action, SteeringAction::kForward);
    balancer.Advance(milliseconds(100));
  }
}

// Guards against a verdict of silence that counts more than flows which the target has just accepted, and against a
// target that stays in use although it is silent and accepts nothing.
TEST(CookieSteeringTest, SilentTargetIsUsedWhileItAcceptsFlows) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  balancer.AddTarget(MakeTarget(2));
  std::uint32_t client = 0;
  const auto targets_of_next_flows = [&](milliseconds interval) {
    std::set<TargetId> used;
    // Two flows at a time, so that the second one finds the other target less loaded.
    for (int pair = 0; pair < 6; ++pair) {
      const SteeringDecision first = balancer.Open(++client);
      used.insert(first.m_target);
      used.insert(OpenAndClose(&balancer, ++client).m_target);
      (void)balancer.Steer(LaterPacket(client - 1, first.m_cookie, true));
      balancer.Advance(interval);
    }
    return used;
  };
  EXPECT_EQ(targets_of_next_flows(milliseconds(20)).size(), 2U);
  balancer.AddTarget(Silent(1));
  EXPECT_EQ(targets_of_next_flows(milliseconds(20)).size(), 2U);
  balancer.Advance(milliseconds(1100));
  EXPECT_EQ(targets_of_next_flows(milliseconds(20)), std::set<TargetId>{MakeTarget(2).m_id});
}

// Guards against a balancer that stays with a wrong state, or without a route, after it has refused a difference.
TEST(CookieSteeringTest, RefusedDifferenceIsReplacedByTheWholeState) {
  Balancer balancer;
  balancer.ApplyState(MakeState(1));
  balancer.AddTarget(MakeTarget(1));
  CookieSteering& steering = balancer.Steering();
  PublishedState next = MakeState(2);
  next.m_digest = StateDigest(next);
  RoutingUpdate wrong = MakeUpdate(MakeState(1), next);
  ++wrong.m_base.m_digest;
  EXPECT_EQ(steering.Update(balancer.Now(), wrong), UpdateOutcome::kDigestMismatch);
  EXPECT_EQ(steering.HeldState(), StatePosition{});
  EXPECT_EQ(steering.State().m_index, 1U);
  EXPECT_EQ(balancer.Steer(OpeningPacket(1)).m_action, SteeringAction::kForward);
  EXPECT_EQ(steering.Update(balancer.Now(), MakeUpdate({}, next)), UpdateOutcome::kApplied);
  EXPECT_EQ(steering.HeldState(), next.Position());
}

// Guards against the refusal of an opening packet that resets a flow which is open.
TEST(CookieSteeringTest, KnowsOpenFlows) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  const FlowEndpoints endpoints = OpeningPacket(1).m_endpoints;
  EXPECT_FALSE(balancer.Steering().IsOpen(endpoints));
  const SteeringDecision decision = balancer.Open(1);
  EXPECT_TRUE(balancer.Steering().IsOpen(endpoints));
  (void)balancer.Steer(LaterPacket(1, decision.m_cookie, true));
  EXPECT_FALSE(balancer.Steering().IsOpen(endpoints));
}

// Guards against flows to the targets of a data centre that is out of service because all others are silent.
TEST(CookieSteeringTest, SilentTargetOfDataCentreThatIsOutGetsNothing) {
  Balancer balancer;
  PublishedState state = MakeState();
  state.m_data_centres_out.insert("a");
  balancer.ApplyState(state);
  balancer.AddTarget(MakeTarget(1));
  balancer.Advance(milliseconds(5000));
  balancer.AddTarget(Silent(1));
  EXPECT_EQ(balancer.Steer(OpeningPacket(1)).m_action, SteeringAction::kReset);
}

// Guards against a reset of an open flow by a balancer that does not know its target yet.
TEST(CookieSteeringTest, UnknownCookieIsDroppedAndNotReset) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  EXPECT_EQ(balancer.Steer(LaterPacket(1, 0x77)).m_action, SteeringAction::kDrop);
  EXPECT_EQ(balancer.Steer(LaterPacket(1, 0)).m_action, SteeringAction::kDrop);
}

// Guards against open flows broken by changes: routes, data centres and drains affect new flows only.
TEST(CookieSteeringTest, ChangesLeaveOpenFlowsWhereTheyAre) {
  Balancer balancer;
  balancer.ApplyState(MakeState(1));
  balancer.AddTarget(MakeTarget(1));
  const SteeringDecision placed = balancer.Open(1);
  PublishedState next = MakeState(2);
  next.m_routing.m_routes.clear();
  next.m_data_centres_out.insert("a");
  balancer.ApplyState(next);
  AnnouncedTarget draining = MakeTarget(1, "a", RecordState::kDraining);
  draining.m_sequence = 2;
  balancer.AddTarget(draining);
  const SteeringDecision later = balancer.Steer(LaterPacket(1, placed.m_cookie));
  EXPECT_EQ(later.m_action, SteeringAction::kForward);
  EXPECT_EQ(later.m_target, placed.m_target);
}

// Guards against new flows at a target that drains, also if an earlier announcement arrives late.
TEST(CookieSteeringTest, DrainingTargetGetsNoNewFlows) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  balancer.AddTarget(MakeTarget(2));
  AnnouncedTarget draining = MakeTarget(1, "a", RecordState::kDraining);
  draining.m_sequence = 5;
  balancer.AddTarget(draining);
  balancer.AddTarget(MakeTarget(1));
  for (std::uint32_t client = 1; client <= 4; ++client) {
    EXPECT_EQ(balancer.Open(client).m_target, MakeTarget(2).m_id);
  }
}

// Guards against new flows to a data centre that is out of service; without any other they are refused at once.
TEST(CookieSteeringTest, DataCentreOutGetsNoNewFlows) {
  Balancer balancer;
  balancer.ApplyState(MakeState(1));
  balancer.AddTarget(MakeTarget(1, "a"));
  balancer.AddTarget(MakeTarget(2, "b"));
  PublishedState next = MakeState(2);
  next.m_data_centres_out = {"a"};
  balancer.ApplyState(next);
  EXPECT_EQ(balancer.Open(1).m_target, MakeTarget(2).m_id);
  next.m_index = 3;
  next.m_data_centres_out = {"a", "b"};
  balancer.ApplyState(next);
  balancer.Advance(milliseconds(5000));
  EXPECT_EQ(balancer.Steer(OpeningPacket(2)).m_action, SteeringAction::kReset);
}

// Guards against a return to an older state that a control host sends because it is behind.
TEST(CookieSteeringTest, OlderUpdateChangesNothing) {
  Balancer balancer;
  balancer.ApplyState(MakeState(5));
  PublishedState old = MakeState(3);
  old.m_routing.m_routes.clear();
  balancer.ApplyState(old);
  EXPECT_EQ(balancer.Steering().State().m_index, 5U);
  EXPECT_EQ(balancer.Steering().State().m_routing.m_routes.size(), 1U);
}

// Guards against callers that wait because there is no route for their address.
TEST(CookieSteeringTest, FlowWithoutRouteIsRefusedAtOnce) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  CookiePacket packet = OpeningPacket(1);
  packet.m_endpoints.m_service.m_port = 444;
  const SteeringDecision decision = balancer.Steer(packet);
  EXPECT_EQ(decision.m_action, SteeringAction::kReset);
  EXPECT_EQ(decision.m_reason, ErrorCode::kPacketUnknownService);
}

// Guards against resets from a balancer that has just started and knows neither routes nor targets: after an outage
// they used up all retries of the clients within milliseconds.
TEST(CookieSteeringTest, StartingBalancerHoldsOpeningPackets) {
  Balancer balancer;
  EXPECT_EQ(balancer.Steer(OpeningPacket(1)).m_action, SteeringAction::kHold);
  balancer.ApplyState(MakeState());
  EXPECT_EQ(balancer.Steer(OpeningPacket(1)).m_action, SteeringAction::kHold);
  balancer.AddTarget(MakeTarget(1));
  EXPECT_EQ(balancer.Steer(OpeningPacket(1)).m_action, SteeringAction::kForward);
}

// Guards against a retransmitted opening packet that goes to the target which did not answer the first one.
TEST(CookieSteeringTest, RetransmissionGoesToAnotherTarget) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  balancer.AddTarget(MakeTarget(2));
  const SteeringDecision first = balancer.Steer(OpeningPacket(1));
  balancer.Advance(milliseconds(200));
  const SteeringDecision second = balancer.Steer(OpeningPacket(1, 1));
  EXPECT_NE(first.m_target, second.m_target);
  // A retransmission that was in transit while the flow opened goes to the target of the flow.
  (void)balancer.Steer(LaterPacket(1, second.m_cookie));
  EXPECT_EQ(balancer.Steer(OpeningPacket(1, 2)).m_target, second.m_target);
}

// Guards against a dead target that keeps getting its share of new flows.
TEST(CookieSteeringTest, TargetThatDoesNotAnswerIsAvoided) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  balancer.AddTarget(MakeTarget(2, "b"));
  const TargetId dead = MakeTarget(1).m_id;
  int lost = 0;
  for (std::uint32_t client = 1; client <= 60; ++client) {
    SteeringDecision decision = balancer.Steer(OpeningPacket(client));
    if (decision.m_target == dead) {
      ++lost;
      balancer.Advance(milliseconds(200));
      decision = balancer.Steer(OpeningPacket(client, 1));
    }
    EXPECT_NE(decision.m_target, dead);
    (void)balancer.Steer(LaterPacket(client, decision.m_cookie));
    (void)balancer.Steer(LaterPacket(client, decision.m_cookie, true));
    balancer.Advance(milliseconds(10));
  }
  EXPECT_LE(lost, 3);
}

// Guards against new flows that try each target of an unreachable data centre in turn.
TEST(CookieSteeringTest, UnreachableDataCentreIsAvoidedAsAWhole) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  for (std::uint32_t number = 1; number <= 10; ++number) balancer.AddTarget(MakeTarget(number, "a"));
  balancer.AddTarget(MakeTarget(11, "b"));
  for (std::uint32_t client = 1; client <= 3; ++client) (void)balancer.Steer(OpeningPacket(client));
  balancer.Advance(milliseconds(200));
  for (std::uint32_t client = 1; client <= 3; ++client) (void)balancer.Steer(OpeningPacket(client, 1));
  EXPECT_EQ(balancer.Steer(OpeningPacket(4)).m_target, MakeTarget(11).m_id);
}

// Guards against a balancer that keeps receiving traffic although it can reach none of its targets.
TEST(CookieSteeringTest, ReportsThatNoTargetSeemsReachable) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  (void)balancer.Steer(OpeningPacket(1));
  EXPECT_FALSE(balancer.Steering().TargetsUnreachableAt().has_value());
  for (std::uint32_t copy = 1; copy <= 3; ++copy) {
    balancer.Advance(milliseconds(200));
    EXPECT_EQ(balancer.Steer(OpeningPacket(1, copy)).m_action, SteeringAction::kForward);
  }
  EXPECT_TRUE(balancer.Steering().TargetsUnreachableAt().has_value());
  balancer.Steering().ResetUnanswered();
  EXPECT_FALSE(balancer.Steering().TargetsUnreachableAt().has_value());
}

// Guards against clients that wait for a target that has certainly ended, and against a reset while it may still send.
TEST(CookieSteeringTest, FlowsOfAnEndedTargetAreReset) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  balancer.AddTarget(MakeTarget(2));
  const SteeringDecision flow = balancer.Open(1);
  AnnouncedTarget gone = MakeTarget(static_cast<std::uint32_t>(flow.m_target.m_value - 0x1000));
  gone.m_state = RecordState::kGone;
  balancer.AddTarget(gone);
  EXPECT_EQ(balancer.Steer(LaterPacket(1, flow.m_cookie)).m_action, SteeringAction::kForward);
  balancer.Advance(milliseconds(400));
  EXPECT_EQ(balancer.Steer(LaterPacket(1, flow.m_cookie)).m_reason, ErrorCode::kPacketTargetEnded);
}

// Guards against packets of old flows to a new target that has taken over the address of one that ended.
TEST(CookieSteeringTest, ReusedAddressEndsTheOldTarget) {
  Balancer balancer;
  PublishedState state = MakeState();
  state.m_routing.m_services["other"] = {"other", 0};
  balancer.ApplyState(state);
  balancer.AddTarget(MakeTarget(1));
  const SteeringDecision flow = balancer.Open(1);
  AnnouncedTarget other = MakeTarget(9);
  other.m_endpoint = MakeTarget(1).m_endpoint;
  other.m_service = "other";
  other.m_start_unix_ms = 999999;
  balancer.AddTarget(other);
  EXPECT_EQ(balancer.Steer(LaterPacket(1, flow.m_cookie)).m_action, SteeringAction::kReset);
  balancer.Advance(milliseconds(5000));
  EXPECT_NE(balancer.Steer(OpeningPacket(2)).m_action, SteeringAction::kForward);
}

// Guards against resets of open flows because another writer announced a service that no document names with the
// address of a running target.
TEST(CookieSteeringTest, UnnamedServiceAtTheAddressResetsNoFlow) {
  for (const bool state_is_first : {false, true}) {
    Balancer balancer;
    if (state_is_first) balancer.ApplyState(MakeState());
    balancer.AddTarget(MakeTarget(1));
    AnnouncedTarget other = MakeTarget(2);
    other.m_endpoint = MakeTarget(1).m_endpoint;
    other.m_service = "node-agent";
    balancer.AddTarget(other);
    EXPECT_EQ(balancer.Steer(LaterPacket(1, CookieOf(MakeTarget(1).m_id))).m_action, SteeringAction::kForward);
    balancer.ApplyState(MakeState());
    EXPECT_EQ(balancer.Open(2).m_target, MakeTarget(1).m_id);
    EXPECT_EQ(balancer.Steer(LaterPacket(2, CookieOf(MakeTarget(1).m_id))).m_action, SteeringAction::kForward);
  }
}

// Guards against new flows to targets that are full, and against targets that stay full because clients gave up without
// closing their flows: a silent flow stops counting as load.
TEST(CookieSteeringTest, FullTargetsHoldNewFlowsUntilSilentFlowsStopCounting) {
  Balancer balancer;
  balancer.ApplyState(MakeState());
  balancer.AddTarget(MakeTarget(1));
  std::uint32_t client = 0;
  while (balancer.Open(++client).m_action == SteeringAction::kForward) ASSERT_LT(client, 100U);
  EXPECT_EQ(client, 7U);
  EXPECT_EQ(balancer.Steering().ReleaseBudget(balancer.Now() + milliseconds(2000)), 0U);
  balancer.Advance(milliseconds(500));
  balancer.Steering().RefreshLoadCounts(balancer.Now());
  EXPECT_EQ(balancer.Steer(OpeningPacket(client)).m_action, SteeringAction::kForward);
}

// Guards against a cold target that gets more than its rate limit in total, from balancers that place flows without
// knowing each other's placements.
TEST(CookieSteeringTest, ColdTargetGetsItsRateOverAllBalancers) {
  constexpr double kRate = 10;
  for (const std::uint32_t count : {1U, 8U, 50U}) {
    std::vector<HostId> hosts;
    for (std::uint32_t host = 1; host <= count; ++host) hosts.push_back(HostId{host});
    std::uint32_t at_cold = 0;
    for (const HostId host : hosts) {
      Balancer balancer(host.m_value);
      PublishedState state = MakeState();
      state.m_routing.m_services[testing_support::kService].m_cold_flows_per_second = kRate;
      balancer.ApplyState(state);
      balancer.Steering().SetBalancers(hosts);
      AnnouncedTarget cold = MakeTarget(1);
      cold.m_cold_left_ms = 2000;
      balancer.AddTarget(cold);
      balancer.AddTarget(MakeTarget(2, "b"));
      for (std::uint32_t step = 0; step < 100; ++step) {
        const SteeringDecision decision = balancer.Open(step);
        if (decision.m_action == SteeringAction::kForward) {
          at_cold += decision.m_target == cold.m_id ? 1 : 0;
          (void)balancer.Steer(LaterPacket(step, decision.m_cookie, true));
        }
        balancer.Advance(milliseconds(10));
      }
    }
    EXPECT_LE(at_cold, kRate * 1.5 + 5) << count << " balancers";
  }
}

// Guards against a cookie of 0, which stands for no cookie, and against a cookie that differs between hosts.
TEST(CookieSteeringTest, CookieIsNeverZero) {
  EXPECT_NE(CookieOf(TargetId{0}), 0U);
  EXPECT_NE(CookieOf(TargetId{0x0000000500000005}), 0U);
  EXPECT_EQ(CookieOf(TargetId{0x7f3a91c2}), 0x7f3a91c2U);
}

}  // namespace
}  // namespace fighatch
