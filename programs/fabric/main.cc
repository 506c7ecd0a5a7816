#include <glog/logging.h>

#include <boost/fiber/fiber.hpp>
#include <chrono>

#include "daemon/program.h"
#include "daemon/stop_signal.h"
#include "fabric.h"
#include "io/http_server.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::ValueOf;
using fighatch::daemon::ExitCode;

constexpr std::chrono::milliseconds kStopCheckInterval{100};

ExitCode Run(const fighatch::fabric::FabricSettings& settings, const fighatch::daemon::ProgramOptions& /*options*/) {
  fighatch::daemon::StopSignal stop;
  fighatch::io::Reactor reactor;
  fighatch::Result<fighatch::fabric::Fabric> fabric = fighatch::fabric::Fabric::Create(settings);
  if (!IsOk(fabric)) {
    LOG(ERROR) << "event=start_failed " << ToString(ErrorOf(fabric));
    return ExitCode::kFailed;
  }
  auto server = fighatch::io::HttpServer::Create(
      settings.m_http, [&fabric](const fighatch::HttpRequest& request, const fighatch::io::HttpArrival&) {
        return ValueOf(fabric).HandleHttp(request);
      });
  if (!IsOk(server)) {
    LOG(ERROR) << "event=start_failed " << ToString(ErrorOf(server));
    return ExitCode::kFailed;
  }
  LOG(INFO) << "event=started listen=" << ToString(settings.m_listen) << " balancers=" << settings.m_balancers.size();
  boost::fibers::fiber http([&server] { ValueOf(server)->Serve(); });
  boost::fibers::fiber forwarder([&] {
    while (!stop.IsSet()) ValueOf(fabric).ForwardBatch(std::chrono::steady_clock::now() + kStopCheckInterval);
  });
  while (!stop.Wait(fighatch::io::kNoDeadline)) {
  }
  ValueOf(server)->Stop();
  forwarder.join();
  http.join();
  return ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  return fighatch::daemon::RunProgram<fighatch::fabric::FabricSettings>(
      argc, argv,
      {"fighatch-fabric", "Simulated network: distributes callers' packets over the balancers at random.", {}},
      fighatch::fabric::ParseFabricSettings, Run);
}
