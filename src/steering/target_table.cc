#include "fighatch/target_table.h"

#include <algorithm>
#include <utility>

namespace fighatch {

void TargetTable::SetServices(std::set<std::string> services) {
  if (m_services == services) return;
  m_services = std::move(services);
  for (const auto& [endpoint, targets] : m_by_endpoint) MarkSuperseded(endpoint);
}

bool TargetTable::Merge(TimePoint now, const AnnouncedTarget& record) {
  const auto [found, is_new] = m_targets.try_emplace(record.m_id);
  SteeringTarget& target = found->second;
  if (!is_new && !IsNewer(record, target.m_record)) return false;
  const bool is_restart = !is_new && record.m_start_unix_ms != target.m_record.m_start_unix_ms;
  const bool has_moved =
      !is_new && (record.m_service != target.m_record.m_service || !(record.m_endpoint == target.m_record.m_endpoint));
  const bool changed = is_new || is_restart || !(record.m_state == target.m_record.m_state);
  if (is_restart) target = {};
  if (changed) target.m_state_since = now;
  target.m_record = record;
  const TimePoint cold_until = now + std::chrono::milliseconds(record.m_cold_left_ms);
  const bool ends_earlier = cold_until + kColdTimeTolerance < target.m_cold_until;
  if (ends_earlier || cold_until > target.m_cold_until) target.m_cold_until = cold_until;
  if (has_moved || is_restart) {
    Reindex();
  } else if (is_new) {
    AddToIndexes(&target);
    MarkSuperseded(record.m_endpoint);
  }
  return true;
}

void TargetTable::RemoveExpired(TimePoint now) {
  const auto erased = std::erase_if(m_targets, [now](const auto& entry) {
    const SteeringTarget& target = entry.second;
    if (target.m_record.m_state == RecordState::kReady) return false;
    const bool is_draining = target.m_record.m_state == RecordState::kDraining;
    return now - target.m_state_since > (is_draining ? kForgetDrainingAfter : kForgetAfter);
  });
  if (erased > 0) Reindex();
}

void TargetTable::Reindex() {
  m_by_cookie.clear();
  m_by_service.clear();
  m_by_endpoint.clear();
  for (auto& [id, target] : m_targets) AddToIndexes(&target);
  for (const auto& [endpoint, targets] : m_by_endpoint) MarkSuperseded(endpoint);
}

void TargetTable::AddToIndexes(SteeringTarget* target) {
  m_by_cookie[CookieOf(target->m_record.m_id)].push_back(target);
  m_by_service[target->m_record.m_service].push_back(target);
  m_by_endpoint[target->m_record.m_endpoint].push_back(target);
}

void TargetTable::MarkSuperseded(const Endpoint& endpoint) {
  const std::vector<SteeringTarget*>& targets = m_by_endpoint[endpoint];
  std::uint64_t latest_start_unix_ms = 0;
  for (const SteeringTarget* target : targets) {
    if (m_services && !m_services->contains(target->m_record.m_service)) continue;
    latest_start_unix_ms = std::max(latest_start_unix_ms, target->m_record.m_start_unix_ms);
  }
  for (SteeringTarget* target : targets) target->m_superseded = latest_start_unix_ms > target->m_record.m_start_unix_ms;
}

SteeringTarget* TargetTable::FindByCookie(std::uint32_t cookie) {
  const auto found = m_by_cookie.find(cookie);
  if (found == m_by_cookie.end()) return nullptr;
  if (found->second.size() == 1) return found->second.front();
  return *std::max_element(found->second.begin(), found->second.end(), [](const auto* left, const auto* right) {
    return left->m_record.m_start_unix_ms < right->m_record.m_start_unix_ms;
  });
}

SteeringTarget* TargetTable::Find(TargetId id) {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? nullptr : &found->second;
}

const std::vector<SteeringTarget*>& TargetTable::OfService(const std::string& service) const {
  static const std::vector<SteeringTarget*> kNone;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? kNone : found->second;
}

void TargetTable::SetRemoteFlows(const std::unordered_map<std::uint32_t, std::uint32_t>& flows_by_cookie) {
  for (auto& [id, target] : m_targets) {
    const auto found = flows_by_cookie.find(CookieOf(id));
    target.m_remote_flows = found == flows_by_cookie.end() ? 0 : found->second;
  }
}

}  // namespace fighatch
