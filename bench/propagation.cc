// Measures the time from a change on the control hosts until it is in force on every balancer, and the bytes and CPU
// time that distribution takes, in virtual time with 1 ms between hosts and 3% loss, at 39,000 changes a day.

#include <algorithm>
#include <cstring>
#include <ctime>
#include <optional>
#include <string>

#include "distribution_node.h"
#include "report.h"

namespace fighatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr double kPropagationBoundS = 5;
constexpr double kControlBoundBytesPerS = 6000;
constexpr double kChangesPerS = 39000.0 / 86400;
constexpr std::size_t kDeltaBytes = 200;

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

std::vector<double> PropagationTimes(DistributionCluster* cluster, const std::map<Version, TimePoint>& change_times) {
  std::vector<double> times;
  for (const HostId host : cluster->Balancers()) {
    const auto& changes = cluster->Network().Find(host)->Changes();
    for (const auto& [version, changed_at] : change_times) {
      const auto reached = std::find_if(changes.begin(), changes.end(),
                                        [&version](const auto& change) { return change.first >= version; });
      // A change that never came into force counts as 60 s.
      const Duration time = reached != changes.end() ? reached->second - changed_at : Duration(seconds(60));
      times.push_back(std::chrono::duration<double>(time).count());
    }
  }
  return times;
}

bool Measure(std::uint32_t daemons, std::uint16_t data_centres, std::size_t fanout, int changes,
             std::optional<double> bytes_bound = kControlBoundBytesPerS) {
  const std::string prefix = "distribution_" + std::to_string(daemons) + "_in_" + std::to_string(data_centres) +
                             "_fanout_" + std::to_string(fanout) + "_";
  LinkSettings links;
  links.m_loss = 0.03;
  DistributionCluster cluster(daemons, data_centres, fanout, links, kSeed);
  auto& network = cluster.Network();
  network.RunFor(seconds(5));
  network.ClearCounts();
  Random random(kSeed);
  std::map<Version, TimePoint> change_times;
  const TimePoint start = network.Now();
  const double cpu_before = CpuSeconds();
  for (int change = 0; change < changes; ++change) {
    const double wait_s = 2 * random.NextDouble() / kChangesPerS;
    network.RunFor(milliseconds(static_cast<std::int64_t>(wait_s * 1000)));
    change_times[cluster.Change(kDeltaBytes)] = network.Now();
  }
  network.RunFor(seconds(2));
  const double cpu = CpuSeconds() - cpu_before;
  const double run_s = std::chrono::duration<double>(network.Now() - start).count();
  std::vector<double> traffic_per_host;
  std::vector<double> traffic_per_control_host;
  std::vector<double> traffic_per_balancer;
  const std::vector<HostId> balancers = cluster.Balancers();
  for (const HostId host : network.Hosts()) {
    const double sent = static_cast<double>(network.BytesSent().at(host));
    traffic_per_host.push_back((sent + static_cast<double>(network.BytesReceived().at(host))) / run_s);
    const bool is_balancer = std::find(balancers.begin(), balancers.end(), host) != balancers.end();
    (is_balancer ? traffic_per_balancer : traffic_per_control_host).push_back(traffic_per_host.back());
  }
  network.RunFor(seconds(10));
  Report(prefix + "cpu_per_daemon", cpu / run_s / daemons * 100, "% of a core, with the virtual network");
  Report(prefix + "sent_and_received_per_daemon_p50", Quantile(traffic_per_host, 0.5), "B/s");
  bool pass = Report(prefix + "sent_and_received_per_daemon_max", Quantile(traffic_per_host, 1), "B/s", bytes_bound);
  Report(prefix + "sent_and_received_per_control_host_max", Quantile(traffic_per_control_host, 1), "B/s");
  Report(prefix + "sent_and_received_per_balancer_max", Quantile(traffic_per_balancer, 1), "B/s");
  pass =
      ReportQuantiles(prefix + "in_force_loss_3", PropagationTimes(&cluster, change_times), "s", kPropagationBoundS) &&
      pass;
  const InForceReport report = network.Find({1})->Distributor().InForce(network.Now());
  Report(prefix + "hosts_known_to_leader", report.m_hosts, "hosts");
  return Report(prefix + "hosts_reported_behind_at_end", report.m_lagging_count, "hosts", 0) && pass;
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using fighatch::kDefaultTreeFanout;
  using fighatch::bench::Measure;
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  bool pass = Measure(8, 3, kDefaultTreeFanout, quick ? 20 : 100);
  pass = Measure(50, 3, kDefaultTreeFanout, quick ? 20 : 100) && pass;
  pass = Measure(500, 3, kDefaultTreeFanout, quick ? 10 : 60) && pass;
  if (!quick) {
    // The planned size has 27 data centres.
    pass = Measure(500, 27, kDefaultTreeFanout, 40) && pass;
    pass = Measure(1500, 27, kDefaultTreeFanout, 40) && pass;
    pass = Measure(5000, 27, kDefaultTreeFanout, 40) && pass;
    pass = Measure(14000, 27, kDefaultTreeFanout, 40) && pass;
    // Other fanouts are printed for comparison only.
    Measure(500, 3, 8, 60, std::nullopt);
    Measure(500, 3, 16, 60, std::nullopt);
  }
  return pass ? 0 : 1;
}
