// Messages of a control host: to the other control hosts, to balancers, and the poll loop that keeps both going.
#include <glog/logging.h>

#include <boost/fiber/operations.hpp>
#include <utility>

#include "control/steering_control.h"
#include "daemon/clock.h"
#include "fighatch/host_address.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Receive timeout of the message loop, which bounds the delay until it notices a stop.
constexpr milliseconds kStopCheckInterval{500};
// Intervals between requests to the other control hosts: without contact to a majority, and with it.
constexpr milliseconds kFastPollInterval{100};
constexpr milliseconds kRegularPollInterval{300};
// Pause after a push for each follower: a change that comes alone is pushed at once, and many changes in a row cost a
// bounded share of the processor, whatever the number of followers.
constexpr std::chrono::microseconds kPushIntervalPerFollower{500};

}  // namespace

bool SteeringControl::AwaitMajority(StopSignal* stop) {
  while (!m_sync_client.IsCurrent(Now())) {
    if (stop->Wait(steady_clock::now())) return false;
    for (const auto& [host, request] : m_sync_client.Tick(Now(), {})) {
      SendTo(host, m_settings.m_discovery.m_control_message_port, MessageType::kSyncRequest,
             EncodeSyncRequest(request));
    }
    for (const io::PlainMessage& message : m_message_socket->Receive(steady_clock::now() + kFastPollInterval)) {
      HandleMessage(Now(), message);
    }
  }
  return true;
}

void SteeringControl::Send(HostId to, std::vector<std::byte> message) {
  SendTo(to, m_settings.m_discovery.m_control_message_port, MessageType::kRaft, message);
}

void SteeringControl::SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload) {
  // A failed send is ignored: the message is requested or sent again.
  (void)m_message_socket->Send(EndpointOf(host, port), type, payload);
}

void SteeringControl::ServeMessages() {
  while (!m_done) {
    for (const io::PlainMessage& message : m_message_socket->Receive(steady_clock::now() + kStopCheckInterval)) {
      HandleMessage(Now(), message);
    }
  }
}

void SteeringControl::HandleMessage(TimePoint now, const io::PlainMessage& message) {
  if (message.m_type == MessageType::kRaft) {
    if (m_raft_receiver) m_raft_receiver(message.m_payload);
  } else if (message.m_type == MessageType::kSyncRequest) {
    const Result<SyncRequest> request = DecodeSyncRequest(message.m_payload);
    if (IsOk(request)) return HandleRequest(now, ValueOf(request));
    LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(request));
  } else if (message.m_type == MessageType::kSyncReply) {
    const Result<SyncReply> reply = DecodeSyncReply(message.m_payload);
    if (IsOk(reply)) return HandleReply(now, ValueOf(reply));
    LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(reply));
  }
}

void SteeringControl::HandleRequest(TimePoint now, const SyncRequest& request) {
  const SyncReply reply = m_sync_server.Answer(now, request, m_target_monitor.HasMajority(now));
  const bool is_control = request.m_role == SyncRole::kControl;
  const std::uint16_t port =
      is_control ? m_settings.m_discovery.m_control_message_port : m_settings.m_discovery.m_balancer_message_port;
  SendTo(request.m_from, port, MessageType::kSyncReply, EncodeSyncReply(reply));
  if (is_control) m_confirmed.notify_all();
}

void SteeringControl::HandleReply(TimePoint now, const SyncReply& reply) {
  const bool must_confirm = m_sync_client.Receive(now, reply);
  const std::uint64_t change_before = m_target_directory.LastChange();
  for (const TargetObservation& observation : reply.m_targets) {
    if (m_target_directory.Merge(now, observation) != AnnounceOutcome::kChanged) continue;
    LOG(INFO) << "event=target_merged target=" << std::hex << observation.m_record.m_id.m_value << std::dec
              << " state=" << RecordStateName(observation.m_record.m_state)
              << " service=" << observation.m_record.m_service
              << " from=" << ToString(IpAddress::FromV4(reply.m_from.m_value))
              << " cold_left_ms=" << observation.m_record.m_cold_left_ms << " age_ms=" << observation.m_age_ms;
  }
  if (must_confirm) {
    SendTo(reply.m_from, m_settings.m_discovery.m_control_message_port, MessageType::kSyncRequest,
           EncodeSyncRequest(m_sync_client.RequestTo(reply.m_from, {})));
  }
  if (m_target_directory.LastChange() != change_before) RequestPush();
}

void SteeringControl::RequestPush() {
  m_push_requested = true;
  m_push_wakeup.notify_one();
}

void SteeringControl::ServePushes() {
  while (!m_done) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_push_wakeup.wait_until(lock, steady_clock::now() + kStopCheckInterval, [this] { return m_push_requested; });
    }
    if (!std::exchange(m_push_requested, false)) continue;
    PushChanges();
    boost::this_fiber::sleep_for(kPushIntervalPerFollower * m_sync_server.FollowerCount());
  }
}

void SteeringControl::PushChanges() {
  const TimePoint now = Now();
  for (const auto& [host, reply] : m_sync_server.Push(now, m_target_monitor.HasMajority(now))) {
    const bool is_control = m_sync_client.Contacts().contains(host);
    SendTo(host,
           is_control ? m_settings.m_discovery.m_control_message_port : m_settings.m_discovery.m_balancer_message_port,
           MessageType::kSyncReply, EncodeSyncReply(reply));
  }
}

void SteeringControl::PollOtherControlHosts() {
  while (!m_done) {
    const TimePoint now = Now();
    UpdateControlHosts();
    UpdateTargets(now);
    for (const auto& [host, request] : m_sync_client.Tick(now, {})) {
      SendTo(host, m_settings.m_discovery.m_control_message_port, MessageType::kSyncRequest,
             EncodeSyncRequest(request));
    }
    const bool has_majority = m_target_monitor.HasMajority(now);
    m_seed_reload.ReloadIfDue(has_majority);
    boost::this_fiber::sleep_for(has_majority ? kRegularPollInterval : kFastPollInterval);
  }
}

void SteeringControl::UpdateControlHosts() {
  std::set<HostId> members;
  for (const RaftMember& member : m_log_replica->Node().Configuration().m_members) members.insert(member.m_peer.m_host);
  std::set<HostId> contacts = m_sync_client.Contacts();
  contacts.insert(members.begin(), members.end());
  m_log_replica->SetJoinRequestHosts(contacts);
  m_sync_server.SetControlHosts(members.empty() ? contacts : members);
}

void SteeringControl::UpdateTargets(TimePoint now) {
  std::set<HostId> voters;
  for (const RaftMember& member : m_log_replica->Node().Configuration().m_members) {
    if (member.m_voter) voters.insert(member.m_peer.m_host);
  }
  const std::vector<AnnouncedTarget> silent = m_target_monitor.Tick(now, std::move(voters), m_log_replica->HasQuorum());
  for (const AnnouncedTarget& record : silent) {
    LOG(WARNING) << "event=target_silent target=" << std::hex << record.m_id.m_value << std::dec
                 << " service=" << record.m_service << " endpoint=" << ToString(record.m_endpoint);
  }
  const bool has_majority = m_target_monitor.HasMajority(now);
  if (has_majority != m_had_majority) {
    LOG(INFO) << (has_majority ? "event=majority_regained" : "event=majority_lost")
              << " term=" << m_log_replica->Node().CurrentTerm() << " log_has_quorum=" << m_log_replica->HasQuorum()
              << " targets=" << m_target_directory.Size();
    m_had_majority = has_majority;
  }
  if (has_majority) RequestPush();
}

}  // namespace fighatch::daemon
