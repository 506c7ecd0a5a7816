#include "fighatch/priority_shares.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "steering_fixture.h"

namespace fighatch {
namespace {

using testing_support::Balancer;
using testing_support::kPublicAddress;
using testing_support::kService;
using testing_support::LaterPacket;
using testing_support::MakeRoute;
using testing_support::MakeState;
using testing_support::MakeTarget;
using testing_support::milliseconds;
using testing_support::OpeningPacket;

constexpr std::uint32_t kHigh = 1;
constexpr std::uint32_t kLow = 2;
constexpr milliseconds kObjective{600};

// The shares of one of ten balancers in virtual time; the room is 200 requests per second.
class PrioritySharesTest : public testing::Test {
 protected:
  static constexpr double kRoom = 200;
  static constexpr std::size_t kBalancers = 10;

  PrioritySharesTest() {
    m_shares.SetBalancers(kBalancers);
    SetRoom({kHigh, kLow}, milliseconds(60));
  }

  void SetRoom(const std::set<std::uint32_t>& priorities, milliseconds request_time) {
    m_shares.SetRoom(m_now, kService, {kRoom, request_time, kObjective, priorities});
  }

  // Offers flows at both rates for a time, and takes all tokens; returns the number of tokens by priority.
  std::map<std::uint32_t, int> Offer(double high_rate, double low_rate, milliseconds length) {
    std::map<std::uint32_t, int> taken;
    std::map<std::uint32_t, double> due;
    for (milliseconds passed{0}; passed < length; ++passed) {
      m_now += milliseconds(1);
      for (const auto& [priority, rate] : {std::pair(kHigh, high_rate), std::pair(kLow, low_rate)}) {
        for (due[priority] += rate / 1000; due[priority] >= 1; due[priority] -= 1) {
          m_shares.RecordOffered(m_now, kService, priority);
          taken[priority] += m_shares.TakeToken(m_now, kService, priority) ? 1 : 0;
        }
      }
      if (passed.count() % 50 == 0) SetRoom({kHigh, kLow}, milliseconds(60));
    }
    return taken;
  }

