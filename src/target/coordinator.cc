#include "fighatch/coordinator.h"

#include <algorithm>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

constexpr unsigned kEpochCounterShift = 32;

bool IsLive(const Member& member) {
  return member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
}

bool IsLiveBalancer(const Member& member, DataCentreId data_centre) {
  return member.m_data_centre == data_centre && member.m_role == MemberRole::kBalancer && IsLive(member);
}

}  // namespace

Coordinator::Coordinator(const CoordinatorConfig& config, Random* random) : m_config(config), m_random(random) {}

void Coordinator::SetMembers(std::vector<Member> members, TimePoint now) {
  m_members = std::move(members);
  for (const Member& member : m_members) {
    Incarnation& known = m_incarnations[member.m_host];
    // A restarted host has lost the tables that it acknowledged.
    if (known != member.m_incarnation) ForgetAcks(member.m_host);
    known = member.m_incarnation;
  }
  Elect(now);
  if (m_active) m_active->m_grantor.SetMembers(LeaseMembers(), MembersDigest(), now);
}

void Coordinator::SetState(const StateDocument& state, TimePoint now) {
  m_state = state;
  UpdateDataCentreRamps(now);
}

void Coordinator::ForgetAcks(HostId host) {
  m_relay.ForgetAcks(host);
  if (!m_active) return;
  for (auto& [key, publication] : m_active->m_tables) publication.Transition().ForgetAck(host);
}

std::vector<LeaseMember> Coordinator::LeaseMembers() const {
  std::vector<LeaseMember> members;
  for (const Member& member : m_members) {
    if (member.m_data_centre != m_config.m_data_centre) continue;
    members.push_back({member.m_host, member.m_role == MemberRole::kBalancer, member.m_state == MemberState::kLeft});
  }
  return members;
}

std::uint32_t Coordinator::MembersDigest() const {
  std::uint64_t digest = 0;
  for (const Member& member : m_members) {
    // The sum does not depend on the order of the list.
    if (member.m_data_centre == m_config.m_data_centre && member.m_state != MemberState::kLeft)
      digest += MixHash(member.m_host.m_value, 0);
  }
  return static_cast<std::uint32_t>(digest);
}

std::vector<HostId> Coordinator::MissingMembers() const {
  std::vector<HostId> missing;
  for (const Member& member : m_members) {
    if (member.m_data_centre == m_config.m_data_centre && member.m_state == MemberState::kDead)
      missing.push_back(member.m_host);
  }
  return missing;
}

std::set<HostId> Coordinator::LocalBalancers() const {
  std::set<HostId> hosts = {m_config.m_host};
  for (const Member& member : m_members) {
    if (IsLiveBalancer(member, m_config.m_data_centre)) hosts.insert(member.m_host);
  }
  return hosts;
}

std::optional<HostId> Coordinator::LowestBalancer(DataCentreId data_centre) const {
  std::optional<HostId> lowest;
  for (const Member& member : m_members) {
    if (IsLiveBalancer(member, data_centre) && (!lowest || member.m_host < *lowest)) lowest = member.m_host;
  }
  return lowest;
}

HostId Coordinator::Elected() const { return *LocalBalancers().begin(); }

const DataCentre* Coordinator::FindDataCentre(DataCentreId id) const {
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    if (data_centre.m_id == id) return &data_centre;
  }
  return nullptr;
}

std::vector<const DataCentre*> Coordinator::Region() const {
  std::vector<const DataCentre*> region;
  const DataCentre* own = FindDataCentre(m_config.m_data_centre);
  if (own == nullptr) return region;
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    if (data_centre.m_region == own->m_region) region.push_back(&data_centre);
  }
  return region;
}

bool Coordinator::IsRegionCoordinator() const {
  if (!m_active) return false;
  const std::vector<const DataCentre*> region = Region();
  return std::all_of(region.begin(), region.end(), [this](const DataCentre* data_centre) {
    if (data_centre->m_id == m_config.m_data_centre) return true;
    const std::optional<HostId> other = LowestBalancer(data_centre->m_id);
    return !other || m_config.m_host < *other;
  });
}

std::set<HostId> Coordinator::Receivers() const {
  std::set<HostId> hosts = LocalBalancers();
  for (const DataCentre* data_centre : Region()) {
    if (data_centre->m_id == m_config.m_data_centre) continue;
    const std::optional<HostId> relay = LowestBalancer(data_centre->m_id);
    if (relay) hosts.insert(*relay);
  }
  return hosts;
}

std::uint64_t Coordinator::NextEpoch() const {
  // The lower half identifies the coordinator, so that the epochs of two coordinators differ even if both sides of a
  // partition count from the same epoch.
  const std::uint64_t counter = (m_highest_epoch >> kEpochCounterShift) + 1;
  const std::uint64_t identity = MixHash(m_config.m_host.m_value, m_config.m_incarnation.m_value) >> kEpochCounterShift;
  return (counter << kEpochCounterShift) | identity;
}

void Coordinator::Elect(TimePoint now) {
  if (Elected() != m_config.m_host) {
    RelinquishTables([](DataCentreId) { return true; });
    m_active.reset();
    return;
  }
  if (!m_active) StartNewEpoch(now);
}

void Coordinator::StartNewEpoch(TimePoint now) {
  const std::uint64_t epoch = NextEpoch();
  m_highest_epoch = epoch;
  m_active = std::make_unique<Active>(
      epoch, AllowanceGrantor(m_config.m_host, epoch, LeaseMembers(), MembersDigest(), (*m_random)(), now), now);
}

