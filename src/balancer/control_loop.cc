#include "balancer/control_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCoordinationInterval{50};
constexpr milliseconds kTargetFactsInterval{200};
constexpr seconds kTableAckInterval{5};
// A member that has received no message for this long considers itself isolated.
constexpr seconds kIsolationTimeout{3};
// A balancer does not become a keeper before this time after its start. If it knows no ready keeper by then, its data
// centre has none.
constexpr seconds kFirstKeeperDelay{3};
// Time between the leave notice and the end of the process, in which other members spread the notice.
constexpr seconds kLeaveNoticeTime{1};

bool IsLive(const Member& member) {
  return member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
}

}  // namespace

ControlLoop::ControlLoop(const ControlLoopOptions& options, const ControlLoopDependencies& dependencies,
                         const StateDocument& state)
    : m_options(options),
      m_dependencies(dependencies),
      m_state(state),
      m_random(options.m_seed),
      m_membership({options.m_self, options.m_seeds, options.m_seeds}, Random(options.m_seed + 1)),
      m_registry(options.m_self.m_data_centre),
      m_coordinator({options.m_self.m_host, options.m_self.m_data_centre, options.m_self.m_incarnation}, &m_random),
      m_allowance(options.m_self.m_host, options.m_self.m_incarnation),
      m_started(DataPlane::Now()) {
  m_coordinator.SetState(m_state, m_started);
  OnMembersChanged(m_started);
}

void ControlLoop::SetRequestDriver(RequestDriver* request_driver) {
  m_request_driver = request_driver;
  for (const auto& [name, service] : m_state.m_services) m_request_driver->Handle(ServiceChanged{service});
}

void ControlLoop::Tick() {
  const TimePoint now = DataPlane::Now();
  TickMembership(now);
  if (now >= m_next_coordination) {
    m_next_coordination = now + kCoordinationInterval;
    TickCoordination(now);
    TickCoordinatorResync(now);
    TickTargetFacts(now);
    TickHealthChecks(now);
    TickTableAcks(now);
    TickReachability(now);
  }
  TickLeases(now);
  if (m_tables_changed) RebuildForwardingTable(now);
  TickPeerContact(now);
  TickFlowRecords();
}

void ControlLoop::TickMembership(TimePoint now) {
  if (now >= m_membership.NextDeadline()) Execute(m_membership.Tick(now), now);
  if (m_leaving || m_keeper_ready || !CanBecomeKeeper(now)) return;
  m_keeper_ready = true;
  LOG(INFO) << "event=keeper_ready host=" << m_options.m_self.m_host.m_value;
  Execute(m_membership.SetKeeperReady(now, true), now);
  OnMembersChanged(now);
}

bool ControlLoop::CanBecomeKeeper(TimePoint now) {
  if (m_forwarding_table == nullptr || now - m_started < kFirstKeeperDelay) return false;
  const std::vector<Member> members = m_membership.LiveMembers();
  const bool has_keeper =
      std::any_of(members.begin(), members.end(), [](const Member& member) { return member.m_keeper_ready; });
  if (has_keeper) return m_dependencies.m_data_plane->HasAllRecords();
  // Without a ready keeper there are no records to transfer, and the coordinator becomes the first keeper.
  return m_coordinator.Elected() == m_options.m_self.m_host;
}

void ControlLoop::Execute(const MembershipActions& actions, TimePoint now) {
  for (const OutgoingMessage& message : actions.m_messages) m_dependencies.m_links->SendTo(message);
  for (const MembershipEvent& event : actions.m_events) OnMembershipEvent(event);
  if (!actions.m_events.empty()) OnMembersChanged(now);
}

void ControlLoop::OnMembershipEvent(const MembershipEvent& event) {
  LOG(INFO) << "event=member_" << MembershipEventName(event.m_kind) << " host=" << event.m_member.m_host.m_value
            << " incarnation=" << event.m_member.m_incarnation.m_value;
  if (m_request_driver == nullptr || event.m_member.m_role != MemberRole::kBalancer) return;
  const Member& member = event.m_member;
  if (event.m_kind == MembershipEventKind::kDied || event.m_kind == MembershipEventKind::kLeft) {
    m_request_driver->Handle(MemberDied{member.m_host, member.m_incarnation});
  } else if (event.m_kind == MembershipEventKind::kJoined || event.m_kind == MembershipEventKind::kRestarted) {
    m_request_driver->Handle(MemberAlive{member.m_host, member.m_incarnation});
  }
}

