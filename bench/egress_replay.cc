// Uploads through a balancer's uplink of 2.8 Mbit/s with a short queue, with the egress scheduler and, as the baseline,
// without it.
#include "report.h"
#include "uplink_replay.h"

namespace {

using fighatch::bench::BoundKind;
using fighatch::bench::Report;
using fighatch::testing_support::UplinkLoad;
using fighatch::testing_support::UplinkReplay;
using fighatch::testing_support::UplinkResult;

constexpr std::uint64_t kSeeds = 10;
constexpr double kSmallFlowsPerSecond = 22;

// The targets of docs/design/load-management.md.
constexpr double kMinInTime = 0.9;
constexpr double kMaxSmallWaitMs = 20;

UplinkResult Sum(const UplinkLoad& load) {
  UplinkResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    UplinkLoad seeded = load;
    seeded.m_seed = seed;
    const UplinkResult result = UplinkReplay(seeded).Run();
    sum.m_bulk_flows += result.m_bulk_flows;
    sum.m_bulk_in_time += result.m_bulk_in_time;
    sum.m_bulk_refused += result.m_bulk_refused;
    sum.m_packets += result.m_packets;
    sum.m_link_drops += result.m_link_drops;
    sum.m_longest_small_wait = std::max(sum.m_longest_small_wait, result.m_longest_small_wait);
  }
  return sum;
}

double WaitMs(const UplinkResult& result) {
  return std::chrono::duration<double, std::milli>(result.m_longest_small_wait).count();
}

bool CompareAt(const std::string& name, double share, std::optional<double> min_in_time) {
  const UplinkResult today = Sum({share, kSmallFlowsPerSecond, false});
  const UplinkResult scheduled = Sum({share, kSmallFlowsPerSecond, true});
  bool pass = Report("egress_replay." + name + ".uploads_in_time", scheduled.InTimeShare(), "share", min_in_time,
                     today.InTimeShare(), BoundKind::kAtLeast);
  pass &= Report("egress_replay." + name + ".link_drops", scheduled.m_link_drops, "packets", 0, today.m_link_drops);
  return pass;
}

}  // namespace

int main() {
  bool pass = CompareAt("quiet", 0.35, kMinInTime);
  pass &= CompareAt("high", 0.9, std::nullopt);
  const UplinkResult today = Sum({2.5 * 0.9, kSmallFlowsPerSecond, false});
  for (const bool admission : {false, true}) {
    const std::string name = std::string("egress_replay.burst.") + (admission ? "admission" : "no_admission");
    const UplinkResult scheduled = Sum({2.5 * 0.9, kSmallFlowsPerSecond, true, admission});
    pass &= Report(name + ".longest_small_wait", WaitMs(scheduled), "ms", kMaxSmallWaitMs, WaitMs(today));
    Report(name + ".uploads_in_time", scheduled.InTimeShare(), "share", std::nullopt, today.InTimeShare());
    Report(name + ".refused", scheduled.m_bulk_refused, "flows", std::nullopt, 0);
  }
  return pass ? 0 : 1;
}