  TimePoint m_now{std::chrono::seconds(100)};
  PriorityShares m_shares;
};

// Guards against a balancer that takes more or less than an equal share while it knows nothing of the others.
TEST_F(PrioritySharesTest, WithoutReportsTheShareIsEqual) {
  Offer(20, 40, milliseconds(1500));
  EXPECT_TRUE(m_shares.IsShortOfRoom(kService));
  EXPECT_DOUBLE_EQ(m_shares.ShareRate(kService), kRoom / kBalancers);
}

// Guards against lower priorities that starve, and against a floor that they do not ask for.
TEST_F(PrioritySharesTest, LowerPriorityKeepsItsFloor) {
  Offer(60, 60, milliseconds(2000));
  const auto taken = Offer(60, 60, milliseconds(5000));
  const double share = kRoom / kBalancers * 5;
  EXPECT_GE(taken.at(kLow), PriorityShares::kFloorFraction * share - 1);
  EXPECT_GE(taken.at(kHigh), (1 - PriorityShares::kFloorFraction) * share - 1);
  Offer(60, 0, milliseconds(4000));
  EXPECT_GE(Offer(60, 0, milliseconds(5000)).at(kHigh), share - 1);
}

// Guards against tokens that the higher priority leaves unused and nobody gets, and against a higher priority that gets
// them back late.
TEST_F(PrioritySharesTest, UnusedTokensAreLentAndReturnAtOnce) {
  Offer(5, 60, milliseconds(3000));
  const auto taken = Offer(5, 60, milliseconds(5000));
  EXPECT_GE(taken.at(kHigh), 24);
  EXPECT_GE(taken.at(kLow), 100 - 25 - 3);
  EXPECT_GT(m_shares.Counters(kService).at(kLow).m_lent, 0);
  EXPECT_GE(Offer(18, 60, milliseconds(1000)).at(kHigh), 17);
}

// Guards against shares that do not follow the demand of the others, and against old or repeated reports that count.
TEST_F(PrioritySharesTest, ShareFollowsReportedDemand) {
  Offer(20, 40, milliseconds(3000));
  m_shares.SetDemand(m_now, kService, {{{kHigh, 10.0}}, kBalancers - 1});
  m_shares.SetDemand(m_now, kService, {{{kHigh, 60.0}, {kLow, 120.0}}, kBalancers - 1});
  SetRoom({kHigh, kLow}, milliseconds(60));
  EXPECT_NEAR(m_shares.ShareRate(kService) / kRoom, 60.0 / 240, 0.02);
  m_shares.SetDemand(m_now, kService, {{{kLow, 6000.0}}, kBalancers - 1});
  SetRoom({kHigh, kLow}, milliseconds(60));
  EXPECT_DOUBLE_EQ(m_shares.ShareRate(kService), kRoom / kBalancers / 2);
  Offer(20, 40, std::chrono::duration_cast<milliseconds>(PriorityShares::kDemandLifetime) + milliseconds(60));
  EXPECT_DOUBLE_EQ(m_shares.ShareRate(kService), kRoom / kBalancers);
}

// Guards against a balancer that takes all of the room because the others report no demand.
TEST_F(PrioritySharesTest, ShareIsNeverTheWholeRoom) {
  Offer(200, 400, milliseconds(1000));
  m_shares.SetDemand(m_now, kService, {{{kLow, 0.0}}, kBalancers - 1});
  SetRoom({kHigh, kLow}, milliseconds(60));
  EXPECT_LT(m_shares.ShareRate(kService), kRoom);
  m_shares.SetBalancers(1);
  SetRoom({kHigh, kLow}, milliseconds(60));
  EXPECT_DOUBLE_EQ(m_shares.ShareRate(kService), kRoom);
}

// Guards against limits on services with one priority, or whose flows carry many requests.
TEST_F(PrioritySharesTest, OtherServicesAreNeverShort) {
  Offer(200, 400, milliseconds(1000));
  EXPECT_EQ(m_shares.TakeChanges().size(), 1U);
  SetRoom({kHigh, kLow}, kObjective);
  EXPECT_FALSE(m_shares.IsShortOfRoom(kService));
  SetRoom({kLow}, milliseconds(60));
  EXPECT_FALSE(m_shares.IsShortOfRoom(kService));
  EXPECT_TRUE(m_shares.TakeToken(m_now, kService, kLow));
  EXPECT_EQ(m_shares.TakeChanges().size(), 1U);
}

// A balancer whose service has two routes with different priorities, and four targets.
class SharedSteeringTest : public testing::Test {
 protected:
  static constexpr std::uint32_t kTargets = 4;

  SharedSteeringTest() {
    PublishedState state = MakeState();
    state.m_routing.m_routes[kPublicAddress].m_objective_ms = kObjective.count();
    Route low = state.m_routing.m_routes[kPublicAddress];
    low.m_address.m_port += 1;
    low.m_priority = kLow;
    state.m_routing.m_routes[low.m_address] = low;
    m_low_address = low.m_address;
    state.m_routing.m_services[kService].m_cold_flows_per_second = 2;
    m_balancer.ApplyState(state);
    for (std::uint32_t number = 0; number < kTargets; ++number) m_balancer.AddTarget(MakeTarget(number));
  }

  // Serves one flow at a time to its end.
  void Serve(std::uint32_t flows, const std::function<milliseconds(TargetId)>& time_of) {
    for (std::uint32_t flow = 0; flow < flows; ++flow) {
      const SteeringDecision decision = m_balancer.Open(++m_client);
      m_balancer.Advance(time_of(decision.m_target));
      (void)m_balancer.Steer(LaterPacket(m_client, decision.m_cookie, true));
    }
  }

  [[nodiscard]] double Room() {
    m_balancer.Advance(milliseconds(110));
    m_balancer.Steering().RefreshLoadCounts(m_balancer.Now());
    return m_balancer.Steering().Shares().Room(kService)->m_requests_per_second;
  }

  void OfferUntilShort() {
    m_balancer.Steering().SetDemand(m_balancer.Now(), kService, {{{kLow, 10000.0}}, 1});
    m_balancer.Steering().SetBalancers({HostId{1}, HostId{2}});
    (void)Room();
    ASSERT_TRUE(m_balancer.Steering().IsShortOfRoom(kService));
  }

