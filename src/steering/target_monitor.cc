#include "fighatch/target_monitor.h"

#include <utility>

namespace fighatch {

std::vector<AnnouncedTarget> TargetMonitor::Tick(TimePoint now, std::set<HostId> voters, bool log_has_quorum) {
  m_directory->AdvanceSequence();
  m_server->RecordSequence(now);
  m_voters = std::move(voters);
  m_log_has_quorum = log_has_quorum;
  const bool has_majority = HasMajority(now);
  // Announcements that the other control hosts received meanwhile arrive with their next replies.
  if (has_majority && !m_had_majority) m_directory->ResetSilenceTimers(now);
  m_had_majority = has_majority;
  return has_majority ? m_directory->Expire(now) : std::vector<AnnouncedTarget>{};
}

std::set<HostId> TargetMonitor::OtherVoters() const {
  std::set<HostId> others = m_voters;
  others.erase(m_self);
  return others;
}

bool TargetMonitor::IsMajority(std::size_t others) const {
  return others + m_voters.count(m_self) > m_voters.size() / 2;
}

bool TargetMonitor::HasMajority(TimePoint now) const {
  return m_log_has_quorum && IsMajority(m_server->CountInContact(now, OtherVoters()));
}

bool TargetMonitor::IsConfirmed(TimePoint now, std::uint64_t sequence) const {
  return HasMajority(now) && IsMajority(m_server->CountConfirmedBy(sequence, OtherVoters()));
}

}  // namespace fighatch
