#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "load_view_simulation.h"

namespace fighatch {
namespace {

using testing_support::Flows;
using testing_support::kService;
using testing_support::LoadViewSimulation;
using testing_support::milliseconds;
using testing_support::Site;

constexpr Duration kLifetime = milliseconds(600);

class LoadViewSizeTest : public testing::TestWithParam<std::uint32_t> {};
INSTANTIATE_TEST_SUITE_P(Balancers, LoadViewSizeTest, testing::Values(8, 65, 195));

// Guards against load that is counted twice or not at all, and against balancers that rarely get a summary.
TEST_P(LoadViewSizeTest, EachViewShowsAChangeWithinTwoIntervals) {
  LoadViewSimulation simulation(GetParam());
  for (int change = 0; change < 10; ++change) {
    simulation.Run(milliseconds(37 * change));
    simulation.ChangeLoad();
    simulation.Run(simulation.ViewInterval());
    ASSERT_NO_FATAL_FAILURE(simulation.ExpectTruth()) << change;
  }
}

// Guards against lost messages whose load is replaced by that of others, or counted for more balancers than it is.
TEST_P(LoadViewSizeTest, LossNeverAddsLoad) {
  LoadViewSimulation simulation(GetParam());
  for (Site& site : simulation.m_sites) site.m_rates = {{kService, 1, 2}, {kService, 2, 10}};
  simulation.m_loss_percent = 30;
  Flows all;
  for (const Site& site : simulation.m_sites) LoadViewSimulation::AddFlows(site, &all);
  for (int step = 0; step < 100; ++step) {
    simulation.Run(milliseconds(20));
    for (const Site& site : simulation.m_sites) {
      for (const auto& [cookie, flows] : LoadViewSimulation::SeenFlows(site)) ASSERT_LE(flows, all[cookie]);
      ServiceDemand demand = site.m_view.DemandOf(kService);
      ASSERT_LT(demand.m_balancers, GetParam());
      ASSERT_NEAR(demand.m_flows_per_second[2], 10.0 * demand.m_balancers, 0.001);
    }
  }
  simulation.m_loss_percent = 0;
  simulation.Run(simulation.ViewInterval());
  for (const Site& site : simulation.m_sites) EXPECT_EQ(site.m_view.DemandOf(kService).m_balancers, GetParam() - 1);
}

// Guards against load of a data centre that is cut off and stays in the sums, and against one that does not return.
TEST_P(LoadViewSizeTest, CutOffDataCentreLeavesTheSumAndReturns) {
  LoadViewSimulation simulation(GetParam());
  simulation.Run(simulation.ViewInterval());
  simulation.m_cut = "c";
  simulation.Run(kLifetime + milliseconds(1));
  ASSERT_NO_FATAL_FAILURE(simulation.ExpectTruth());
  simulation.m_cut.clear();
  simulation.Run(simulation.ViewInterval());
  ASSERT_NO_FATAL_FAILURE(simulation.ExpectTruth());
}

// Guards against a restarted balancer whose messages are refused because its sequence begins anew.
TEST_P(LoadViewSizeTest, RestartedSenderIsHeardOnceItsOldMessagesHaveExpired) {
  LoadViewSimulation simulation(GetParam());
  simulation.Run(milliseconds(3000));
  simulation.Start(&simulation.m_sites[1]);
  simulation.m_sites[1].m_rates[0].m_flows_per_second = 50;
  simulation.Run(kLifetime + simulation.ViewInterval());
  ASSERT_NO_FATAL_FAILURE(simulation.ExpectTruth());
}

// Guards against a host with a wrong clock that distorts the views of others for longer than one more interval.
TEST(LoadViewTest, WrongClockDelaysSummariesByOneInterval) {
  LoadViewSimulation simulation(65);
  Site& site = simulation.m_sites[4];
  site.m_clock_error = milliseconds(777777);
  simulation.Start(&site);
  for (int change = 0; change < 30; ++change) {
    simulation.ChangeLoad();
    simulation.Run(simulation.ViewInterval() + site.m_view.SummaryInterval());
    ASSERT_NO_FATAL_FAILURE(simulation.ExpectTruth()) << change;
    simulation.Run(milliseconds(change));
  }
}

// The mean of the errors of all views, relative to the number of flows, while flows come and go.
double ErrorOfViews(std::uint32_t balancers, bool has_summaries) {
  LoadViewSimulation simulation(balancers);
  simulation.m_has_summaries = has_summaries;
  double error = 0;
  double total = 0;
  for (int change = 0; change < 20; ++change) {
    simulation.ChangeLoad(6);
    simulation.Run(milliseconds(110));
    Flows all;
    for (const Site& site : simulation.m_sites) LoadViewSimulation::AddFlows(site, &all);
    for (const Site& site : simulation.m_sites) {
      Flows seen = LoadViewSimulation::SeenFlows(site);
      LoadViewSimulation::AddFlows(site, &seen);
      for (const auto& [cookie, flows] : all) {
        error += std::abs(static_cast<double>(seen[cookie]) - flows);
        total += flows;
      }
    }
  }
  return error / total;
}

// Guards against a view of flows that is further from the truth than with load reports alone.
TEST(LoadViewTest, SummariesReduceTheErrorOfTheFlowsSeen) {
  for (const std::uint32_t balancers : {65U, 195U}) {
    const double with_summaries = ErrorOfViews(balancers, true);
    const double without = ErrorOfViews(balancers, false);
    RecordProperty("error_percent_of_" + std::to_string(balancers), static_cast<int>(100 * with_summaries));
    RecordProperty("error_percent_of_reports_alone_" + std::to_string(balancers), static_cast<int>(100 * without));
    EXPECT_LT(with_summaries, without) << balancers;
  }
}

std::size_t MaxBytes(std::uint32_t balancers) {
  LoadViewSimulation simulation(balancers);
  simulation.Run(milliseconds(10000));
  std::size_t bytes = 0;
  for (const Site& site : simulation.m_sites) bytes = std::max(bytes, site.m_report_bytes + site.m_exchange_bytes);
  return bytes;
}

// Guards against messages of one balancer that grow with the deployment.
TEST(LoadViewTest, BytesOfABalancerDoNotGrowWithTheirNumber) {
  const std::size_t of_65 = MaxBytes(65);
  const std::size_t of_195 = MaxBytes(195);
  RecordProperty("bytes_per_second_of_65", static_cast<int>(of_65 / 10));
  RecordProperty("bytes_per_second_of_195", static_cast<int>(of_195 / 10));
  EXPECT_LE(of_195, of_65);
}

// Guards against a view that costs more than a tenth of the load reports while all services have room. The load is that
// of the deployment `mawid`: 100 flows in progress over 65 balancers.
TEST(LoadViewTest, OrdinaryDayCostsATenthOfTheReports) {
  LoadViewSimulation simulation(65);
  simulation.SetShortOfRoom(false);
  simulation.Run(LoadView::kShortagePeriod);
  std::size_t reports = 0;
  std::size_t exchange = 0;
  std::uint32_t most_balancers = 0;
  for (Site& site : simulation.m_sites) site.m_report_bytes = site.m_exchange_bytes = 0;
  for (int change = 0; change < 100; ++change) {
    simulation.ChangeLoad(100.0 / 65);
    simulation.Run(milliseconds(100));
    most_balancers = std::max(most_balancers, simulation.m_sites[0].m_view.DemandOf(kService).m_balancers);
  }
  for (const Site& site : simulation.m_sites) {
    reports += site.m_report_bytes;
    exchange += site.m_exchange_bytes;
  }
  EXPECT_EQ(most_balancers, 64U);
  RecordProperty("permille_of_reports", static_cast<int>(1000 * exchange / reports));
  EXPECT_LE(static_cast<double>(exchange), 0.1 * static_cast<double>(reports));
}

std::vector<BalancerPeer> MakePeers(const std::map<std::string, std::uint32_t>& sizes) {
  std::vector<BalancerPeer> peers;
  std::uint32_t host = 0;
  for (const auto& [data_centre, size] : sizes) {
    for (std::uint32_t index = 0; index < size; ++index) peers.push_back({HostId{++host}, data_centre});
  }
  return peers;
}

// Guards against balancers that get no summary for an interval, or several, where data centres differ in size, against
// one that always gets them from the same sender, and against an interval after which summaries have expired.
TEST(LoadViewTest, EachBalancerGetsASummaryForEachInterval) {
  const std::vector<std::vector<std::uint32_t>> all_sizes{
      {22, 9, 1}, {65, 65, 1}, {65, 65, 4}, {65, 40, 40}, {200, 200, 1}};
  for (const std::vector<std::uint32_t>& sizes : all_sizes) {
    const std::vector<BalancerPeer> peers = MakePeers({{"a", sizes[0]}, {"b", sizes[1]}, {"c", sizes[2]}});
    std::vector<LoadView> views;
    for (const BalancerPeer& peer : peers) {
      views.push_back(LoadView({peer.m_host, peer.m_data_centre}));
      views.back().SetBalancers({}, peers);
      EXPECT_LT(views.back().SummaryInterval(), kLifetime) << peer.m_data_centre << " of " << sizes[0];
    }
    std::map<std::pair<std::string, HostId>, HostId> last;
    for (std::uint64_t interval = 1000; interval < 1030; ++interval) {
      std::map<std::pair<std::string, HostId>, HostId> senders;
      for (std::size_t sender = 0; sender < peers.size(); ++sender) {
        for (const HostId host : views[sender].SummaryRecipients(interval)) {
          const std::pair key{peers[sender].m_data_centre, host};
          EXPECT_TRUE(senders.emplace(key, peers[sender].m_host).second) << "to " << host.m_value << " of " << sizes[0];
        }
      }
      ASSERT_EQ(senders.size(), 2 * peers.size());
      for (const auto& [key, sender] : last) {
        EXPECT_EQ(senders.at(key) != sender, key.first != "c" || sizes[2] > 1);
      }
      last = senders;
    }
  }
}

// A view of balancer 1 in a deployment of 20 balancers, 10 in each of two data centres.
class SmallViewTest : public testing::Test {
 protected:
  SmallViewTest() { m_view.SetBalancers(m_now, MakePeers({{"a", 10}, {"b", 10}})); }
  static LoadSummary Summary(std::uint32_t from, std::uint64_t sequence, std::uint16_t flows) {
    return {kLoadSummaryVersion, HostId{from}, "b", sequence, 10, true, {{7, flows}}, {{kService, 1, flows * 10.0}}};
  }
  std::uint32_t FlowsAtSeven() { return m_view.RemoteFlows()[7]; }

