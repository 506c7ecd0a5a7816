// Load imbalance over 15 targets with 2 slots each behind 8 balancers at 70% load, with load reports delayed by 500 ms
// and two targets that send false reports. For each window of 1 s, the largest time-averaged number of requests in
// progress of a target is divided by the mean of all targets; the value is the average over the windows. Momentary
// values are not used, because with a mean of 1.4 the ratio would be 1.43 as soon as one target has both slots in use.
#include "report.h"
#include "request_sim.h"

int main() {
  using namespace fighatch;         // NOLINT(google-build-using-namespace): program of one file.
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace)
  SimSettings base;
  const SimResult leased = RequestSim(base).Run();
  const auto unleased = [&base](std::function<std::unique_ptr<PickStrategy>()> strategy) {
    SimSettings settings = base;
    settings.m_leases = false;
    settings.m_strategy = std::move(strategy);
    return RequestSim(settings).Run();
  };
  const SimResult random = unleased(MakeRandomPick);
  const SimResult round_robin = unleased(MakeRoundRobin);
  const SimResult two_choices = unleased(MakePowerOfTwoChoices);
  bool pass = Report("request_imbalance_vs_random", leased.m_imbalance, "max/mean", 1.25, random.m_imbalance);
  pass &= Report("request_imbalance_vs_round_robin", leased.m_imbalance, "max/mean", 1.25, round_robin.m_imbalance);
  pass &= Report("request_imbalance_vs_two_choices", leased.m_imbalance, "max/mean", 1.25, two_choices.m_imbalance);
  Report("request_imbalance_whole_run", leased.m_whole_run_imbalance, "max/mean", std::nullopt,
         two_choices.m_whole_run_imbalance);
  Report("request_imbalance_without_leases", unleased(MakeLeastInProgress).m_imbalance, "max/mean");
  Report("request_imbalance_answered_in_time",
         static_cast<double>(leased.m_answered_in_time) / static_cast<double>(leased.m_offered), "share", std::nullopt,
         static_cast<double>(random.m_answered_in_time) / static_cast<double>(random.m_offered));
  return pass ? 0 : 1;
}
