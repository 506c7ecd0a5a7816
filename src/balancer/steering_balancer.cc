#include "balancer/steering_balancer.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <set>
#include <utility>

#include "daemon/clock.h"
#include "daemon/metrics_server.h"
#include "daemon/random_bits.h"
#include "fighatch/host_address.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A stopping balancer serves for at least this long, until the routers have noticed that it is not ready.
constexpr milliseconds kMinDrainTime{1500};
// After `kMinDrainTime` a stopping balancer exits once no packet has arrived for this long.
constexpr milliseconds kDrainIdleTime{400};
// A stopping balancer exits in any case this long before the end of the grace time.
constexpr milliseconds kStopGraceMargin{800};
// Intervals at which held packets are released: while there are any, and while the queue is empty.
constexpr milliseconds kReleaseInterval{15};
constexpr milliseconds kIdleReleaseInterval{25};
// A balancer without a target that answers is not ready for at least `kMinUnreachableTime`, then until it has contact
// to control hosts, but for no longer than `kMaxUnreachableTime`.
constexpr milliseconds kMinUnreachableTime{1500};
constexpr milliseconds kMaxUnreachableTime{10000};
// An observation that no target is reachable is ignored once it is this old.
constexpr milliseconds kMaxUnreachableAge{500};
// Number of targets that are compared for a new flow.
constexpr std::size_t kSampledTargets = 5;
constexpr std::size_t kPacketBytes = 2048;
constexpr std::size_t kPacketBatch = 32;

SteeringOptions MakeSteeringOptions(const config::SteeringBalancerSettings& settings) {
  SteeringOptions options;
  options.m_self = settings.m_discovery.Self();
  options.m_data_centre = settings.m_discovery.m_data_centre;
  options.m_rate_shares = settings.m_rate_shares;
  return options;
}

Duration ToDuration(double span_ms) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(span_ms));
}

std::unique_ptr<ChoiceStrategy> MakeChoice(config::Placement placement) {
  const Random random(RandomBits());
  return placement == config::Placement::kRemainingWork ? MakeRemainingWorkChoice(random, kSampledTargets)
                                                        : MakeSampledExpectedTimeChoice(random, kSampledTargets);
}

SyncClientOptions MakeSyncOptions(const config::SteeringBalancerSettings& settings) {
  SyncClientOptions options;
  options.m_self = settings.m_discovery.Self();
  options.m_role = SyncRole::kBalancer;
  options.m_data_centre = settings.m_discovery.m_data_centre;
  return options;
}

}  // namespace

SteeringBalancer::SteeringBalancer(config::SteeringBalancerSettings settings, std::string settings_path,
                                   const PacketCodec* codec)
    : m_settings(std::move(settings)),
      m_codec(codec),
      m_steering(MakeSteeringOptions(m_settings), MakeChoice(m_settings.m_placement), Random(RandomBits())),
      m_sync_client(MakeSyncOptions(m_settings)),
      m_seed_reload(std::move(settings_path), config::ParseSteeringBalancerSettings, &m_settings.m_discovery,
                    &m_sync_client),
      m_log_line_budget(m_settings.m_discovery.m_log_lines_per_second),
      m_last_packet_at(steady_clock::now()) {
  if (EgressScheduler::IsNeeded(m_settings.m_link_mbps, kPacketBatch)) m_egress.emplace(m_settings.m_link_mbps);
}

Status SteeringBalancer::Open(io::HttpHandler readiness) {
  io::UdpOptions options;
  options.m_batch = kPacketBatch;
  options.m_datagram_bytes = kPacketBytes;
  options.m_headroom_bytes = PacketCodec::kHeadroomBytes;
  Result<io::UdpSocket> packets = io::UdpSocket::Bind(m_settings.m_packet_endpoint, options);
  if (!IsOk(packets)) return ErrorOf(packets);
  m_packet_socket.emplace(std::move(ValueOf(packets)));
  const config::DiscoverySettings& discovery = m_settings.m_discovery;
  Result<io::PlainMessageSocket> messages =
      io::PlainMessageSocket::Bind({discovery.m_address, discovery.m_balancer_message_port});
  if (!IsOk(messages)) return ErrorOf(messages);
  m_message_socket.emplace(std::move(ValueOf(messages)));
  auto server = io::HttpServer::Create(m_settings.m_readiness_endpoint, std::move(readiness));
  if (!IsOk(server)) return ErrorOf(server);
  m_readiness_server = std::move(ValueOf(server));
  AddMetrics();
  auto metrics = CreateMetricsServer(m_settings.m_discovery, &m_metrics);
  if (!IsOk(metrics)) return ErrorOf(metrics);
  m_metrics_server = std::move(ValueOf(metrics));
  return OkStatus();
}

