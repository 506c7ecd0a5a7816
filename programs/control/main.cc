#include <glog/logging.h>
#include <signal.h>
#include <sodium.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "config/control_settings.h"
#include "config/json_reader.h"
#include "daemon/control_http.h"
#include "daemon/control_metrics.h"
#include "daemon/control_replica.h"
#include "daemon/control_storage.h"
#include "daemon/operator_key.h"
#include "daemon/tcp_message_transport.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/reactor.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::Result;
using fighatch::ValueOf;
using fighatch::config::ControlSettings;

constexpr const char* kVersion = "0.1.0";
constexpr std::chrono::milliseconds kSignalCheckInterval{50};
constexpr std::chrono::milliseconds kHandOverTimeout{1000};
constexpr std::chrono::milliseconds kFoundCheckTimeout{1000};

volatile std::sig_atomic_t g_stop_requested = 0;

int Fail(const fighatch::Error& error) {
  LOG(ERROR) << "event=start_failed " << ToString(error);
  return 1;
}

// The addresses of the other control hosts.
std::map<fighatch::HostId, fighatch::Endpoint> PeersOf(const ControlSettings& settings) {
  std::map<fighatch::HostId, fighatch::Endpoint> peers;
  for (const auto& peer : settings.m_control_hosts) {
    if (peer.m_host != settings.m_host) peers[peer.m_host] = peer.m_message_endpoint;
  }
  return peers;
}

// True if another control host already has a log: then this disk must join and must not count as a founding one.
bool LogExists(const ControlSettings& settings) {
  const fighatch::io::Reactor reactor;
  for (const auto& peer : settings.m_control_hosts) {
    if (peer.m_host == settings.m_host) continue;
    const auto answer = fighatch::io::HttpExchange(peer.m_http_endpoint, {"GET", "/v1/health", {}, ""},
                                                   std::chrono::steady_clock::now() + kFoundCheckTimeout);
    if (!IsOk(answer)) continue;
    const auto health = nlohmann::json::parse(ValueOf(answer).m_body, nullptr, false);
    if (health.is_object() && health.value("last", 0ULL) > 0) return true;
  }
  return false;
}

int Found(const ControlSettings& settings) {
  if (LogExists(settings)) {
    return Fail(fighatch::MakeError(fighatch::ErrorCode::kStorageWrongIdentity,
                                    "the other control hosts have a log; start without --found to join them"));
  }
  const fighatch::Status status = fighatch::daemon::FoundControlStorage(settings);
  return IsOk(status) ? 0 : Fail(ErrorOf(status));
}

// Serves until a signal asks for a stop: then leadership is handed over and requests in progress are finished.
int Serve(const ControlSettings& settings, const fighatch::daemon::OperatorKey& key,
          fighatch::daemon::ControlStorage* storage, fighatch::daemon::MessageTransport* transport) {
  fighatch::daemon::ControlReplica replica(settings, storage->m_storage.get(), storage->m_storage->TakeStored(),
                                           transport);
  fighatch::daemon::ControlMetrics metrics;
  fighatch::daemon::ControlHttp http(settings, key, &replica, &metrics);
  auto server = fighatch::io::HttpServer::Create(
      settings.Self().m_http_endpoint, [&http](const auto& request, const auto&) { return http.Handle(request); });
  if (!IsOk(server)) return Fail(ErrorOf(server));
  replica.Start();
  LOG(INFO) << "event=started host=" << settings.m_host.m_value << " http=" << ToString(ValueOf(server)->Local());
  boost::fibers::fiber stopper([&] {
    while (g_stop_requested == 0) boost::this_fiber::sleep_for(kSignalCheckInterval);
    LOG(INFO) << "event=stopping host=" << settings.m_host.m_value;
    replica.HandOver(std::chrono::steady_clock::now() + kHandOverTimeout);
    http.Stop();
    ValueOf(server)->Stop();
  });
  ValueOf(server)->Serve();
  stopper.join();
  replica.Stop();
  LOG(INFO) << "event=stopped host=" << settings.m_host.m_value;
  return 0;
}

int Run(const ControlSettings& settings) {
  const auto key = fighatch::daemon::OperatorKey::Load(settings.m_operator_key_file);
  if (!IsOk(key)) return Fail(ErrorOf(key));
  auto storage = fighatch::daemon::OpenControlStorage(settings);
  if (!IsOk(storage)) return Fail(ErrorOf(storage));
  const fighatch::io::Reactor reactor;
  auto transport = fighatch::daemon::TcpMessageTransport::Create(settings.Self().m_message_endpoint, PeersOf(settings));
  if (!IsOk(transport)) return Fail(ErrorOf(transport));
  return Serve(settings, ValueOf(key), &ValueOf(storage), ValueOf(transport).get());
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
    if (parsed.count("found") > 0) return Found(ValueOf(settings));
    return Run(ValueOf(settings));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "; see --help\n";
    return 1;
  }
}
