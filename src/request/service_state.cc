#include "request/service_state.h"

#include <algorithm>
#include <string_view>

namespace fighatch {
namespace {

bool AcceptsRequests(const TargetInfo& target) noexcept {
  return target.m_state != TargetState::kDraining && target.m_state != TargetState::kStopped;
}

}  // namespace

bool ServiceState::IsIdempotent(const HttpRequest& request) const {
  if (request.m_method == "GET" || request.m_method == "HEAD") return true;
  const std::string_view path = std::string_view(request.m_path).substr(0, request.m_path.find('?'));
  return std::find(m_service.m_idempotent_paths.begin(), m_service.m_idempotent_paths.end(), path) !=
         m_service.m_idempotent_paths.end();
}

void ServiceState::SetTargets(std::vector<TargetInfo> targets, TargetHealth* health) {
  std::swap(m_targets, targets);
  for (const TargetInfo& old : targets) {
    const TargetInfo* current = FindTarget(old.m_id);
    if (current != nullptr && current->m_incarnation == old.m_incarnation) continue;
    health->Remove(old.m_id);
    m_reported_loads.erase(old.m_id);
  }
}

void ServiceState::SetReportedLoad(TargetId target, double load) {
  if (FindTarget(target) != nullptr) m_reported_loads[target] = load;
}

bool ServiceState::HasTargets() const noexcept {
  return std::any_of(m_targets.begin(), m_targets.end(), AcceptsRequests);
}

const TargetInfo* ServiceState::FindTarget(TargetId target) const {
  const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                  [target](const TargetInfo& info) { return info.m_id == target; });
  return found == m_targets.end() ? nullptr : &*found;
}

std::uint32_t ServiceState::TokensHeld(const TargetAllowance& allowance, TimePoint now) const {
  std::uint32_t tokens = 0;
  for (const TargetInfo& target : m_targets) {
    if (AcceptsRequests(target)) tokens += allowance.Available(target.m_id, now);
  }
  for (const auto& [target, in_progress] : m_in_progress) tokens += in_progress;
  return tokens;
}

const std::vector<TargetCandidate>& ServiceState::Candidates(const std::vector<TargetId>& tried,
                                                             const TargetAllowance& allowance, TimePoint now) {
  m_candidates.clear();
  for (const TargetInfo& target : m_targets) {
    const std::uint32_t available = AcceptsRequests(target) ? allowance.Available(target.m_id, now) : 0;
    if (available == 0) continue;
    const auto in_progress = m_in_progress.find(target.m_id);
    const auto reported = m_reported_loads.find(target.m_id);
    m_candidates.push_back({target.m_id, in_progress == m_in_progress.end() ? 0 : in_progress->second, available,
                            reported == m_reported_loads.end() ? 0.0 : reported->second,
                            target.m_state == TargetState::kSuspect});
  }
  const auto was_tried = [&tried](const TargetCandidate& candidate) {
    return std::find(tried.begin(), tried.end(), candidate.m_target) != tried.end();
  };
  if (!std::all_of(m_candidates.begin(), m_candidates.end(), was_tried)) std::erase_if(m_candidates, was_tried);
  return m_candidates;
}

void ServiceState::OnExchangeEnded(TargetId target) {
  const auto found = m_in_progress.find(target);
  if (found != m_in_progress.end() && --found->second == 0) m_in_progress.erase(found);
}

}  // namespace fighatch