bool SteeringBalancer::IsReady() const {
  return !m_stopping && !m_targets_unreachable && m_steering.State().m_index > 0;
}

void SteeringBalancer::Run(StopSignal* stop) {
  const config::DiscoverySettings& discovery = m_settings.m_discovery;
  LOG(INFO) << "event=started address=" << ToString(discovery.m_address) << " data_centre=" << discovery.m_data_centre
            << " packets=" << ToString(m_settings.m_packet_endpoint) << " seeds=" << discovery.m_seeds.size();
  if (m_settings.m_placement != config::Placement::kExpectedTime) {
    LOG(INFO) << "event=placement name=" << config::PlacementName(m_settings.m_placement);
  }
  LOG(WARNING) << "event=unsealed_messages meaning=\"messages between hosts carry no key, as the settings say\"";
  std::vector<boost::fibers::fiber> fibers;
  fibers.emplace_back([this] { ServePackets(); });
  fibers.emplace_back([this] { ServeMessages(); });
  fibers.emplace_back([this] { PollControlHosts(); });
  fibers.emplace_back([this] { ReportLoad(); });
  fibers.emplace_back([this] { SendSummaries(); });
  fibers.emplace_back([this] { ServeAdmissionQueue(); });
  if (m_egress) fibers.emplace_back([this] { ServeEgress(); });
  fibers.emplace_back([this] { m_readiness_server->Serve(); });
  if (m_metrics_server) fibers.emplace_back([this] { m_metrics_server->Serve(); });
  AwaitStop(stop);
  Drain();
  m_done = true;
  m_readiness_server->Stop();
  if (m_metrics_server) m_metrics_server->Stop();
  for (boost::fibers::fiber& fiber : fibers) fiber.join();
  LOG(INFO) << "event=stopped packets=" << m_counters.m_packets << " placed=" << m_counters.m_placed;
}

void SteeringBalancer::ServePackets() {
  while (!m_done) {
    const std::span<const io::IncomingDatagram> batch =
        m_packet_socket->Receive(steady_clock::now() + kStopCheckInterval);
    if (!batch.empty()) HandleBatch(batch);
  }
}

void SteeringBalancer::HandleBatch(std::span<const io::IncomingDatagram> batch) {
  const TimePoint now = Now();
  m_last_packet_at = steady_clock::now();
  m_outgoing.clear();
  m_reset_packets.clear();
  // Spans in `m_outgoing` refer to the resets and must stay valid until these are sent.
  m_reset_packets.reserve(batch.size());
  for (const io::IncomingDatagram& datagram : batch) HandlePacket(now, datagram);
  if (!m_outgoing.empty()) m_packet_socket->Send(m_outgoing);
  // Checked after each batch: the sooner routers switch to other balancers, the fewer opening packets are lost.
  if (!m_targets_unreachable) UpdateTargetReachability(now);
  m_latencies.m_batch.Add(Now() - now);
}

void SteeringBalancer::HandlePacket(TimePoint now, const io::IncomingDatagram& datagram) {
  ++m_counters.m_packets;
  const Result<CookiePacket> packet = m_codec->Parse(datagram.m_bytes);
  if (!IsOk(packet)) {
    ++m_counters.m_malformed;
    if (m_log_line_budget.Allow()) LOG(WARNING) << "event=packet_refused " << ToString(ErrorOf(packet));
    return;
  }
  // Before steering, which would take the missing answer for a fault of the target.
  if (m_egress && m_egress->m_scheduler.DropDuplicateOpening(now, ValueOf(packet), datagram.m_bytes.size())) return;
  const Duration objective = ObjectiveOf(ValueOf(packet));
  if (const std::optional<SteeringDecision> refusal = RefuseBulkFlow(now, ValueOf(packet), objective)) {
    ApplyDecision(now, ValueOf(packet), objective, datagram.m_bytes, *refusal);
    return;
  }
  const SteeringDecision decision = m_steering.Steer(now, ValueOf(packet));
  if (decision.m_action == SteeringAction::kHold) {
    HoldPacket(now, ValueOf(packet), datagram.m_bytes, decision);
    return;
  }
  ApplyDecision(now, ValueOf(packet), objective, datagram.m_bytes, decision);
}