  TimePoint m_now{std::chrono::seconds(100)};
  LoadView m_view{{HostId{1}, "a"}};
};

// Guards against a sum or an average of summaries that contradict each other, and against one that arrives late.
TEST_F(SmallViewTest, NewestSummaryCounts) {
  EXPECT_TRUE(m_view.Receive(m_now, Summary(11, 5, 3)));
  EXPECT_TRUE(m_view.Receive(m_now, Summary(12, 1, 9)));
  EXPECT_EQ(FlowsAtSeven(), 9U);
  EXPECT_FALSE(m_view.Receive(m_now, Summary(11, 4, 30)));
  EXPECT_FALSE(m_view.Receive(m_now, Summary(11, 5, 30)));
  EXPECT_EQ(FlowsAtSeven(), 9U);
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 90);
  EXPECT_TRUE(m_view.Receive(m_now + kLifetime, Summary(11, 1, 2)));
  EXPECT_EQ(FlowsAtSeven(), 2U);
  EXPECT_TRUE(m_view.RemoveExpired(m_now + 2 * kLifetime + milliseconds(1)));
  EXPECT_EQ(FlowsAtSeven(), 0U);
}

// Guards against flows that vanish from the view although nothing changed: by a summary without flows of a sender that
// has room, which replaces those of a sender that is short of it, or which hides load reports.
TEST_F(SmallViewTest, SummaryWithoutFlowsReplacesOnlyRates) {
  LoadSummary without_flows = Summary(12, 1, 4);
  without_flows.m_has_flows = false;
  without_flows.m_loads.clear();
  EXPECT_TRUE(m_view.Receive(m_now, LoadReport{HostId{13}, 1, {{7, 2}}}));
  EXPECT_TRUE(m_view.Receive(m_now, OfferedLoad{kOfferedLoadVersion, HostId{13}, 1, {{kService, 1, 5}}}));
  EXPECT_TRUE(m_view.Receive(m_now, without_flows));
  EXPECT_EQ(FlowsAtSeven(), 2U);
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 40);
  EXPECT_TRUE(m_view.Receive(m_now, Summary(11, 1, 3)));
  EXPECT_EQ(FlowsAtSeven(), 3U);
  ++without_flows.m_sequence;
  EXPECT_TRUE(m_view.Receive(m_now + milliseconds(300), without_flows));
  EXPECT_EQ(FlowsAtSeven(), 3U);
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 40);
  EXPECT_TRUE(m_view.RemoveExpired(m_now + kLifetime + milliseconds(1)));
  EXPECT_EQ(FlowsAtSeven(), 0U);
  EXPECT_EQ(m_view.DemandOf(kService).m_balancers, 10U);
}

