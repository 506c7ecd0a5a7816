#include <glog/logging.h>

#include <boost/fiber/fiber.hpp>
#include <chrono>

#include "daemon/program.h"
#include "daemon/stop_signal.h"
#include "target.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::ValueOf;
using fighatch::daemon::ExitCode;

ExitCode Run(const fighatch::target::TargetSettings& settings, const fighatch::daemon::ProgramOptions& /*options*/) {
  fighatch::daemon::StopSignal stop;
  fighatch::io::Reactor reactor;
  auto target = fighatch::target::Target::Create(settings);
  if (!IsOk(target)) {
    LOG(ERROR) << "event=start_failed " << ToString(ErrorOf(target));
    return ExitCode::kFailed;
  }
  LOG(INFO) << "event=started service=" << settings.m_service << " gue=" << ToString(settings.m_gue)
            << " http=" << ToString(settings.m_http);
  ValueOf(target)->Run(&stop);
  return ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  return fighatch::daemon::RunProgram<fighatch::target::TargetSettings>(
      argc, argv,
      {"fighatch-target", "Simulated target: serves flows and requests and announces itself to the balancers.", {}},
      fighatch::target::ParseTargetSettings, Run);
}