void ControlLoop::OnMembersChanged(TimePoint now) {
  m_coordinator.SetMembers(m_membership.AllMembers(), now);
  m_allowance.SetMembers(m_coordinator.MembersDigest(), m_coordinator.MissingMembers());
  const HostId coordinator = m_coordinator.Elected();
  m_allowance.Follow(coordinator, now);
  const std::optional<Member> member = m_membership.Find(coordinator);
  m_coordinator_resync.SetCoordinator(coordinator, member ? member->m_incarnation : Incarnation{}, now);
  m_tables_changed = true;
}

void ControlLoop::TickCoordination(TimePoint now) {
  m_registry.Tick(now);
  const CoordinatorActions actions = m_coordinator.Tick(m_registry, now);
  for (const TableSend& send : actions.m_updates) {
    if (send.m_to == m_options.m_self.m_host) {
      ApplyTableUpdate(send.m_update, send.m_to);
    } else {
      m_dependencies.m_links->Send(send.m_to, MessageType::kTableUpdate, wire::Encode(send.m_update));
    }
  }
  for (const AckSend& send : actions.m_acks) {
    if (send.m_to == m_options.m_self.m_host) {
      m_coordinator.OnAck(send.m_ack, now);
    } else {
      m_dependencies.m_links->Send(send.m_to, MessageType::kTableAck, wire::Encode(send.m_ack));
    }
  }
}

void ControlLoop::TickLeases(TimePoint now) {
  const std::optional<LeaseRequest> request = m_allowance.Poll(now);
  if (!request) return;
  const HostId grantor = m_allowance.Grantor();
  if (grantor != m_options.m_self.m_host) {
    return m_dependencies.m_links->Send(grantor, MessageType::kLeaseRequest, wire::Encode(*request));
  }
  const std::optional<LeaseGrant> grant = m_coordinator.OnLeaseRequest(*request, now);
  if (!grant) return;
  m_allowance.OnGrant(*grant, now);
  m_table_confirmed = now;
  if (m_request_driver != nullptr) m_request_driver->Handle(AllowanceChanged{});
}

void ControlLoop::TickTargetFacts(TimePoint now) {
  if (now < m_next_target_facts) return;
  m_next_target_facts = now + kTargetFactsInterval;
  const TargetFacts facts = m_registry.TakeFacts(m_options.m_self.m_host, now);
  if (facts.m_facts.empty() && facts.m_refreshes.empty() && facts.m_withdrawals.empty()) return;
  const HostId coordinator = m_coordinator.Elected();
  if (coordinator == m_options.m_self.m_host || coordinator == HostId{}) return;
  m_dependencies.m_links->Send(coordinator, MessageType::kTargetFacts, wire::Encode(facts));
}

void ControlLoop::TickCoordinatorResync(TimePoint now) {
  if (!m_coordinator_resync.TakeDue(now)) return;
  const HostId coordinator = m_coordinator.Elected();
  if (coordinator == m_options.m_self.m_host || coordinator == HostId{}) return;
  m_registry.ResendAll();
  for (const auto& [key, update] : m_tables) {
    // The coordinators of other data centres send the tables of those data centres.
    if (key.second != m_options.m_self.m_data_centre && key.second != DataCentreId{}) continue;
    m_dependencies.m_links->Send(coordinator, MessageType::kTableUpdate, wire::Encode(update));
  }
}

void ControlLoop::TickFlowRecords() {
  for (const OutgoingRecords& send : m_dependencies.m_data_plane->Tick()) {
    m_dependencies.m_links->Send(send.m_host, MessageType::kFlowRecords, EncodeFlowRecords(send.m_message));
  }
}

void ControlLoop::TickPeerContact(TimePoint now) {
  const bool coordinates = m_coordinator.Elected() == m_options.m_self.m_host;
  if (coordinates) m_table_confirmed = now;
  FlowContact contact{m_table_confirmed, m_peer_heard, {}};
  const std::vector<Member> members = m_membership.LiveMembers();
  const auto peer = std::find_if(members.begin(), members.end(), [this](const Member& member) {
    return member.m_role == MemberRole::kBalancer && member.m_host != m_options.m_self.m_host &&
           member.m_state == MemberState::kAlive;
  });
  if (peer != members.end()) contact.m_fresh_peer = peer->m_host;
  // A balancer without seeds may be the only member, so it does not count as isolated.
  if (m_options.m_seeds.empty()) contact.m_peer_heard = now;
  m_dependencies.m_data_plane->SetContact(contact);
}

