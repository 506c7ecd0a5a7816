#include <glog/logging.h>

#include "daemon/program.h"
#include "daemon/stop_signal.h"
#include "io/reactor.h"
#include "load_run.h"

namespace {

using fighatch::daemon::ExitCode;

ExitCode Run(const fighatch::load::LoadSettings& settings, const fighatch::daemon::ProgramOptions& /*options*/) {
  fighatch::daemon::StopSignal stop;
  fighatch::io::Reactor reactor;
  const fighatch::Status status = fighatch::load::RunLoad(settings, &stop);
  if (IsOk(status)) return ExitCode::kOk;
  LOG(ERROR) << "event=run_failed " << ToString(ErrorOf(status));
  return ExitCode::kFailed;
}

}  // namespace

int main(int argc, char** argv) {
  return fighatch::daemon::RunProgram<fighatch::load::LoadSettings>(
      argc, argv, {"fighatch-load", "Load generator: opens flows and sends requests to services at a fixed rate.", {}},
      fighatch::load::ParseLoadSettings, Run);
}
