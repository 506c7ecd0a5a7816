#include <glog/logging.h>
#include <sodium.h>

#include <boost/fiber/fiber.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>

#include "config/control_settings.h"
#include "control/control_http.h"
#include "control/control_metrics.h"
#include "control/control_replica.h"
#include "control/control_storage.h"
#include "daemon/http_authenticator.h"
#include "daemon/operator_key.h"
#include "daemon/program.h"
#include "daemon/sealed_message_transport.h"
#include "daemon/stop_signal.h"
#include "fighatch/incarnation.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/reactor.h"
#include "io/synced_file_store.h"

namespace {

using fighatch::ErrorOf;
using fighatch::IsOk;
using fighatch::Result;
using fighatch::ValueOf;
using fighatch::config::ControlSettings;
using fighatch::daemon::ExitCode;

constexpr std::chrono::milliseconds kLeadershipTransferTimeout{1000};
constexpr std::chrono::milliseconds kPeerLogCheckTimeout{1000};

ExitCode Fail(const fighatch::Error& error) {
  LOG(ERROR) << "event=start_failed " << ToString(error);
  return ExitCode::kFailed;
}

// The message endpoints of the other control hosts.
std::map<fighatch::HostId, fighatch::Endpoint> PeerEndpoints(const ControlSettings& settings) {
  std::map<fighatch::HostId, fighatch::Endpoint> peers;
  for (const auto& peer : settings.m_control_hosts) {
    if (peer.m_host != settings.m_host) peers[peer.m_host] = peer.m_message_endpoint;
  }
  return peers;
}

// True if another reachable control host already has log entries. Then this host must join the existing group with an
// empty disk; it must not create the disk of a founding member.
bool PeerHasLog(const ControlSettings& settings) {
  const fighatch::io::Reactor reactor;
  for (const auto& peer : settings.m_control_hosts) {
    if (peer.m_host == settings.m_host) continue;
    const auto response = fighatch::io::HttpExchange(peer.m_http_endpoint, {"GET", "/v1/health", {}, ""},
                                                     std::chrono::steady_clock::now() + kPeerLogCheckTimeout);
    if (!IsOk(response)) continue;
    const auto health = nlohmann::json::parse(ValueOf(response).m_body, nullptr, false);
    if (health.is_object() && health.value("last", 0ULL) > 0) return true;
  }
  return false;
}

ExitCode CreateFoundingStorage(const ControlSettings& settings) {
  if (PeerHasLog(settings)) {
    return Fail(fighatch::MakeError(fighatch::ErrorCode::kStorageWrongIdentity,
                                    "the other control hosts have a log; start without --found to join them"));
  }
  const fighatch::Status status = fighatch::daemon::BootstrapControlStorage(settings);
  return IsOk(status) ? ExitCode::kOk : Fail(ErrorOf(status));
}

// Serves until a stop signal, then transfers leadership to another control host and finishes the requests in progress.
ExitCode Serve(const ControlSettings& settings, const fighatch::daemon::OperatorKey& key,
               const fighatch::daemon::HttpAuthenticator& authenticator, fighatch::daemon::ControlStorage* storage,
               fighatch::daemon::MessageTransport* transport, fighatch::daemon::StopSignal* stop) {
  fighatch::daemon::ControlReplica replica(settings, storage->m_storage.get(), storage->m_storage->TakeStored(),
                                           transport);
  fighatch::daemon::ControlMetrics metrics;
  fighatch::daemon::ControlHttp http(settings, key, authenticator, &replica, &metrics);
  auto server = fighatch::io::HttpServer::Create(
      settings.Self().m_http_endpoint, [&http](const auto& request, const auto&) { return http.Handle(request); });
  if (!IsOk(server)) return Fail(ErrorOf(server));
  replica.Start();
  LOG(INFO) << "event=started host=" << settings.m_host.m_value << " http=" << ToString(ValueOf(server)->Local());
  boost::fibers::fiber stopper([&] {
    while (!stop->Wait(fighatch::io::kNoDeadline)) {
    }
    LOG(INFO) << "event=stopping host=" << settings.m_host.m_value;
    replica.AnnounceStop(std::chrono::steady_clock::now() + kLeadershipTransferTimeout);
    http.Stop();
    ValueOf(server)->Stop();
  });
  ValueOf(server)->Serve();
  stopper.join();
  replica.Stop();
  LOG(INFO) << "event=stopped host=" << settings.m_host.m_value;
  return ExitCode::kOk;
}

Result<fighatch::SecureChannel> OpenChannel(const ControlSettings& settings, const fighatch::KeyRing& keys) {
  fighatch::io::SyncedFileStore files(settings.m_data_folder);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto incarnation = fighatch::AllocateIncarnation(
      &files, static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
  if (!IsOk(incarnation)) return ErrorOf(incarnation);
  std::uint64_t token = 0;
  randombytes_buf(&token, sizeof(token));
  return fighatch::SecureChannel({settings.m_host, ValueOf(incarnation), token}, keys);
}

ExitCode Run(const ControlSettings& settings, const fighatch::daemon::ProgramOptions& options) {
  if (options.m_flags.contains("found")) return CreateFoundingStorage(settings);
  fighatch::daemon::StopSignal stop;
  const auto key = fighatch::daemon::OperatorKey::Load(settings.m_operator_key_file);
  if (!IsOk(key)) return Fail(ErrorOf(key));
  auto storage = fighatch::daemon::OpenControlStorage(settings);
  if (!IsOk(storage)) return Fail(ErrorOf(storage));
  const fighatch::io::Reactor reactor;
  const auto keys = fighatch::KeyRing::Load(settings.m_cluster_keys);
  if (!IsOk(keys)) return Fail(ErrorOf(keys));
  const fighatch::daemon::HttpAuthenticator authenticator(ValueOf(keys));
  auto channel = OpenChannel(settings, ValueOf(keys));
  if (!IsOk(channel)) return Fail(ErrorOf(channel));
  auto transport = fighatch::daemon::SealedMessageTransport::Create(settings.Self().m_message_endpoint,
                                                                    PeerEndpoints(settings), &ValueOf(channel));
  if (!IsOk(transport)) return Fail(ErrorOf(transport));
  return Serve(settings, ValueOf(key), authenticator, &ValueOf(storage), ValueOf(transport).get(), &stop);
}

}  // namespace

int main(int argc, char** argv) {
  return fighatch::daemon::RunProgram<ControlSettings>(
      argc, argv,
      {"fighatch-control",
       "Control host of fighatch: accepts tickets and keeps the state.",
       {{"found", "Create the data folder of a founding control host and exit; once, before the first start"}}},
      fighatch::config::ParseControlSettings, Run);
}
