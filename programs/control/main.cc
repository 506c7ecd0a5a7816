#include <glog/logging.h>
#include <signal.h>
#include <sodium.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "config/control_settings.h"
#include "config/json_reader.h"
#include "daemon/control_http.h"
#include "daemon/control_metrics.h"
#include "daemon/operator_key.h"
#include "io/http_server.h"
#include "io/reactor.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::Result;
using fighatch::ValueOf;

constexpr const char* kVersion = "0.1.0";
constexpr std::chrono::milliseconds kSignalCheckInterval{50};

volatile std::sig_atomic_t g_stop_requested = 0;

// Applies tickets at once on a single host and keeps them in memory.
class LocalTicketBackend : public fighatch::daemon::TicketBackend {
 public:
  fighatch::TicketAnswer Submit(const fighatch::Ticket& ticket) override {
    return m_processor.Apply(ticket, {1, ++m_index});
  }
  [[nodiscard]] const fighatch::TicketProcessor& Processor() const override { return m_processor; }
  void WaitForNewer(fighatch::Version version, fighatch::io::Deadline deadline) override {
    while (m_processor.State().m_version <= version && std::chrono::steady_clock::now() < deadline) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    }
  }
  [[nodiscard]] fighatch::daemon::ReplicaStatus GetStatus() const override {
    return {"leader", fighatch::HostId{1}, 1, m_index, m_index, m_index, {}};
  }

 private:
  fighatch::TicketProcessor m_processor;
  std::uint64_t m_index = 0;
};

int Fail(const fighatch::Error& error) {
  LOG(ERROR) << "event=start_failed " << ToString(error);
  return 1;
}

int Run(const fighatch::config::ControlSettings& settings) {
  const auto key = fighatch::daemon::OperatorKey::Load(settings.m_operator_key_file);
  if (!IsOk(key)) return Fail(ErrorOf(key));
  fighatch::io::Reactor reactor;
  LocalTicketBackend backend;
  fighatch::daemon::ControlMetrics metrics;
  fighatch::daemon::ControlHttp http(settings, ValueOf(key), &backend, &metrics);
  auto server = fighatch::io::HttpServer::Create(
      settings.Self().m_http_endpoint, [&http](const auto& request, const auto&) { return http.Handle(request); });
  if (!IsOk(server)) return Fail(ErrorOf(server));
  LOG(INFO) << "event=started host=" << settings.m_host.m_value << " http=" << ToString(ValueOf(server)->Local());
  boost::fibers::fiber stopper([&] {
    while (g_stop_requested == 0) boost::this_fiber::sleep_for(kSignalCheckInterval);
    LOG(INFO) << "event=stopping host=" << settings.m_host.m_value;
    http.Stop();
    ValueOf(server)->Stop();
  });
  ValueOf(server)->Serve();
  stopper.join();
  LOG(INFO) << "event=stopped host=" << settings.m_host.m_value;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  signal(SIGPIPE, SIG_IGN);
  const auto request_stop = [](int) { g_stop_requested = 1; };
  signal(SIGTERM, request_stop);
  signal(SIGINT, request_stop);
  if (sodium_init() < 0) return Fail(fighatch::MakeError(fighatch::ErrorCode::kKeyUnreadable, "libsodium"));
  cxxopts::Options options("fighatch-control", "Control host of fighatch: accepts tickets and keeps the state.");
  options.add_options()("config", "settings file (JSON with comments)", cxxopts::value<std::string>())(
      "check-config", "check the settings and exit")(
      "found", "create the data folder of a founding control host and exit; once, before the first start")(
      "version", "print the version")("help", "print this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) return std::cout << options.help(), 0;
    if (parsed.count("version") > 0) return std::cout << "fighatch-control " << kVersion << "\n", 0;
    if (parsed.count("config") == 0) return std::cerr << "--config FILE is required; see --help\n", 1;
    const Result<std::string> text = fighatch::config::ReadTextFile(parsed["config"].as<std::string>());
    if (!IsOk(text)) return Fail(ErrorOf(text));
    const auto settings = fighatch::config::ParseControlSettings(ValueOf(text));
    if (!IsOk(settings)) return Fail(ErrorOf(settings));
    if (parsed.count("check-config") > 0) return std::cout << "settings are valid\n", 0;
    if (parsed.count("found") > 0) return std::filesystem::create_directories(ValueOf(settings).m_data_folder), 0;
    return Run(ValueOf(settings));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "; see --help\n";
    return 1;
  }
}
