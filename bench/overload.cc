// Goodput and retries at 1x, 2x and 10x of the targets' capacity, with targets that shed 10% and never answer 0.5% of
// the requests. The baseline is a balancer that admits every request and retries without a budget.
#include "report.h"
#include "request_sim.h"

int main() {
  using namespace fighatch;         // NOLINT(google-build-using-namespace): program of one file.
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace)
  bool pass = true;
  for (const int load : {1, 2, 10}) {
    SimSettings tested;
    tested.m_load = load;
    tested.m_length = seconds(30);
    tested.m_request_timeout = "1000";
    tested.m_shed_share = 0.1;
    tested.m_silent_share = 0.005;
    tested.m_exponential_service = false;
    SimSettings baseline = tested;
    baseline.m_limit_admission = false;
    baseline.m_limit_retries = false;
    baseline.m_queue_limit = 1'000'000;
    const SimResult result = RequestSim(tested).Run();
    const SimResult other = RequestSim(baseline).Run();
    const std::string suffix = "_at_" + std::to_string(load) + "x";
    const auto share = [](std::uint64_t part, std::uint64_t whole) {
      return static_cast<double>(part) / static_cast<double>(whole);
    };
    pass &=
        Report("request_goodput" + suffix, result.m_goodput, "of capacity", 0.8, other.m_goodput, BoundKind::kAtLeast);
    pass &= Report("request_retries" + suffix, share(result.m_retries, result.m_requests), "retries/requests", 0.10,
                   share(other.m_retries, other.m_requests));
    Report("request_not_run" + suffix, share(result.m_not_run, result.m_offered), "share", std::nullopt,
           share(other.m_not_run, other.m_offered));
    Report("request_unknown" + suffix, share(result.m_unknown, result.m_offered), "share", std::nullopt,
           share(other.m_unknown, other.m_offered));
  }
  return pass ? 0 : 1;
}
