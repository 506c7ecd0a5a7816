#ifndef FIGHATCH_TESTS_LOAD_VIEW_SIMULATION_H_
#define FIGHATCH_TESTS_LOAD_VIEW_SIMULATION_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fighatch/load_view.h"
#include "steering_fixture.h"

namespace fighatch::testing_support {

/// Flows by cookie of their target.
using Flows = std::map<std::uint32_t, std::uint32_t>;

inline constexpr std::uint32_t kSimulatedTargets = 150;
/// What `io::PlainMessageSocket` adds to a payload.
inline constexpr std::size_t kHeaderBytes = 13;

/// One balancer: its own load, and its view of the others.
struct Site {
  BalancerPeer m_peer;
  LoadView m_view;
  TimePoint m_next_report{};
  TimePoint m_next_summary{};
  /// By how much the time of day of the host is wrong.
  Duration m_clock_error{0};
  std::uint64_t m_sequence = 0;
  bool m_last_report_nonempty = false;
  std::vector<CookieLoad> m_loads{};
  std::vector<OfferedRate> m_rates{};
  std::size_t m_report_bytes = 0;
  // Offered rates and summaries.
  std::size_t m_exchange_bytes = 0;
};

/// Balancers in three data centres that exchange load in virtual time. Messages arrive at once or are lost.
class LoadViewSimulation {
 public:
  explicit LoadViewSimulation(std::uint32_t balancers) {
    std::vector<BalancerPeer> peers;
    for (std::uint32_t host = 1; host <= balancers; ++host)
      peers.push_back({HostId{host}, std::string(1, "abc"[host % 3])});
    for (const BalancerPeer& peer : peers) m_sites.push_back({peer, LoadView({peer.m_host, peer.m_data_centre})});
    m_peers = peers;
    for (Site& site : m_sites) Start(&site);
    ChangeLoad();
  }

  /// Starts the process of a balancer anew.
  void Start(Site* site) {
    site->m_view = LoadView({site->m_peer.m_host, site->m_peer.m_data_centre});
    site->m_view.SetBalancers(m_now, m_peers);
    site->m_view.SetShortOfRoom(m_now, m_is_short);
    site->m_sequence = 0;
    const auto interval = static_cast<std::uint64_t>(site->m_view.ReportInterval() / kStep);
    site->m_next_report = m_now + kStep * static_cast<std::int64_t>(m_random.Below(interval));
    site->m_next_summary = EndOfInterval(*site);
  }

  void SetShortOfRoom(bool is_short) {
    m_is_short = is_short;
    for (Site& site : m_sites) site.m_view.SetShortOfRoom(m_now, is_short);
  }

  /// Gives each balancer other flows and rates; `flows` is the mean number of flows of a balancer.
  void ChangeLoad(double flows = 4) {
    for (Site& site : m_sites) {
      Flows by_cookie;
      const auto count = m_random.Below(static_cast<std::uint64_t>(flows * 200) + 1);
      for (std::uint64_t flow = 0; flow < count / 100; ++flow) {
        ++by_cookie[static_cast<std::uint32_t>(m_random.Below(kSimulatedTargets))];
      }
      site.m_loads.clear();
      for (const auto& [cookie, number] : by_cookie)
        site.m_loads.push_back({cookie, static_cast<std::uint16_t>(number)});
      site.m_rates = {{kService, 1, 1.0 + static_cast<double>(m_random.Below(20))},
                      {kService, 2, 10.0 + static_cast<double>(m_random.Below(20))}};
    }
  }

  void Run(Duration span) {
    for (const TimePoint end = m_now + span; m_now < end;) {
      m_now += kStep;
      for (Site& site : m_sites) {
        if (m_now >= site.m_next_report) Report(&site);
      }
      for (Site& site : m_sites) {
        if (m_now >= site.m_next_summary) Summarise(&site);
      }
    }
    for (Site& site : m_sites) (void)site.m_view.RemoveExpired(m_now);
  }

  /// The time within which each view must show a change of load.
  [[nodiscard]] Duration ViewInterval() const {
    Duration interval{0};
    for (const Site& site : m_sites) {
      interval = std::max(interval, site.m_view.ReportInterval() + site.m_view.SummaryInterval());
    }
    return interval;
  }

