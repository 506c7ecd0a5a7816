// Measures the membership protocol in virtual time: detection time and false suspicions at 10% packet loss, and its CPU
// and bandwidth cost.

#include <chrono>
#include <cstring>
#include <ctime>
#include <memory>
#include <string>

#include "membership_node.h"
#include "report.h"

namespace fighatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr double kDetectionBoundS = 2.0;
constexpr double kControlBoundBytesPerS = 6000;

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

class Cluster {
 public:
  explicit Cluster(std::uint32_t size) : m_size(size), m_network({}, kSeed), m_random(kSeed) {
    for (std::uint32_t host = 1; host <= size; ++host) {
      Start(host);
      m_network.RunFor(milliseconds(5));
    }
    m_network.RunFor(seconds(40));
  }

  void Start(std::uint32_t host) {
    const auto settings = MembershipSettingsOf(host, 1, ++m_incarnation, {{1}, {2}, {3}});
    m_network.Add({host}, std::make_unique<MembershipNode>(settings, m_random()));
  }

  // Kills a random member, and adds the time in seconds that each other member takes to declare it dead; 10 s if it
  // does not within the wait of 3 s.
  void MeasureDetection(std::vector<double>* times) {
    const auto victim = static_cast<std::uint32_t>(1 + m_random.Below(m_size));
    m_network.RunFor(milliseconds(m_random.Below(1000)));
    ClearEvents();
    const TimePoint killed_at = m_network.Now();
    m_network.Remove({victim});
    m_network.RunFor(seconds(3));
    for (const HostId host : m_network.Hosts()) {
      double time = 10;
      for (const auto& event : m_network.Find(host)->Events()) {
        const bool is_death = event.m_event.m_kind == MembershipEventKind::kDied;
        if (is_death && event.m_event.m_member.m_host == HostId{victim}) time = Seconds(event.m_at - killed_at);
      }
      times->push_back(time);
    }
    Start(victim);
    m_network.RunFor(seconds(3));
  }

  void ClearEvents() {
    for (const HostId host : m_network.Hosts()) m_network.Find(host)->Events().clear();
  }

  // Suspicions, counted as distinct (member, second) pairs, and distinct members declared dead, while all are alive.
  std::pair<double, double> FalsePositives() {
    std::set<std::pair<std::uint32_t, std::int64_t>> suspicions;
    std::set<std::uint32_t> deaths;
    for (const HostId host : m_network.Hosts()) {
      for (const auto& event : m_network.Find(host)->Events()) {
        const std::uint32_t member = event.m_event.m_member.m_host.m_value;
        // All reports of one suspicion spread within a second.
        if (event.m_event.m_kind == MembershipEventKind::kSuspected)
          suspicions.insert({member, event.m_at.time_since_epoch() / seconds(1)});
        if (event.m_event.m_kind == MembershipEventKind::kDied) deaths.insert(member);
      }
    }
    return {static_cast<double>(suspicions.size()), static_cast<double>(deaths.size())};
  }

  VirtualNetwork<MembershipNode>& Network() { return m_network; }

 private:
  std::uint32_t m_size;
  std::uint64_t m_incarnation = 0;
  VirtualNetwork<MembershipNode> m_network;
  Random m_random;
};

bool MeasureCost(Cluster* cluster, std::uint32_t size, const std::string& prefix) {
  auto& network = cluster->Network();
  network.ClearCounts();
  const double cpu_before = CpuSeconds();
  network.RunFor(seconds(20));
  const double cpu = CpuSeconds() - cpu_before;
  std::vector<double> sent;
  std::vector<double> sent_and_received;
  for (const HostId host : network.Hosts()) {
    sent.push_back(static_cast<double>(network.BytesSent().at(host)) / 20);
    sent_and_received.push_back(sent.back() + static_cast<double>(network.BytesReceived().at(host)) / 20);
  }
  Report(prefix + "cpu_per_daemon", cpu / 20 / size * 100, "% of a core, with the virtual network");
  Report(prefix + "sent_per_daemon_max", Quantile(sent, 1), "B/s");
  return Report(prefix + "sent_and_received_per_daemon_max", Quantile(sent_and_received, 1), "B/s",
                kControlBoundBytesPerS);
}

bool Measure(std::uint32_t size, int kills, int observation_s) {
  const std::string prefix = "membership_" + std::to_string(size) + "_";
  Cluster cluster(size);
  bool pass = MeasureCost(&cluster, size, prefix);
  cluster.Network().Links().m_loss = 0.1;
  cluster.ClearEvents();
  cluster.Network().RunFor(seconds(observation_s));
  const auto [suspicions, deaths] = cluster.FalsePositives();
  const double member_hours = observation_s / 3600.0 * size;
  Report(prefix + "false_suspicions_loss_10", suspicions / member_hours, "per member-hour");
  pass = Report(prefix + "false_deaths_loss_10", deaths / member_hours, "per member-hour", 0) && pass;
  std::vector<double> times;
  for (int kill = 0; kill < kills; ++kill) cluster.MeasureDetection(&times);
  return ReportQuantiles(prefix + "detection_loss_10", times, "s", kDetectionBoundS) && pass;
}

/// Measures the cost only, for several cluster sizes; the capacity page derives its slopes from the results.
bool MeasureCosts() {
  bool pass = true;
  for (const std::uint32_t size : {8U, 50U, 200U, 500U}) {
    Cluster cluster(size);
    pass = MeasureCost(&cluster, size, "membership_" + std::to_string(size) + "_") && pass;
  }
  return pass;
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using fighatch::bench::Measure;
  if (argc > 1 && std::strcmp(argv[1], "--cost") == 0) return fighatch::bench::MeasureCosts() ? 0 : 1;
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  bool pass = Measure(8, quick ? 10 : 100, quick ? 600 : 3600);
  pass = Measure(50, quick ? 5 : 50, quick ? 60 : 600) && pass;
  if (!quick) pass = Measure(500, 20, 120) && pass;
  return pass ? 0 : 1;
}
