#include "balancer/reachability.h"

#include <chrono>

namespace fighatch::daemon {
namespace {

using std::chrono::seconds;

// A data centre without live members for this long is considered cut off.
constexpr seconds kCutOffAfter{2};
// How long a data centre that is reachable again is reported as recently cut off: the idle limit of flows.
constexpr seconds kRecentlyCutOffTime{300};

}  // namespace

ReachabilityChange Reachability::Update(DataCentreId id, bool has_live_members, TimePoint now) {
  Contact& contact = m_contacts[id];
  if (!has_live_members) return OnSilence(&contact, now);
  contact.m_unreachable_since = TimePoint();
  const bool was_reachable = contact.m_was_reachable;
  contact.m_was_reachable = true;
  if (!contact.m_cut_off) return ReachabilityChange::kNone;
  contact.m_cut_off = false;
  // A data centre that was never reachable before has just been found by a starting balancer, so it does not count as
  // recently cut off.
  if (was_reachable) contact.m_reachable_again_at = now;
  return ReachabilityChange::kReachable;
}

ReachabilityChange Reachability::OnSilence(Contact* contact, TimePoint now) {
  if (contact->m_unreachable_since == TimePoint()) contact->m_unreachable_since = now;
  if (contact->m_cut_off || now - contact->m_unreachable_since <= kCutOffAfter) return ReachabilityChange::kNone;
  contact->m_cut_off = true;
  return ReachabilityChange::kCutOff;
}

std::vector<DataCentreId> Reachability::CutOff() const {
  std::vector<DataCentreId> cut_off;
  for (const auto& [id, contact] : m_contacts) {
    if (contact.m_cut_off) cut_off.push_back(id);
  }
  return cut_off;
}

std::vector<DataCentreId> Reachability::RecentlyCutOff(TimePoint now) const {
  std::vector<DataCentreId> recently_cut_off;
  for (const auto& [id, contact] : m_contacts) {
    const bool was_cut_off = contact.m_reachable_again_at != TimePoint();
    if (was_cut_off && now - contact.m_reachable_again_at < kRecentlyCutOffTime) recently_cut_off.push_back(id);
  }
  return recently_cut_off;
}

}  // namespace fighatch::daemon
