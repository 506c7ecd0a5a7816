// Double records and false refusals over a run in which balancers die, start again and stop as planned while targets
// misbehave and the network loses, repeats and delays messages.
#include "../tests/request_world.h"
#include "report.h"

int main() {
  using namespace fighatch;           // NOLINT(google-build-using-namespace): program of one file.
  using namespace fighatch::testing;  // NOLINT(google-build-using-namespace)
  RequestWorld world(20261204);
  constexpr int kRequests = 20'000;
  int faults = 0;
  for (int count = 0; count < kRequests; ++count) {
    world.StartRequest(false);
    world.Advance(milliseconds(10));
    const auto host = static_cast<std::uint32_t>(1 + world.m_random.Below(RequestWorld::kHosts));
    if (count % 50 == 0) world.SetMode(count / 50, static_cast<TargetMode>(world.m_random.Below(10)));
    if (count % 100 == 10) world.Restart(host);
    if (count % 200 != 0) continue;
    ++faults;
    if (world.m_random.Below(2) == 0) {
      world.Kill(host);
    } else {
      world.Stop(host, host % RequestWorld::kHosts + 1);
    }
  }
  world.Settle();
  const auto& oracle = world.m_oracle;
  bool pass = bench::Report("request_double_records", static_cast<double>(oracle.DoubleRecords()), "requests", 0);
  pass &= bench::Report("request_false_refusals", static_cast<double>(oracle.FalseRefusals()), "requests", 0);
  pass &= bench::Report("request_oracle_failures", static_cast<double>(oracle.Verdict().size()), "failures", 0);
  bench::Report("request_faults_injected", faults, "deaths and stops");
  for (const auto& [outcome, count] : oracle.Outcomes()) {
    bench::Report("request_answers_" + outcome, static_cast<double>(count), "answers");
  }
  return pass ? 0 : 1;
}
