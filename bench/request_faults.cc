// Counts requests that targets ran twice and "not run" answers to requests that were run, in a simulation in which
// balancers crash, restart and stop as planned while targets misbehave and the network loses, duplicates and delays
// messages.
#include "../tests/request_simulation.h"
#include "report.h"

int main() {
  using namespace fighatch;           // NOLINT(google-build-using-namespace): program of one file.
  using namespace fighatch::testing;  // NOLINT(google-build-using-namespace)
  RequestSimulation simulation(20261204);
  constexpr int kRequests = 20'000;
  int faults = 0;
  for (int count = 0; count < kRequests; ++count) {
    simulation.StartRequest(false);
    simulation.Advance(milliseconds(10));
    const auto host = static_cast<std::uint32_t>(1 + simulation.m_random.Below(RequestSimulation::kHosts));
    if (count % 50 == 0) simulation.SetMode(count / 50, static_cast<TargetMode>(simulation.m_random.Below(10)));
    if (count % 100 == 10) simulation.Restart(host);
    if (count % 200 != 0) continue;
    ++faults;
    if (simulation.m_random.Below(2) == 0) {
      simulation.Kill(host);
    } else {
      simulation.Stop(host, host % RequestSimulation::kHosts + 1);
    }
  }
  simulation.Settle();
  const auto& oracle = simulation.m_oracle;
  bool pass = bench::Report("request_double_records", static_cast<double>(oracle.DoubleRecords()), "requests", 0);
  pass &= bench::Report("request_false_refusals", static_cast<double>(oracle.FalseRefusals()), "requests", 0);
  pass &= bench::Report("request_oracle_failures", static_cast<double>(oracle.Failures().size()), "failures", 0);
  bench::Report("request_faults_injected", faults, "deaths and stops");
  for (const auto& [outcome, count] : oracle.Outcomes()) {
    bench::Report("request_answers_" + outcome, static_cast<double>(count), "answers");
  }
  return pass ? 0 : 1;
}