bool Coordinator::OnTableUpdate(const TableUpdate& update, HostId from, TimePoint now) {
  const TableKey key{update.m_table.m_service, update.m_table.m_data_centre};
  const auto known = m_known.find(key);
  const bool newer = known == m_known.end() || known->second.m_table.m_version < update.m_table.m_version;
  if (newer) m_known[key] = update;
  m_highest_epoch = std::max(m_highest_epoch, update.m_table.m_version.m_epoch);
  const bool own_sender = std::any_of(m_members.begin(), m_members.end(), [&](const Member& member) {
    return member.m_host == from && member.m_data_centre == m_config.m_data_centre;
  });
  // The sender of an outdated table has to learn of the newer version from this host's own acknowledgement.
  const bool outdated = !newer && known->second.m_table.m_version != update.m_table.m_version;
  if (own_sender || outdated || from == m_config.m_host) return false;
  m_relay.OnUpdate(update, from, now);
  return true;
}

void Coordinator::OnAck(const TableAck& ack, TimePoint now) {
  m_relay.OnAck(ack);
  m_highest_epoch = std::max(m_highest_epoch, ack.m_version.m_epoch);
  if (!m_active) return;
  const auto publication = m_active->m_tables.find({ack.m_service, ack.m_data_centre});
  if (publication == m_active->m_tables.end()) return;
  // A balancer that has a newer table ignores this one: a former coordinator used a higher epoch than this host knew.
  if (ack.m_version > publication->second.Transition().Table().m_version) {
    StartNewEpoch(now);
    return;
  }
  if (publication->second.Transition().OnAck(ack, now)) return;
  publication->second.Transition().ForgetAck(ack.m_host);
}

std::optional<LeaseGrant> Coordinator::OnLeaseRequest(const LeaseRequest& request, TimePoint now) {
  if (!m_active) return std::nullopt;
  if (request.m_grantor == m_config.m_host && request.m_epoch > m_active->m_epoch) {
    m_highest_epoch = std::max(m_highest_epoch, request.m_epoch);
    StartNewEpoch(now);
  }
  std::optional<LeaseGrant> grant = m_active->m_grantor.OnRequest(request, now);
  // A request under a former epoch may be a delayed duplicate whose reports were already counted.
  if (!grant || request.m_epoch != m_active->m_epoch) return grant;
  for (const TargetUse& use : request.m_uses) {
    const auto ramp = m_active->m_ramps.find(use.m_target);
    if (ramp == m_active->m_ramps.end()) continue;
    if (use.m_sheds > 0) ramp->second.OnShed(m_active->m_grantor.CapacityOf(use.m_target), now);
    if (use.m_ended > 0) ramp->second.OnLatency(std::chrono::microseconds(use.m_latency_us), now);
  }
  return grant;
}

CoordinatorActions Coordinator::Tick(const TargetRegistry& registry, TimePoint now) {
  CoordinatorActions actions;
  m_relay.Collect(m_config.m_host, LocalBalancers(), now, &actions.m_updates, &actions.m_acks);
  Elect(now);
  ReportRelinquished(now, &actions.m_acks);
  ReportVersions(now, &actions.m_acks);
  UpdateDataCentreRamps(now);
  if (!m_active) return actions;
  UpdateRamps(registry, now);
  SetAllowances(registry, now);
  // The leases of the former coordinator expire before its tables are replaced.
  if (now - m_active->m_since < WithDrift(kLeaseTerm)) return actions;
  const bool region = IsRegionCoordinator();
  if (IsEpochSuperseded(region)) {
    StartNewEpoch(now);
    return actions;
  }
  const std::set<HostId> receivers = Receivers();
  std::map<ServiceId, LiveTargets> live;
  for (const TargetRecord* record : registry.Live()) live[record->m_fact.m_info.m_service].push_back(record);
  for (const auto& [name, service] : m_state.m_services) {
    PublishTargets(service.m_id, live[service.m_id], registry, receivers, now);
    if (region) PublishDataCentres(service, receivers, now);
  }
  if (!region) RelinquishTables([](DataCentreId data_centre) { return data_centre == DataCentreId{}; });
  for (auto& [key, publication] : m_active->m_tables) {
    publication.Collect(receivers, now, &actions.m_updates);
    TableUpdate& known = m_known[key];
    if (known.m_table.m_version != publication.Transition().Table().m_version)
      known = {publication.Transition().Table(), publication.Targets()};
  }
  return actions;
}

bool Coordinator::IsEpochSuperseded(bool region) const {
  return std::any_of(m_known.begin(), m_known.end(), [&](const auto& item) {
    const DataCentreId data_centre = item.first.second;
    const bool own = data_centre == m_config.m_data_centre || (region && data_centre == DataCentreId{});
    return own && item.second.m_table.m_version.m_epoch > m_active->m_epoch;
  });
}

TablePublication& Coordinator::PublicationOf(const TableKey& key) {
  const auto found = m_active->m_tables.find(key);
  if (found != m_active->m_tables.end()) return found->second;
  TableUpdate start;
  start.m_table.m_service = key.first;
  start.m_table.m_data_centre = key.second;
  if (const TableUpdate* known = KnownTable(key.first, key.second)) start = *known;
  OwnerTransition transition(start.m_table, m_active->m_epoch, m_config.m_base_idle_limit);
  return m_active->m_tables.try_emplace(key, std::move(transition), start.m_targets).first->second;
}

const TableUpdate* Coordinator::KnownTable(ServiceId service, DataCentreId data_centre) const {
  const auto known = m_known.find({service, data_centre});
  return known == m_known.end() ? nullptr : &known->second;
}

}  // namespace fighatch