// Guards against rates of a whole data centre that are replaced by those of a balancer that has heard of few others.
TEST_F(SmallViewTest, RatesOfFewBalancersDoNotReplaceThoseOfMany) {
  EXPECT_TRUE(m_view.Receive(m_now, Summary(11, 1, 3)));
  LoadSummary of_few = Summary(12, 1, 1);
  of_few.m_balancers = 4;
  EXPECT_TRUE(m_view.Receive(m_now, of_few));
  EXPECT_EQ(m_view.DemandOf(kService).m_balancers, 10U);
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 30);
  LoadSummary of_half = Summary(13, 1, 2);
  of_half.m_balancers = 5;
  EXPECT_TRUE(m_view.Receive(m_now, of_half));
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 20);
  EXPECT_TRUE(m_view.Receive(m_now, Summary(11, 2, 3)));
  ++of_few.m_sequence;
  EXPECT_TRUE(m_view.Receive(m_now + kLifetime + milliseconds(1), of_few));
  EXPECT_EQ(m_view.DemandOf(kService).m_balancers, 4U);
}

// Guards against load that is counted twice: by a summary and by reports of the same data centre, which arrive together
// while the number of balancers crosses the limit, or by a summary that repeats the load of other data centres.
TEST_F(SmallViewTest, NothingIsCountedTwice) {
  EXPECT_TRUE(m_view.Receive(m_now, LoadReport{HostId{2}, 1, {{7, 1}}}));
  EXPECT_TRUE(m_view.Receive(m_now, LoadReport{HostId{11}, 1, {{7, 4}}}));
  EXPECT_TRUE(m_view.Receive(m_now, OfferedLoad{kOfferedLoadVersion, HostId{11}, 1, {{kService, 1, 40}}}));
  EXPECT_EQ(FlowsAtSeven(), 5U);
  EXPECT_TRUE(m_view.Receive(m_now, Summary(12, 1, 6)));
  EXPECT_EQ(FlowsAtSeven(), 7U);
  EXPECT_EQ(m_view.DemandOf(kService).m_flows_per_second.at(1), 60);
  EXPECT_EQ(m_view.DemandOf(kService).m_balancers, 10U);
  LoadSummary of_own = Summary(2, 1, 50);
  of_own.m_data_centre = "a";
  EXPECT_FALSE(m_view.Receive(m_now, of_own));
  LoadSummary of_other = Summary(13, 1, 50);
  of_other.m_data_centre = "c";
  EXPECT_FALSE(m_view.Receive(m_now, of_other)) << "balancer 13 is in data centre b";
  EXPECT_EQ(FlowsAtSeven(), 7U);
  EXPECT_TRUE(m_view.MakeSummary(m_now, {{7, 2}}, {}).m_loads.empty());
  m_view.SetShortOfRoom(m_now, true);
  const LoadSummary summary = m_view.MakeSummary(m_now, {{7, 2}, {8, 1}}, {{kService, 1, 3}});
  EXPECT_EQ(summary.m_loads, (std::vector<CookieLoad>{{7, 3}, {8, 1}}));
  EXPECT_EQ(summary.m_rates, (std::vector<OfferedRate>{{kService, 1, 3}}));
  EXPECT_EQ(summary.m_balancers, 1U);
}

