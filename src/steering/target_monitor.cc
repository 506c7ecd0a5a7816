#include "fighatch/target_monitor.h"

#include <utility>

namespace fighatch {

std::vector<AnnouncedTarget> TargetMonitor::Tick(TimePoint now, std::set<HostId> voters, bool log_has_quorum) {
  m_directory->AdvanceSequence();
  m_server->RecordSequence(now);
  m_is_voter = voters.erase(m_self) > 0;
  m_other_voters = std::move(voters);
  m_log_has_quorum = log_has_quorum;
  const bool has_majority = HasMajority(now);
  // Announcements that the other control hosts received meanwhile arrive with their next replies.
  if (has_majority && !m_had_majority) m_directory->ResetSilenceTimers(now);
  m_had_majority = has_majority;
  return has_majority ? m_directory->Expire(now) : std::vector<AnnouncedTarget>{};
}

bool TargetMonitor::IsMajority(std::size_t others) const {
  const std::size_t self = m_is_voter ? 1 : 0;
  return others + self > (m_other_voters.size() + self) / 2;
}

bool TargetMonitor::HasMajority(TimePoint now) const {
  return m_log_has_quorum && IsMajority(m_server->CountInContact(now, m_other_voters));
}

bool TargetMonitor::IsConfirmed(TimePoint now, std::uint64_t sequence) const {
  return HasMajority(now) && IsMajority(m_server->CountConfirmedBy(sequence, m_other_voters));
}

}  // namespace fighatch
