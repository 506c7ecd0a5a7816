// Measures the peak ratio of requests in progress at a newly started target to its ramp allowance, with leases and, as
// the baseline, without.
#include <algorithm>

#include "fighatch/ramp.h"
#include "target_bench.h"

namespace fighatch::bench {
namespace {

constexpr std::uint32_t kSlots = 16;
constexpr std::uint32_t kWarmTargets = 14;
constexpr int kSteps = 500;
constexpr int kRequestSteps = 5;

/// Requests in progress at the cold target, with the step at which each ends.
class ColdTarget {
 public:
  ColdTarget() {
    m_ramp.Begin(Incarnation{1}, TimePoint{});
    m_ramp.OnHealthy(TimePoint{});
  }
  void Advance(int step) {
    std::erase_if(m_ends, [step](int end) { return end <= step; });
    m_ramp.Tick(TimePoint(std::chrono::milliseconds(20) * step));
  }
  void Add(int step) {
    m_ends.push_back(step + kRequestSteps);
    m_peak = std::max(m_peak, static_cast<double>(m_ends.size()) / AllowanceAt(step));
  }
  [[nodiscard]] std::uint32_t AllowanceAt(int step) const {
    return m_ramp.Allowance(kSlots, TimePoint(std::chrono::milliseconds(20) * step));
  }
  double m_peak = 0;

 private:
  Ramp m_ramp;
  std::vector<int> m_ends;
};

/// Baseline without leases: every balancer picks the target with the fewest requests in progress by its own count.
double PeakWithoutLeases(std::uint32_t hosts) {
  ColdTarget cold;
  std::vector<std::vector<int>> ends_by_host(hosts);
  for (int step = 0; step < kSteps; ++step) {
    cold.Advance(step);
    for (std::vector<int>& ends : ends_by_host) {
      std::erase_if(ends, [step](int end) { return end <= step; });
      // A balancer with no request in progress at the cold target considers it the least loaded one.
      if (!ends.empty()) continue;
      ends.push_back(step + kRequestSteps);
      cold.Add(step);
    }
  }
  return cold.m_peak;
}

double PeakWithLeases(std::uint32_t hosts) {
  LeaseCluster cluster(hosts, kWarmTargets + 1, kSlots);
  cluster.m_grantor->SetAllowance(cluster.m_targets[0], 0);
  cluster.Run(std::chrono::seconds(5));
  ColdTarget cold;
  const TargetId target = cluster.m_targets[0].m_id;
  std::vector<std::pair<int, AllowanceHolder*>> in_progress;
  for (int step = 0; step < kSteps; ++step) {
    cold.Advance(step);
    cluster.m_grantor->SetAllowance(cluster.m_targets[0], cold.AllowanceAt(step));
    for (auto& [end, holder] : in_progress) {
      if (end == step) holder->Return(target, cluster.m_now);
    }
    std::erase_if(in_progress, [step](const auto& item) { return item.first <= step; });
    for (auto& holder : cluster.m_holders) {
      holder->ReportDemand(ServiceId{1}, 5, cluster.m_now);
      while (holder->Take(target, cluster.m_now)) {
        in_progress.emplace_back(step + kRequestSteps, holder.get());
        cold.Add(step);
      }
    }
    cluster.Step();
  }
  return cold.m_peak;
}

}  // namespace
}  // namespace fighatch::bench

int main() {
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace)
  for (const std::uint32_t hosts : {8U, 50U, 500U}) {
    Print("cold_target.peak.hosts_" + std::to_string(hosts), PeakWithLeases(hosts), "offered/bearable", 1.0,
          PeakWithoutLeases(hosts));
  }
  return 0;
}