// Guards against memory that grows with forged senders and data centres.
TEST_F(SmallViewTest, SendersAndDataCentresAreBounded) {
  for (std::uint32_t number = 0; number < 2 * LoadView::kMaxSenders; ++number) {
    LoadSummary summary = Summary(100 + number, 1, 1);
    summary.m_data_centre = std::to_string(number);
    EXPECT_EQ(m_view.Receive(m_now, summary), number < LoadView::kMaxDataCentres);
    EXPECT_EQ(m_view.Receive(m_now, LoadReport{HostId{100 + number}, 1, {}}), number < LoadView::kMaxSenders);
  }
}

// Guards against a summary of a balancer that has just started, which lacks the load of its data centre, and against a
// list of balancers that arrives again and delays summaries each time.
TEST_F(SmallViewTest, FirstSummaryWaitsForAReportInterval) {
  m_view.SetShortOfRoom(m_now, true);
  EXPECT_FALSE(m_view.IsSummaryDue(m_now + m_view.ReportInterval() - milliseconds(1), 7));
  m_view.SetBalancers(m_now + milliseconds(20), MakePeers({{"a", 10}, {"b", 10}}));
  EXPECT_TRUE(m_view.IsSummaryDue(m_now + m_view.ReportInterval(), 7));
  LoadView alone({HostId{1}, "a"});
  alone.SetBalancers(m_now, {});
  EXPECT_FALSE(alone.IsSummaryDue(m_now + std::chrono::seconds(1), 10));
}