void ControlLoop::TickTableAcks(TimePoint now) {
  if (now < m_next_table_acks) return;
  m_next_table_acks = now + kTableAckInterval;
  // The acknowledgements tell the coordinator for how long no packet has gone to the base owners of a transition.
  for (const auto& [key, sender] : m_table_senders) {
    if (m_tables[key].m_table.m_phase != TransitionPhase::kSettled) SendAck(key, sender);
  }
}

void ControlLoop::OnState(const StateDocument& state) {
  const TimePoint now = DataPlane::Now();
  m_state = state;
  m_coordinator.SetState(m_state, now);
  m_tables_changed = true;
  if (m_request_driver == nullptr) return;
  for (const auto& [name, service] : m_state.m_services) m_request_driver->Handle(ServiceChanged{service});
}

Result<TargetId> ControlLoop::OnAnnouncement(std::string_view body, std::string_view signature) {
  return m_registry.Announce(body, signature, m_options.m_target_keys, m_state, DataPlane::Now());
}

void ControlLoop::OnExchangeEnd(const ReportExchange& report) {
  m_registry.OnConnection(report.m_target, report.m_result == ExchangeResult::kRefused, DataPlane::Now());
  if (report.m_result == ExchangeResult::kAnswered || report.m_result == ExchangeResult::kShed) {
    m_allowance.OnOutcome(report.m_target, report.m_duration, report.m_result == ExchangeResult::kShed);
  }
}

void ControlLoop::StartLeave() {
  m_leaving = true;
  const TimePoint now = DataPlane::Now();
  LOG(INFO) << "event=leave_started records=" << m_dependencies.m_data_plane->RecordCount();
  Execute(m_membership.SetKeeperReady(now, false), now);
  OnMembersChanged(now);
}

bool ControlLoop::HasLeft(bool requests_ended) {
  const TimePoint now = DataPlane::Now();
  if (m_leave_sent) return now - m_leave_sent_at > kLeaveNoticeTime;
  // The leave notice frees the tokens of this balancer, so it must not be sent before the last request has ended.
  if (!requests_ended) return false;
  if (!OtherBalancers().empty() && !m_dependencies.m_data_plane->IsTransferDone()) return false;
  m_leave_sent = true;
  m_leave_sent_at = now;
  Execute(m_membership.Leave(now), now);
  return false;
}

HostId ControlLoop::Successor() const {
  const std::vector<HostId> others = OtherBalancers();
  for (const HostId host : others) {
    const std::optional<Member> member = m_membership.Find(host);
    if (member && member->m_data_centre == m_options.m_self.m_data_centre) return host;
  }
  return others.empty() ? HostId{} : others.front();
}

std::vector<HostId> ControlLoop::OtherBalancers() const {
  std::vector<HostId> hosts;
  for (const Member& member : m_membership.AllMembers()) {
    const bool is_other = member.m_host != m_options.m_self.m_host && member.m_role == MemberRole::kBalancer;
    if (is_other && IsLive(member)) hosts.push_back(member.m_host);
  }
  return hosts;
}

std::optional<Endpoint> ControlLoop::FindEndpoint(HostId host) const {
  const std::optional<Member> member = m_membership.Find(host);
  if (!member) return std::nullopt;
  return member->m_control_endpoint;
}

bool ControlLoop::IsIsolated() const {
  return !m_options.m_seeds.empty() && DataPlane::Now() - m_peer_heard > kIsolationTimeout;
}

void ControlLoop::TickReachability(TimePoint now) {
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    const DataCentreId id = data_centre.m_id;
    if (id == m_options.m_self.m_data_centre) continue;
    const ReachabilityChange change = m_reachability.Update(id, !m_membership.LiveMembersOf(id).empty(), now);
    if (change == ReachabilityChange::kNone) continue;
    m_tables_changed = true;
    const char* event = change == ReachabilityChange::kCutOff ? "data_centre_cut_off" : "data_centre_reached";
    LOG(WARNING) << "event=" << event << " data_centre=" << id.m_value;
  }
}

}  // namespace fighatch::daemon