  /// Expects that each view shows the load of all other balancers that can reach it.
  void ExpectTruth() const {
    for (const Site& site : m_sites) {
      Flows flows;
      double first = 0;
      double second = 0;
      std::uint32_t balancers = 0;
      for (const Site& other : m_sites) {
        if (&other == &site || IsCut(site, other.m_peer.m_host)) continue;
        AddFlows(other, &flows);
        first += other.m_rates[0].m_flows_per_second;
        second += other.m_rates[1].m_flows_per_second;
        ++balancers;
      }
      const ServiceDemand demand = site.m_view.DemandOf(kService);
      ASSERT_EQ(SeenFlows(site), flows) << "balancer " << site.m_peer.m_host.m_value << " of " << m_sites.size();
      ASSERT_EQ(demand.m_balancers, balancers) << "balancer " << site.m_peer.m_host.m_value;
      ASSERT_NEAR(demand.m_flows_per_second.at(1), first, 0.001);
      ASSERT_NEAR(demand.m_flows_per_second.at(2), second, 0.001);
    }
  }

  /// Adds the balancer's own flows.
  static void AddFlows(const Site& site, Flows* flows) {
    for (const CookieLoad& load : site.m_loads) (*flows)[load.m_cookie] += load.m_flows;
  }

  [[nodiscard]] static Flows SeenFlows(const Site& site) {
    const auto flows = site.m_view.RemoteFlows();
    return {flows.begin(), flows.end()};
  }

  std::vector<Site> m_sites;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_loss_percent = 0;
  bool m_has_summaries = true;
  // No message passes between this data centre and the others.
  std::string m_cut;

 private:
  static constexpr Duration kStep = milliseconds(1);

  [[nodiscard]] Duration TimeOfDay(const Site& site) const { return m_now.time_since_epoch() + site.m_clock_error; }

  [[nodiscard]] TimePoint EndOfInterval(const Site& site) const {
    return m_now + LoadView::IntervalAt(TimeOfDay(site), site.m_view.SummaryInterval()).m_left;
  }

  [[nodiscard]] bool IsCut(const Site& site, HostId host) const {
    const std::string& other = m_sites[host.m_value - 1].m_peer.m_data_centre;
    return site.m_peer.m_data_centre != other && (site.m_peer.m_data_centre == m_cut || other == m_cut);
  }

  template <typename Message>
  void Send(const Site& from, const std::vector<HostId>& hosts, const Message& message) {
    for (const HostId host : hosts) {
      if (IsCut(from, host) || m_random.Below(100) < m_loss_percent) continue;
      (void)m_sites[host.m_value - 1].m_view.Receive(m_now, message);
    }
  }

  void Report(Site* site) {
    const std::vector<HostId> hosts = site->m_view.ReportRecipients();
    const Duration interval = site->m_view.ReportInterval();
    (void)site->m_view.RemoveExpired(m_now);
    ++site->m_sequence;
    const LoadReport report{site->m_peer.m_host, site->m_sequence, site->m_loads};
    if (!report.m_loads.empty() || site->m_last_report_nonempty) {
      Send(*site, hosts, report);
      site->m_report_bytes += hosts.size() * (EncodeLoadReport(report).size() + kHeaderBytes);
    }
    site->m_last_report_nonempty = !report.m_loads.empty();
    site->m_next_report = m_now + interval;
    const std::uint64_t number = LoadView::IntervalAt(TimeOfDay(*site), interval).m_number;
    if (!LoadView::IsExchangeDue(number, site->m_view.WasRecentlyShort(m_now))) return;
    const OfferedLoad load{kOfferedLoadVersion, site->m_peer.m_host, site->m_sequence, site->m_rates};
    Send(*site, hosts, load);
    site->m_exchange_bytes += hosts.size() * (EncodeOfferedLoad(load).size() + kHeaderBytes);
  }

  void Summarise(Site* site) {
    const std::uint64_t ended = LoadView::IntervalAt(TimeOfDay(*site), site->m_view.SummaryInterval()).m_number - 1;
    site->m_next_summary = EndOfInterval(*site);
    const std::vector<HostId> hosts = site->m_view.SummaryRecipients(ended);
    if (!m_has_summaries || hosts.empty() || !site->m_view.IsSummaryDue(m_now, ended)) return;
    (void)site->m_view.RemoveExpired(m_now);
    const LoadSummary summary = site->m_view.MakeSummary(m_now, site->m_loads, site->m_rates);
    Send(*site, hosts, summary);
    site->m_exchange_bytes += hosts.size() * (EncodeLoadSummary(summary).size() + kHeaderBytes);
  }

  std::vector<BalancerPeer> m_peers;
  Random m_random{5};
  bool m_is_short = true;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_LOAD_VIEW_SIMULATION_H_