// Guards against an exchange that never stops after a shortage of room, or that stops at once.
TEST_F(SmallViewTest, ExchangeFollowsTheShortage) {
  EXPECT_FALSE(m_view.WasRecentlyShort(m_now));
  m_view.SetShortOfRoom(m_now, true);
  EXPECT_TRUE(m_view.WasRecentlyShort(m_now + std::chrono::seconds(60)));
  m_view.SetShortOfRoom(m_now, false);
  EXPECT_TRUE(m_view.WasRecentlyShort(m_now + milliseconds(1999)));
  EXPECT_FALSE(m_view.WasRecentlyShort(m_now + milliseconds(2000)));
  int due = 0;
  for (std::uint64_t interval = 500; interval < 600; ++interval)
    due += LoadView::IsExchangeDue(interval, false) ? 1 : 0;
  EXPECT_EQ(due, 10);
  EXPECT_TRUE(LoadView::IsExchangeDue(501, true));
}

// Guards against offered rates that count copies of an opening packet, lose the priority of the route or never decay,
// and against messages where no service has two priorities.
TEST(OfferedRatesTest, FirstTransmissionsAreMeasuredByPriority) {
  testing_support::Balancer balancer;
  PublishedState state = testing_support::MakeState();
  const Endpoint other{testing_support::kPublicAddress.m_address, 444};
  state.m_routing.m_routes[other] = testing_support::MakeRoute(other, kService);
  state.m_routing.m_routes[testing_support::kPublicAddress].m_priority = 2;
  balancer.ApplyState(state);
  for (std::uint32_t client = 1; client <= 300; ++client) {
    (void)balancer.Steer(testing_support::OpeningPacket(client));
    (void)balancer.Steer(testing_support::OpeningPacket(client, 1));
    balancer.Advance(milliseconds(10));
  }
  const std::vector<OfferedRate> rates = balancer.Steering().MakeOfferedLoad(balancer.Now()).m_rates;
  ASSERT_EQ(rates.size(), 1U);
  EXPECT_EQ(rates[0].m_service, kService);
  EXPECT_EQ(rates[0].m_priority, 2U);
  EXPECT_NEAR(rates[0].m_flows_per_second, 100, 5);
  balancer.Advance(milliseconds(10000));
  EXPECT_TRUE(balancer.Steering().MakeOfferedLoad(balancer.Now()).m_rates.empty());
  state.m_index = 2;
  state.m_routing.m_routes[other].m_priority = 2;
  balancer.ApplyState(state);
  (void)balancer.Steer(testing_support::OpeningPacket(1000));
  EXPECT_TRUE(balancer.Steering().MakeOfferedLoad(balancer.Now()).m_rates.empty());
}

// Guards against summaries that do not count at the targets or count as received when they are refused, and against
// flows that stay there after they expired.
TEST(CookieSteeringLoadTest, FlowsOfSummariesCountAtTargetsUntilTheyExpire) {
  testing_support::Balancer balancer;
  balancer.ApplyState(testing_support::MakeState());
  for (std::uint32_t number = 1; number <= 2; ++number) balancer.AddTarget(testing_support::MakeTarget(number));
  const TargetId busy = testing_support::MakeTarget(1).m_id;
  LoadSummary summary{kLoadSummaryVersion, HostId{50}, "b", 1, 10, true, {{CookieOf(busy), 5}}, {}};
  EXPECT_TRUE(balancer.Steering().Receive(balancer.Now(), summary));
  EXPECT_FALSE(balancer.Steering().Receive(balancer.Now(), summary));
  EXPECT_EQ(balancer.Steering().Targets().Find(busy)->m_remote_flows, 5U);
  EXPECT_NE(balancer.Open(1).m_target, busy);
  balancer.Advance(milliseconds(601));
  balancer.Steering().RefreshLoadCounts(balancer.Now());
  EXPECT_EQ(balancer.Steering().Targets().Find(busy)->m_remote_flows, 0U);
}

// Guards against load reports that are dropped between two of the ticks in which they expire.
TEST(CookieSteeringLoadTest, LoadReportsExpireInTicks) {
  testing_support::Balancer balancer;
  balancer.ApplyState(testing_support::MakeState());
  balancer.AddTarget(testing_support::MakeTarget(1));
  const TargetId target = testing_support::MakeTarget(1).m_id;
  balancer.Steering().Receive(balancer.Now(), LoadReport{HostId{2}, 1, {{CookieOf(target), 5}}});
  balancer.Advance(milliseconds(601));
  balancer.Steering().RefreshLoadCounts(balancer.Now());
  (void)balancer.Steering().MakeSummary(balancer.Now());
  EXPECT_EQ(balancer.Steering().Targets().Find(target)->m_remote_flows, 5U);
  balancer.Steering().Tick(balancer.Now());
  EXPECT_EQ(balancer.Steering().Targets().Find(target)->m_remote_flows, 0U);
}

}  // namespace
}  // namespace fighatch
