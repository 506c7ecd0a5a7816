// Counts the flows among 4,000 that break while the weight of a data centre changes back and forth, without other
// faults and with planned stops of balancers.
#include <algorithm>

#include "report.h"
#include "weight_change_run.h"

namespace fighatch::bench {
namespace {

constexpr std::uint32_t kSeeds = 4;
constexpr std::uint32_t kSeconds = 40;

bool Measure(const std::string& name, WeightChangeFault fault) {
  std::size_t most = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    most = std::max(most, RunWeightChanges(seed, fault, kSeconds).size());
  }
  return Report(name, static_cast<double>(most), "violations", 0);
}

}  // namespace
}  // namespace fighatch::bench

int main() {
  using fighatch::WeightChangeFault;
  bool ok = fighatch::bench::Measure("weight_change.broken", WeightChangeFault::kNone);
  ok = fighatch::bench::Measure("weight_change.broken_with_stops", WeightChangeFault::kBalancerStops) && ok;
  return ok ? 0 : 1;
}
