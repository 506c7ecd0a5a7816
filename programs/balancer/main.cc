#include <glog/logging.h>

#include "balancer.h"
#include "daemon/program.h"
#include "daemon/stop_signal.h"
#include "io/reactor.h"

namespace {

using fighatch::daemon::ExitCode;

ExitCode Run(const fighatch::balancer::BalancerSettings& settings,
             const fighatch::daemon::ProgramOptions& /*options*/) {
  fighatch::daemon::StopSignal stop;
  fighatch::io::Reactor reactor;
  auto balancer = fighatch::balancer::Balancer::Create(settings);
  if (!IsOk(balancer)) {
    LOG(ERROR) << "event=start_failed " << ToString(ErrorOf(balancer));
    return ExitCode::kFailed;
  }
  ValueOf(balancer)->Run(&stop);
  return ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  return fighatch::daemon::RunProgram<fighatch::balancer::BalancerSettings>(
      argc, argv, {"fighatch-balancer", "Layer-4 load balancer: one member of a cluster of balancers.", {}},
      fighatch::balancer::ParseBalancerSettings, Run);
}