void SteeringBalancer::ApplyDecision(TimePoint now, const CookiePacket& packet, Duration objective,
                                     std::span<std::byte> bytes, const SteeringDecision& decision) {
  switch (decision.m_action) {
    case SteeringAction::kForward: {
      ++m_counters.m_forwarded;
      m_counters.m_placed += decision.m_placed ? 1 : 0;
      if (decision.m_expected_ms) m_latencies.m_expected.Add(ToDuration(*decision.m_expected_ms));
      if (decision.m_opened_after) m_latencies.m_open.Add(*decision.m_opened_after);
      if (decision.m_closed_after) m_latencies.m_flow.Add(*decision.m_closed_after);
      const std::span<const std::byte> datagram = m_codec->Encapsulate(bytes, decision.m_target, decision.m_cookie);
      if (!m_egress || OfferToLink(now, packet, objective, decision.m_endpoint, datagram)) {
        m_outgoing.push_back({decision.m_endpoint, datagram});
      }
      break;
    }
    case SteeringAction::kReset:
      ++m_counters.m_resets;
      m_reset_packets.push_back(m_codec->MakeReset(bytes));
      m_outgoing.push_back({{packet.m_endpoints.m_client.m_address, m_settings.m_packet_endpoint.m_port},
                            std::span<const std::byte>(m_reset_packets.back())});
      if (m_egress) AccountReset(now, packet, m_reset_packets.back().size());
      break;
    case SteeringAction::kDrop:
    case SteeringAction::kHold:
      ++m_counters.m_dropped;
      break;
  }
  if (decision.m_placed || decision.m_action != SteeringAction::kForward) LogDecision(packet, decision);
}

void SteeringBalancer::HoldPacket(TimePoint now, const CookiePacket& packet, std::span<const std::byte> bytes,
                                  const SteeringDecision& decision) {
  WaitingPacket waiting{packet, decision.m_priority, now - packet.m_age,
                        std::vector<std::byte>(PacketCodec::kHeadroomBytes), decision.m_objective_deadline};
  waiting.m_bytes.insert(waiting.m_bytes.end(), bytes.begin(), bytes.end());
  m_admission_queue.Put(std::move(waiting));
  ++m_counters.m_waited;
}

void SteeringBalancer::ServeAdmissionQueue() {
  while (!m_done) {
    boost::this_fiber::sleep_for(m_admission_queue.Size() > 0 ? kReleaseInterval : kIdleReleaseInterval);
    if (m_admission_queue.Size() > 0) ReleaseWaitingPackets(Now());
  }
}

void SteeringBalancer::ReleaseWaitingPackets(TimePoint now) {
  m_admission_queue.Expire(now);
  m_outgoing.clear();
  m_reset_packets.clear();
  m_reset_packets.reserve(m_admission_queue.Size());
  std::vector<ReleasedPacket> shared = m_steering.ReleaseSharedPackets(now, &m_admission_queue);
  for (ReleasedPacket& packet : shared) ApplyToWaitingPacket(now, &packet.m_packet, packet.m_decision);
  std::vector<WaitingPacket> released;
  std::vector<WaitingPacket> held;
  // Services whose targets have no free capacity are skipped, so that they do not delay packets to other services.
  std::set<Endpoint> blocked = m_steering.AddressesShortOfRoom();
  std::size_t budget = m_steering.ReleaseBudget(now);
  while (budget > 0) {
    std::optional<WaitingPacket> next = m_admission_queue.TakeNext(now, blocked);
    if (!next) break;
    released.push_back(std::move(*next));
    WaitingPacket& packet = released.back();
    const SteeringDecision decision = m_steering.SteerWaiting(now, packet.m_packet, packet.m_first_sent);
    if (decision.m_action == SteeringAction::kHold) {
      packet.m_priority = decision.m_priority;
      packet.m_objective_deadline = decision.m_objective_deadline;
      blocked.insert(packet.m_packet.m_endpoints.m_service);
      held.push_back(std::move(packet));
      released.pop_back();
      continue;
    }
    ApplyToWaitingPacket(now, &packet, decision);
    --budget;
  }
  for (WaitingPacket& packet : held) m_admission_queue.Put(std::move(packet));
  RefuseExcessPackets(now);
  if (!m_outgoing.empty()) m_packet_socket->Send(m_outgoing);
  if (m_log_line_budget.Allow()) {
    LOG(INFO) << "event=waiting_released count=" << released.size() + shared.size()
              << " still_waiting=" << m_admission_queue.Size() << " state=" << m_steering.State().m_index
              << " suppressed=" << m_log_line_budget.TakeSuppressed();
  }
}

