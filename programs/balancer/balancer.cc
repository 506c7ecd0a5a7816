#include "balancer.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <cstring>
#include <utility>

#include "daemon/random_bits.h"
#include "fighatch/incarnation.h"
#include "io/synced_file_store.h"

namespace fighatch::balancer {
namespace {

using daemon::RandomBits;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTickInterval{10};
constexpr const char* kStateFile = "state";

std::uint64_t WallClockMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// Derives the key that authenticates request ids from the cluster key, so that all balancers have the same one.
RequestIdKey DeriveRequestIdKey(const KeyBytes& cluster_key) {
  return daemon::DeriveKey(cluster_key, "fighatch request ids");
}

}  // namespace

Balancer::Balancer(const BalancerSettings& settings) : m_settings(settings) {}

Result<std::unique_ptr<Balancer>> Balancer::Create(const BalancerSettings& settings) {
  std::unique_ptr<Balancer> balancer(new Balancer(settings));
  using Step = Status (Balancer::*)();
  for (const Step step : {&Balancer::LoadKeys, &Balancer::OpenFiles, &Balancer::OpenSockets}) {
    const Status status = (balancer.get()->*step)();
    if (!IsOk(status)) return ErrorOf(status);
  }
  balancer->AddMetrics();
  return balancer;
}

Status Balancer::LoadKeys() {
  Result<KeyRing> keys = KeyRing::Load(m_settings.m_keys);
  if (!IsOk(keys)) return ErrorOf(keys);
  m_keys = std::move(ValueOf(keys));
  for (const KeyFile& file : m_settings.m_keys) {
    if (file.m_kind != KeyKind::kTarget) continue;
    TargetKey key{};
    std::memcpy(key.data(), m_keys.Find(KeyKind::kTarget, file.m_id)->data(), key.size());
    m_target_keys.push_back(key);
  }
  return OkStatus();
}

Status Balancer::OpenFiles() {
  if (!m_settings.m_data_folder.empty()) m_files = std::make_unique<io::SyncedFileStore>(m_settings.m_data_folder);
  const Result<Incarnation> incarnation = AllocateIncarnation(m_files.get(), WallClockMicros());
  if (!IsOk(incarnation)) return ErrorOf(incarnation);
  m_incarnation = ValueOf(incarnation);
  Result<std::unique_ptr<observe::Tracer>> tracer =
      observe::Tracer::Open(m_settings.m_trace_file, "fighatch-balancer", std::to_string(m_settings.m_host.m_value));
  if (!IsOk(tracer)) return ErrorOf(tracer);
  m_tracer = std::move(ValueOf(tracer));
  if (!m_files) return OkStatus();
  const Result<std::vector<std::byte>> stored = m_files->Read(kStateFile);
  if (!IsOk(stored)) return ErrorOf(stored);
  if (ValueOf(stored).empty()) return OkStatus();
  Result<StateDocument> state = DecodeState(ValueOf(stored));
  // A damaged state file is ignored like a missing one: the control hosts send the state again.
  if (IsOk(state)) m_stored_state = std::move(ValueOf(state));
  return OkStatus();
}

Status Balancer::OpenSockets() {
  m_channel.emplace(SecureChannelSettings{m_settings.m_host, m_incarnation, RandomBits()}, m_keys);
  daemon::PeerDirectory directory;
  directory.m_find_endpoint = [this](HostId host) { return m_control ? m_control->FindEndpoint(host) : std::nullopt; };
  directory.m_balancers = [this] { return m_control ? m_control->OtherBalancers() : std::vector<HostId>(); };
  Result<std::unique_ptr<daemon::PeerLinks>> links =
      daemon::PeerLinks::Create(m_settings.m_control_endpoint, &*m_channel, std::move(directory),
                                [this](const Envelope& message, const Endpoint& source) {
                                  if (m_control) m_control->OnMessage(message, source);
                                });
  if (!IsOk(links)) return ErrorOf(links);
  m_links = std::move(ValueOf(links));

  daemon::DataPlaneOptions options;
  options.m_host = m_settings.m_host;
  options.m_listen = m_settings.m_data_endpoint;
  options.m_fabric = m_settings.m_fabric_endpoint;
  options.m_receive_threads = m_settings.m_receive_threads;
  options.m_shards = m_settings.m_flow_shards;
  options.m_record_capacity = m_settings.m_flow_records;
  options.m_first_sequence = RandomBits() >> 1U;
  Result<std::unique_ptr<daemon::DataPlane>> plane =
      daemon::DataPlane::Create(options, [this](daemon::RequestDatagram datagram) {
        if (m_requests && !m_requests->Push(std::move(datagram))) {
          LOG_EVERY_N(WARNING, 1000) << "event=request_queue_full";
        }
      });
  if (!IsOk(plane)) return ErrorOf(plane);
  m_data_plane = std::move(ValueOf(plane));

  auto server = io::HttpServer::Create(
      m_settings.m_http_endpoint,
      [this](const HttpRequest& request, const io::HttpArrival&) { return HandleHttp(request); });
  if (!IsOk(server)) return ErrorOf(server);
  m_server = std::move(ValueOf(server));
  return OkStatus();
}

void Balancer::Run(daemon::StopSignal* stop) {
  m_follower = std::make_unique<daemon::StateFollower>(m_settings.m_host, m_settings.m_control_hosts,
                                                       daemon::HttpAuthenticator(m_keys), m_stored_state,
                                                       [this](const StateDocument& state) { OnState(state); });
  StartControlLoop(m_stored_state);
  m_links->Start();
  boost::fibers::fiber http([this] { m_server->Serve(); });
  boost::fibers::fiber follower([this] { m_follower->Run(); });
  boost::fibers::fiber ticker([this] { TickLoop(); });
  LOG(INFO) << "event=started host=" << m_settings.m_host.m_value << " incarnation=" << m_incarnation.m_value
            << " data=" << ToString(m_data_plane->Local());
  while (!stop->Wait(io::kNoDeadline)) {
  }
  Leave();
  m_stopping = true;
  m_follower->Stop();
  m_server->Stop();
  m_data_plane->Stop();
  ticker.join();
  follower.join();
  http.join();
  m_links->Stop();
  m_requests.reset();
  LOG(INFO) << "event=stopped host=" << m_settings.m_host.m_value;
}

void Balancer::TickLoop() {
  while (!m_stopping) {
    if (m_control) m_control->Tick();
    boost::this_fiber::sleep_for(kTickInterval);
  }
}

void Balancer::StartControlLoop(const StateDocument& state) {
  const auto found = state.m_data_centres.find(m_settings.m_data_centre);
  if (found == state.m_data_centres.end()) return;
  daemon::ControlLoopOptions options;
  options.m_self.m_host = m_settings.m_host;
  options.m_self.m_data_centre = found->second.m_id;
  options.m_self.m_incarnation = m_incarnation;
  options.m_self.m_control_endpoint = m_settings.m_control_endpoint;
  options.m_self.m_data_endpoint = m_settings.m_data_endpoint;
  options.m_seeds = m_settings.m_seeds;
  options.m_target_keys = m_target_keys;
  options.m_seed = RandomBits();
  m_control = std::make_unique<daemon::ControlLoop>(
      options, daemon::ControlLoopDependencies{m_data_plane.get(), m_links.get()}, state);

  RequestEngineSettings engine_settings;
  engine_settings.m_host = m_settings.m_host;
  engine_settings.m_incarnation = m_incarnation;
  const Result<std::uint32_t> active = m_keys.ActiveId(KeyKind::kCluster);
  engine_settings.m_key = DeriveRequestIdKey(*m_keys.Find(KeyKind::kCluster, ValueOf(active)));
  for (const KeyFile& file : m_settings.m_keys) {
    const bool is_previous = file.m_kind == KeyKind::kCluster && file.m_id != ValueOf(active);
    if (is_previous) engine_settings.m_previous_key = DeriveRequestIdKey(*m_keys.Find(KeyKind::kCluster, file.m_id));
  }
  daemon::RequestDriverDependencies dependencies;
  dependencies.m_allowance = &m_control->Allowance();
  dependencies.m_peers = m_links.get();
  dependencies.m_tracer = m_tracer.get();
  dependencies.m_send_to_fabric = [this](std::span<const std::byte> inner) { m_data_plane->SendToFabric(inner); };
  dependencies.m_on_exchange_end = [this](const ReportExchange& report) { m_control->OnExchangeEnd(report); };
  m_requests = std::make_unique<daemon::RequestDriver>(engine_settings, dependencies, RandomBits());
  m_control->SetRequestDriver(m_requests.get());
  m_data_plane->Start();
}

void Balancer::OnState(const StateDocument& state) {
  StoreState(state);
  if (m_control) {
    m_control->OnState(state);
  } else {
    StartControlLoop(state);
  }
}

void Balancer::StoreState(const StateDocument& state) {
  if (!m_files) return;
  const Status stored = m_files->Replace(kStateFile, EncodeState(state));
  // A write error does not stop the balancer: the file is needed only to restart while no control host is reachable.
  if (!IsOk(stored)) LOG(ERROR) << "event=state_not_stored " << ToString(ErrorOf(stored));
}

void Balancer::Leave() {
  m_leaving = true;
  if (!m_control) return;
  const auto deadline = steady_clock::now() + m_settings.m_stop_timeout;
  const HostId successor = m_control->Successor();
  if (successor != HostId{}) m_requests->Handle(StopRequested{successor});
  m_control->StartLeave();
  const auto is_done = [this, successor] {
    const std::vector<HostId> others = m_control->OtherBalancers();
    // A successor that has left the cluster cannot confirm the handover; then the stop waits only for the requests in
    // progress.
    const bool has_successor = std::find(others.begin(), others.end(), successor) != others.end();
    const bool is_idle = m_requests->Engine().CallsInProgress() == 0;
    const bool drained = has_successor ? m_requests->IsDrained() : is_idle;
    return m_control->HasLeft(drained) && drained;
  };
  while (!is_done() && steady_clock::now() < deadline) boost::this_fiber::sleep_for(kTickInterval);
  LOG(INFO) << "event=left requests_in_progress=" << m_requests->Engine().CallsInProgress();
}

}  // namespace fighatch::balancer
