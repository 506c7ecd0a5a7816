#include "daemon/reachability.h"

#include <chrono>

namespace fighatch::daemon {
namespace {

using std::chrono::seconds;

// A data centre whose members are all silent for this long counts as cut off.
constexpr seconds kCutOffAfter{2};
// How long a data centre that came back is remembered as such: the idle limit of flows.
constexpr seconds kReturnedFor{300};

}  // namespace

ReachabilityChange Reachability::Update(DataCentreId id, bool is_heard, TimePoint now) {
  Contact& contact = m_contacts[id];
  if (!is_heard) return Silent(&contact, now);
  contact.m_silent_since = TimePoint();
  const bool was_heard = contact.m_was_heard;
  contact.m_was_heard = true;
  if (!contact.m_cut_off) return ReachabilityChange::kNone;
  contact.m_cut_off = false;
  // A data centre that was never heard before has just been found by a starting balancer and did not return.
  if (was_heard) contact.m_returned_at = now;
  return ReachabilityChange::kReached;
}

ReachabilityChange Reachability::Silent(Contact* contact, TimePoint now) {
  if (contact->m_silent_since == TimePoint()) contact->m_silent_since = now;
  if (contact->m_cut_off || now - contact->m_silent_since <= kCutOffAfter) return ReachabilityChange::kNone;
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

std::vector<DataCentreId> Reachability::Returned(TimePoint now) const {
  std::vector<DataCentreId> returned;
  for (const auto& [id, contact] : m_contacts) {
    const bool has_returned = contact.m_returned_at != TimePoint();
    if (has_returned && now - contact.m_returned_at < kReturnedFor) returned.push_back(id);
  }
  return returned;
}

}  // namespace fighatch::daemon