void SteeringBalancer::RefuseExcessPackets(TimePoint now) {
  SteeringDecision refused;
  refused.m_action = SteeringAction::kReset;
  refused.m_reason = ErrorCode::kRequestOverloaded;
  for (WaitingPacket& packet : m_admission_queue.RemoveExcess(m_steering.WaitingLimit(now))) {
    ++m_counters.m_refused_waiting;
    ApplyToWaitingPacket(now, &packet, refused);
  }
}

void SteeringBalancer::ApplyToWaitingPacket(TimePoint now, WaitingPacket* packet, const SteeringDecision& decision) {
  m_latencies.m_wait.Add(now - packet->m_first_sent);
  ApplyDecision(now, packet->m_packet, ObjectiveOf(packet->m_packet),
                std::span(packet->m_bytes).subspan(PacketCodec::kHeadroomBytes), decision);
}

void SteeringBalancer::UpdateTargetReachability(TimePoint now) {
  if (!m_targets_unreachable) {
    const std::optional<TimePoint> unreachable_at = m_steering.TargetsUnreachableAt();
    if (!unreachable_at || now - *unreachable_at >= kMaxUnreachableAge) return;
    m_targets_unreachable = true;
    m_unreachable_since = now;
    LOG(WARNING) << "event=stranded meaning=\"no target answers\" control=" << m_sync_client.IsCurrent(now);
    return;
  }
  const bool is_current = m_sync_client.IsCurrent(now);
  const Duration unreachable_for = now - m_unreachable_since;
  const bool reachable_again =
      (is_current && unreachable_for >= kMinUnreachableTime) || unreachable_for >= kMaxUnreachableTime;
  if (!reachable_again) return;
  m_targets_unreachable = false;
  m_steering.ResetUnanswered();
  LOG(INFO) << "event=stranding_over control=" << is_current;
}

void SteeringBalancer::LogDecision(const CookiePacket& packet, const SteeringDecision& decision) {
  if (!m_log_line_budget.Allow()) return;
  const std::string flow = ToString(packet.m_endpoints.m_client) + "-" + ToString(packet.m_endpoints.m_service);
  if (decision.m_placed) {
    const std::string expected =
        decision.m_expected_ms ? " expected_ms=" + std::to_string(*decision.m_expected_ms) : "";
    LOG(INFO) << "event=flow_placed flow=" << flow << " copy=" << packet.m_retransmissions << " target=" << std::hex
              << decision.m_target.m_value << std::dec << " endpoint=" << ToString(decision.m_endpoint)
              << " flows_at_target=" << decision.m_flows_at_target << " candidates=" << decision.m_candidates
              << expected << " state=" << m_steering.State().m_index
              << " suppressed=" << m_log_line_budget.TakeSuppressed();
    return;
  }
  const bool is_reset = decision.m_action == SteeringAction::kReset;
  LOG(INFO) << (is_reset ? "event=flow_reset" : "event=packet_dropped") << " flow=" << flow
            << " opening=" << packet.m_opening << " cookie=" << std::hex << packet.m_cookie << std::dec
            << " reason=" << ErrorName(decision.m_reason) << " state=" << m_steering.State().m_index
            << " suppressed=" << m_log_line_budget.TakeSuppressed();
}

void SteeringBalancer::AwaitStop(StopSignal* stop) {
  while (!stop->Wait(io::kNoDeadline)) {
    if (stop->TakeReloadRequest()) m_seed_reload.Reload("signal");
  }
}

void SteeringBalancer::Drain() {
  m_stopping = true;
  const auto started = steady_clock::now();
  LOG(INFO) << "event=stopping open_flows=" << m_steering.OpenFlows();
  const auto deadline = started + m_settings.m_stop_grace - kStopGraceMargin;
  while (steady_clock::now() < deadline) {
    boost::this_fiber::sleep_for(milliseconds(100));
    const auto now = steady_clock::now();
    const bool is_idle = now - m_last_packet_at >= kDrainIdleTime && (!m_egress || m_egress->m_scheduler.IsEmpty());
    if (now - started >= kMinDrainTime && is_idle) break;
  }
}

}  // namespace fighatch::daemon
