#include <algorithm>

#include "fighatch/coordinator.h"

namespace fighatch {
namespace {

/// Weight and tokens of targets that are tried because no target of the service is known to be healthy.
constexpr std::uint16_t kLastResortWeight = 1;
constexpr std::uint32_t kLastResortTokens = 1;
/// Divisor for the slots of a suspect target; gives the share of the first step of the ramp.
constexpr std::uint32_t kSuspectDivisor = 8;

void AddOwners(const std::vector<OwnerEntry>& owners, std::set<TargetId>* out) {
  for (const OwnerEntry& entry : owners) out->insert(TargetId{entry.m_id});
}

std::set<TargetId> OwnersOf(const OwnerTable& table) {
  std::set<TargetId> owners;
  AddOwners(table.m_base, &owners);
  for (const std::vector<OwnerEntry>& list : table.m_past) AddOwners(list, &owners);
  AddOwners(table.m_current, &owners);
  AddOwners(table.m_next, &owners);
  return owners;
}

bool IsServing(const TargetRecord& record) { return record.m_fact.m_info.m_state == TargetState::kServing; }

}  // namespace

std::optional<std::size_t> Coordinator::PublishedRampStep(const TargetInfo& info) const {
  const TableUpdate* known = KnownTable(info.m_service, info.m_data_centre);
  if (known == nullptr) return std::nullopt;
  const bool same_incarnation = std::any_of(
      known->m_targets.begin(), known->m_targets.end(),
      [&](const TargetInfo& target) { return target.m_id == info.m_id && target.m_incarnation == info.m_incarnation; });
  if (!same_incarnation) return std::nullopt;
  for (const OwnerEntry& entry : known->m_table.m_current) {
    const auto step = std::find(kRampSixteenths.begin(), kRampSixteenths.end(), entry.m_weight);
    if (entry.m_id == info.m_id.m_value && step != kRampSixteenths.end())
      return static_cast<std::size_t>(step - kRampSixteenths.begin());
  }
  return std::nullopt;
}

void Coordinator::UpdateRamp(const TargetRecord& record, TimePoint now) {
  const TargetInfo& info = record.m_fact.m_info;
  Ramp& ramp = m_active->m_ramps[info.m_id];
  if (ramp.CurrentIncarnation() != info.m_incarnation) {
    // A new coordinator continues at the step that its predecessor published.
    const std::optional<std::size_t> step = PublishedRampStep(info);
    if (step) {
      ramp.Resume(info.m_incarnation, *step, now);
    } else {
      ramp.Begin(info.m_incarnation, now);
    }
  }
  if (record.m_fact.m_healthy) ramp.OnHealthy(now);
  ramp.OnLoad(record.m_fact.m_load, now);
  ramp.Tick(now);
}

void Coordinator::UpdateRamps(const TargetRegistry& registry, TimePoint now) {
  for (const TargetRecord* record : registry.Live()) UpdateRamp(*record, now);
  RetireTargets(registry, now);
}

void Coordinator::RetireTargets(const TargetRegistry& registry, TimePoint now) {
  std::erase_if(m_active->m_ramps, [&](const auto& item) {
    const bool gone = registry.Find(item.first) == nullptr;
    if (gone) m_active->m_retired.try_emplace(item.first, now);
    return gone;
  });
  std::erase_if(m_active->m_retired, [&](const auto& item) {
    if (registry.Find(item.first) != nullptr) return true;
    if (now - item.second < kMaxUnreportedUseTime) return false;
    m_active->m_grantor.Forget(item.first);
    return true;
  });
}

void Coordinator::SetAllowances(const TargetRegistry& registry, TimePoint now) {
  std::map<ServiceId, std::uint32_t> sums;
  std::vector<std::pair<const TargetRecord*, std::uint32_t>> allowances;
  for (const TargetRecord* record : registry.Live()) {
    const TargetInfo& info = record->m_fact.m_info;
    std::uint32_t allowance = IsServing(*record) ? m_active->m_ramps[info.m_id].Allowance(info.m_slots, now) : 0;
    if (registry.StateOf(*record, now) == TargetState::kSuspect)
      allowance = std::min(allowance, std::max<std::uint32_t>(1, info.m_slots / kSuspectDivisor));
    sums[info.m_service] += allowance;
    allowances.emplace_back(record, allowance);
  }
  for (const auto& [record, allowance] : allowances) {
    const TargetInfo& info = record->m_fact.m_info;
    // If no target of the service has an allowance, each that never answered a health check gets one token rather than
    // none. A pause after a shed stays in force.
    const bool is_last_resort =
        sums[info.m_service] == 0 && IsServing(*record) && !m_active->m_ramps[info.m_id].IsHealthy();
    m_active->m_grantor.SetAllowance(info, is_last_resort ? kLastResortTokens : allowance);
  }
  for (const auto& [id, since] : m_active->m_retired) {
    const TargetRecord* record = registry.FindAny(id);
    if (record == nullptr) continue;
    const bool is_last_resort = sums[record->m_fact.m_info.m_service] == 0 && IsServing(*record);
    m_active->m_grantor.SetAllowance(record->m_fact.m_info, is_last_resort ? kLastResortTokens : 0);
  }
}

bool Coordinator::IsInGracePeriod(TargetId target, const TargetRegistry& registry, TimePoint now) const {
  return registry.FindAny(target) == nullptr && now - m_active->m_since < kTargetWithdrawnAfter;
}

void Coordinator::PublishTargets(ServiceId service, const LiveTargets& live, const TargetRegistry& registry,
                                 const std::set<HostId>& receivers, TimePoint now) {
  const TableKey key{service, m_config.m_data_centre};
  TablePublication& publication = PublicationOf(key);
  std::vector<OwnerEntry> wanted = WantedTargets(live, publication.Transition().Table(), registry, now);
  const bool last_resort = HasNoHealthyTarget(live, registry, now);
  if (last_resort && !publication.Transition().Table().m_current.empty()) {
    // Silent targets stay in the table as a last resort; targets that announced another state than serving are removed.
    wanted = publication.Transition().Table().m_current;
    std::erase_if(wanted, [&](const OwnerEntry& entry) {
      const TargetRecord* record = registry.FindAny(TargetId{entry.m_id});
      return record != nullptr && !IsServing(*record);
    });
  } else {
    RemoveDeadTargets(&publication, registry, now);
  }
  publication.Transition().SetWantedOwners(std::move(wanted));
  const auto is_live = [&](std::uint64_t id) {
    return registry.Find(TargetId{id}) != nullptr || IsInGracePeriod(TargetId{id}, registry, now);
  };
  publication.Transition().Advance(receivers, is_live, now);
  publication.SetTargets(OwnerTargets(publication, registry));
}

bool Coordinator::HasNoHealthyTarget(const LiveTargets& live, const TargetRegistry& registry, TimePoint now) {
  return std::none_of(live.begin(), live.end(), [&](const TargetRecord* record) {
    return registry.StateOf(*record, now) == TargetState::kServing && record->m_fact.m_healthy;
  });
}

std::vector<OwnerEntry> Coordinator::WantedTargets(const LiveTargets& live, const OwnerTable& table,
                                                   const TargetRegistry& registry, TimePoint now) const {
  std::vector<OwnerEntry> wanted;
  std::vector<OwnerEntry> untested;
  for (const TargetRecord* record : live) {
    if (!IsServing(*record)) continue;
    const TargetId id = record->m_fact.m_info.m_id;
    const std::uint16_t weight = m_active->m_ramps.at(id).Weight();
    if (weight > 0) wanted.push_back({id.m_value, weight});
    untested.push_back({id.m_value, kLastResortWeight});
  }
  for (const OwnerEntry& entry : table.m_current) {
    if (IsInGracePeriod(TargetId{entry.m_id}, registry, now)) wanted.push_back(entry);
  }
  return wanted.empty() ? untested : wanted;
}

void Coordinator::RemoveDeadTargets(TablePublication* publication, const TargetRegistry& registry, TimePoint now) {
  for (const TargetId id : OwnersOf(publication->Transition().Table())) {
    if (registry.Find(id) == nullptr && !IsInGracePeriod(id, registry, now))
      publication->Transition().Remove(id.m_value);
  }
}

std::vector<TargetInfo> Coordinator::OwnerTargets(const TablePublication& publication, const TargetRegistry& registry) {
  std::vector<TargetInfo> targets;
  for (const TargetId id : OwnersOf(publication.Transition().Table())) {
    if (const TargetRecord* record = registry.FindAny(id)) {
      targets.push_back(record->m_fact.m_info);
      continue;
    }
    const auto& known = publication.Targets();
    const auto known_target =
        std::find_if(known.begin(), known.end(), [id](const TargetInfo& info) { return info.m_id == id; });
    if (known_target != known.end()) targets.push_back(*known_target);
  }
  return targets;
}

}  // namespace fighatch
