// Table handling of the control loop: derives the forwarding table, the target lists of the request engine and the
// request fallbacks from owner tables, members and state.

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "balancer/control_loop.h"
#include "wire/codec.h"

namespace fighatch::daemon {
namespace {

bool IsUsable(TargetState state) { return state == TargetState::kServing || state == TargetState::kSuspect; }

}  // namespace

void ControlLoop::ApplyTableUpdate(const TableUpdate& update, HostId from) {
  const TimePoint now = DataPlane::Now();
  const TableKey key{update.m_table.m_service, update.m_table.m_data_centre};
  const bool relays = m_coordinator.OnTableUpdate(update, from, now);
  const auto found = m_tables.find(key);
  const bool is_newer = found == m_tables.end() || found->second.m_table.m_version < update.m_table.m_version;
  if (is_newer) {
    m_tables[key] = update;
    RebuildForwardingTable(now);
  }
  const HostId ack_to = relays ? m_options.m_self.m_host : from;
  const bool from_coordinator = from == m_coordinator.Elected();
  // A balancer that resends a known table to a new coordinator gets this acknowledgement, but no later ones: those go
  // to the host that published or relayed the table.
  if (is_newer || relays || from_coordinator) m_table_senders[key] = ack_to;
  if (from_coordinator) m_table_confirmed = now;
  SendAck(key, ack_to);
}

void ControlLoop::SendAck(const TableKey& key, HostId to) {
  TableAck ack;
  ack.m_host = m_options.m_self.m_host;
  ack.m_service = key.first;
  ack.m_data_centre = key.second;
  ack.m_version = m_tables[key].m_table.m_version;
  ack.m_base_idle_s = m_dependencies.m_data_plane->BaseIdleSeconds(key.first, key.second);
  if (to == m_options.m_self.m_host) {
    m_coordinator.OnAck(ack, DataPlane::Now());
  } else {
    m_dependencies.m_links->Send(to, MessageType::kTableAck, wire::Encode(ack));
  }
}

std::vector<TargetInfo> ControlLoop::AllTargets() const {
  std::vector<TargetInfo> targets;
  for (const auto& [key, update] : m_tables) {
    targets.insert(targets.end(), update.m_targets.begin(), update.m_targets.end());
  }
  return targets;
}

std::vector<OwnerTable> ControlLoop::Tables() const {
  std::vector<OwnerTable> tables;
  for (const auto& [key, update] : m_tables) tables.push_back(update.m_table);
  return tables;
}

bool ControlLoop::HasLocalTables() const {
  return std::all_of(m_state.m_services.begin(), m_state.m_services.end(), [this](const auto& item) {
    return m_tables.contains({item.second.m_id, m_options.m_self.m_data_centre});
  });
}

void ControlLoop::RebuildForwardingTable(TimePoint now) {
  m_tables_changed = false;
  m_ready = m_ready || HasLocalTables();
  const std::vector<OwnerTable> tables = Tables();
  const std::vector<TargetInfo> targets = AllTargets();
  const std::vector<Member> members = m_membership.AllMembers();
  const std::vector<DataCentreId> cut_off = m_reachability.CutOff();
  const std::vector<DataCentreId> recently_cut_off = m_reachability.RecentlyCutOff(now);
  ForwardingTableInput input;
  input.m_state = &m_state;
  input.m_tables = tables;
  input.m_targets = targets;
  input.m_members = members;
  input.m_self = m_options.m_self.m_host;
  input.m_self_data_centre = m_options.m_self.m_data_centre;
  input.m_cut_off = cut_off;
  input.m_recently_cut_off = recently_cut_off;
  input.m_previous = m_forwarding_table.get();
  m_forwarding_table = ForwardingTable::Build(input);
  std::vector<Endpoint> balancers;
  for (const Member& member : members) {
    if (member.m_role == MemberRole::kBalancer) balancers.push_back(member.m_data_endpoint);
  }
  m_dependencies.m_data_plane->SetTable(m_forwarding_table, std::move(balancers));
  UpdateRequestTargets();
  UpdateRequestFallbacks();
}

void ControlLoop::UpdateRequestTargets() {
  // A balancer whose data centre is out dispatches no requests, not even those whose ids it issued. They are refused as
  // not run, with a new id from a balancer that can serve them.
  const bool is_out =
      std::any_of(m_state.m_data_centres.begin(), m_state.m_data_centres.end(), [this](const auto& entry) {
        return entry.second.m_id == m_options.m_self.m_data_centre && entry.second.m_state == DataCentreState::kOut;
      });
  std::map<ServiceId, std::vector<TargetInfo>> targets;
  for (const auto& [name, service] : m_state.m_services) {
    if (service.m_mode == ServiceMode::kRequest) targets[service.m_id];
  }
  for (const auto& [key, update] : m_tables) {
    const auto found = targets.find(key.first);
    if (found == targets.end() || is_out || key.second != m_options.m_self.m_data_centre) continue;
    for (const TargetInfo& target : update.m_targets) {
      if (IsUsable(target.m_state)) found->second.push_back(target);
      m_allowance.OnTargetIncarnation(target.m_id, target.m_incarnation);
    }
  }
  if (m_request_driver == nullptr) return;
  for (const auto& [service, list] : targets) {
    const auto known = m_request_targets.find(service);
    if (known != m_request_targets.end() && known->second == list) continue;
    m_request_driver->Handle(TargetsChanged{service, list});
    m_request_targets[service] = list;
  }
}

void ControlLoop::UpdateRequestFallbacks() {
  // Requests of a service without usable targets in this data centre are forwarded to balancers of data centres that
  // have some.
  std::map<ServiceId, std::set<DataCentreId>> serving;
  std::set<DataCentreId> in_service;
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    if (data_centre.m_state == DataCentreState::kIn) in_service.insert(data_centre.m_id);
  }
  for (const auto& [key, update] : m_tables) {
    if (!in_service.contains(key.second)) continue;
    const auto& list = update.m_targets;
    if (std::any_of(list.begin(), list.end(), [](const TargetInfo& target) { return IsUsable(target.m_state); })) {
      serving[key.first].insert(key.second);
    }
  }
  std::map<ServiceId, std::vector<Endpoint>> fallbacks;
  for (const auto& [service, data_centres] : serving) {
    if (data_centres.contains(m_options.m_self.m_data_centre)) continue;
    for (const Member& member : m_membership.AllMembers()) {
      const bool is_live = member.m_state == MemberState::kAlive && member.m_role == MemberRole::kBalancer;
      if (is_live && data_centres.contains(member.m_data_centre)) fallbacks[service].push_back(member.m_data_endpoint);
    }
  }
  m_dependencies.m_data_plane->SetRequestFallbacks(std::move(fallbacks));
}

}  // namespace fighatch::daemon