  Balancer m_balancer{1, MakeRandomChoice(Random(1))};
  Endpoint m_low_address;
  std::uint32_t m_client = 0;
};

// Guards against shares that collapse because queueing at targets counts as processing time: with two flows in progress
// for each slot, flows take twice as long, and the room stays the same.
TEST_F(SharedSteeringTest, QueueingDoesNotShrinkTheRoom) {
  Serve(50, [](TargetId) { return milliseconds(60); });
  const double room = Room();
  OfferUntilShort();
  AdmissionQueue queue;
  std::map<std::uint32_t, SteeringDecision> placed;
  for (std::uint32_t step = 0; step < 1000; ++step) {
    m_balancer.Steering().SetDemand(m_balancer.Now(), kService, {{{kLow, 10000.0}}, 1});
    (void)m_balancer.Steering().ReleaseSharedPackets(m_balancer.Now(), &queue);
    const SteeringDecision decision = m_balancer.Open(++m_client);
    if (decision.m_placed) placed[m_client] = decision;
    if (placed.size() >= 4) {
      const auto [client, first] = *placed.begin();
      placed.erase(client);
      // With the step below, each of the four flows takes 120 ms.
      m_balancer.Advance(milliseconds(25));
      (void)m_balancer.Steer(LaterPacket(client, first.m_cookie, true));
    }
    m_balancer.Advance(milliseconds(5));
  }
  EXPECT_TRUE(m_balancer.Steering().IsShortOfRoom(kService));
  EXPECT_GE(Room(), room * 0.99);
}

// Guards against a room that is overestimated because slow targets end few flows, so that they hardly change the mean.
TEST_F(SharedSteeringTest, SlowTargetsCountWithTheirOwnTime) {
  Serve(200, [](TargetId target) { return milliseconds(target == TargetId{0x1000} ? 600 : 60); });
  const double fast = 2 * 1000 / 60.0;
  EXPECT_LE(Room(), 3 * fast + 2 * 1000 / 600.0 + 1);
}

// Guards against cold targets that count with what they will serve once they are warm.
TEST_F(SharedSteeringTest, ColdTargetsCountWithTheirAdmissionRate) {
  Serve(50, [](TargetId) { return milliseconds(50); });
  const double room = Room();
  AnnouncedTarget cold = MakeTarget(kTargets);
  cold.m_cold_left_ms = 60000;
  m_balancer.AddTarget(cold);
  EXPECT_NEAR(Room(), room + 2, 0.01);
}

// Guards against packets that wait although their answer would be late in any case, and against targets that get more
// than two flows per slot while their service is short.
TEST_F(SharedSteeringTest, RefusesWhatCannotBeInTimeAndKeepsQueuesShort) {
  Serve(50, [](TargetId) { return milliseconds(60); });
  OfferUntilShort();
  AdmissionQueue queue;
  std::uint32_t placed = 0;
  for (std::uint32_t count = 0; count < 300; ++count) {
    CookiePacket packet = OpeningPacket(++m_client);
    packet.m_endpoints.m_service = count % 2 == 0 ? kPublicAddress : m_low_address;
    const SteeringDecision decision = m_balancer.Steer(packet);
    placed += decision.m_placed ? 1 : 0;
    if (decision.m_action != SteeringAction::kHold) continue;
    queue.Put({packet, decision.m_priority, m_balancer.Now(), {}, decision.m_objective_deadline});
  }
  std::uint32_t refused = 0;
  for (const ReleasedPacket& packet : m_balancer.Steering().ReleaseSharedPackets(m_balancer.Now(), &queue)) {
    placed += packet.m_decision.m_placed ? 1 : 0;
    refused += packet.m_decision.m_action == SteeringAction::kReset ? 1 : 0;
  }
  const double most_in_time = 8 / 0.06 * 0.6;
  EXPECT_LE(queue.Size(), most_in_time);
  EXPECT_EQ(placed + refused + queue.Size(), 300U);
  EXPECT_LE(placed, kTargets * 2 * 2);
  CookiePacket late = OpeningPacket(++m_client, 2);
  EXPECT_EQ(m_balancer.Steer(late).m_action, SteeringAction::kReset);
}

}  // namespace
}  // namespace fighatch
