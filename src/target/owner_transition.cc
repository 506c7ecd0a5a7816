#include "fighatch/owner_transition.h"

#include <algorithm>
#include <utility>

#include "fighatch/transition.h"

namespace fighatch {
namespace {

void Normalise(std::vector<OwnerEntry>* owners) {
  std::erase_if(*owners, [](const OwnerEntry& entry) { return entry.m_weight == 0; });
  std::sort(owners->begin(), owners->end(),
            [](const OwnerEntry& left, const OwnerEntry& right) { return left.m_id < right.m_id; });
}

bool Contains(const std::vector<OwnerEntry>& owners, const OwnerEntry& wanted) {
  return std::find(owners.begin(), owners.end(), wanted) != owners.end();
}

}  // namespace

OwnerTransition::OwnerTransition(OwnerTable table, std::uint64_t epoch, Duration base_idle_limit)
    : m_table(std::move(table)), m_base_idle_limit(base_idle_limit) {
  const bool continued = m_table.m_version.m_epoch == epoch;
  m_table.m_version = {epoch, continued ? m_table.m_version.m_generation + 1 : 1};
  // Some balancers may not have received the next list from the former coordinator, so the learning phase is repeated.
  if (m_table.m_phase == TransitionPhase::kLearning) m_wanted = CancelLearning(&m_table);
}

void OwnerTransition::SetWantedOwners(std::vector<OwnerEntry> owners) {
  Normalise(&owners);
  m_wanted = std::move(owners);
}

bool OwnerTransition::Remove(std::uint64_t owner) {
  if (m_wanted) std::erase_if(*m_wanted, [owner](const OwnerEntry& entry) { return entry.m_id == owner; });
  if (!RemoveOwner(&m_table, owner)) return false;
  RaiseVersion();
  return true;
}

void OwnerTransition::ForgetAck(HostId host) { m_acks.erase(host); }

void OwnerTransition::RaiseVersion() {
  // The phase keeps its start time. Acknowledgements of the former version no longer count.
  ++m_table.m_version.m_generation;
  m_acks.clear();
}

bool OwnerTransition::OnAck(const TableAck& ack, TimePoint now) {
  if (ack.m_version != m_table.m_version) return false;
  m_acks[ack.m_host] = {ack.m_base_idle_s, now};
  return true;
}

bool OwnerTransition::IsAcknowledged(const std::set<HostId>& live) const {
  return std::all_of(live.begin(), live.end(), [this](HostId host) { return m_acks.contains(host); });
}

bool OwnerTransition::Advance(const std::set<HostId>& live, const std::function<bool(std::uint64_t)>& is_owner_live,
                              TimePoint now) {
  if (m_table.m_phase == TransitionPhase::kLearning) return StartMoving(live, now);
  if (m_wanted && *m_wanted == m_table.m_current) m_wanted.reset();
  // If the table has no room for a further past list, the change waits until the base is retired.
  if (m_wanted && StartLearning(now)) return true;
  if (m_table.m_phase == TransitionPhase::kMoving) return TrySettle(live, is_owner_live, now);
  return false;
}

bool OwnerTransition::StartLearning(TimePoint now) {
  if (!BeginLearning(&m_table, *m_wanted)) return false;
  m_wanted.reset();
  // Without current owners there are no flows to learn, so the new list takes effect at once.
  if (m_table.m_current.empty()) {
    BeginMoving(&m_table);
    const bool is_first = m_table.m_base.empty() && m_table.m_past.empty();
    if (is_first || HasOneOwnerList(m_table)) RetireBase(&m_table);
  }
  EnterPhase(now);
  return true;
}

bool OwnerTransition::StartMoving(const std::set<HostId>& live, TimePoint now) {
  const Duration learned = now - m_phase_since;
  if (learned < kLearningTime || (learned < kLearningLimit && !IsAcknowledged(live))) return false;
  BeginMoving(&m_table);
  EnterPhase(now);
  return true;
}

bool OwnerTransition::TrySettle(const std::set<HostId>& live, const std::function<bool(std::uint64_t)>& is_owner_live,
                                TimePoint now) {
  if (!HasOneOwnerList(m_table) && !AllFormerOwnersDead(is_owner_live) && !IsBaseIdle(live, now)) return false;
  RetireBase(&m_table);
  EnterPhase(now);
  return true;
}

bool OwnerTransition::AllFormerOwnersDead(const std::function<bool(std::uint64_t)>& is_owner_live) const {
  const auto is_gone = [&](const std::vector<OwnerEntry>& list) { return HasNoLiveFormerOwner(list, is_owner_live); };
  return is_gone(m_table.m_base) && std::all_of(m_table.m_past.begin(), m_table.m_past.end(), is_gone);
}

bool OwnerTransition::HasNoLiveFormerOwner(const std::vector<OwnerEntry>& list,
                                           const std::function<bool(std::uint64_t)>& is_owner_live) const {
  if (list.empty()) return true;
  // Only dead owners have lost slots if every other entry is unchanged and no entry is new.
  const bool no_gain = std::all_of(m_table.m_current.begin(), m_table.m_current.end(),
                                   [&list](const OwnerEntry& entry) { return Contains(list, entry); });
  return no_gain && std::all_of(list.begin(), list.end(), [&](const OwnerEntry& entry) {
           return Contains(m_table.m_current, entry) || !is_owner_live(entry.m_id);
         });
}

bool OwnerTransition::IsBaseIdle(const std::set<HostId>& live, TimePoint now) const {
  if (now - m_phase_since < m_base_idle_limit) return false;
  return !live.empty() && std::all_of(live.begin(), live.end(), [&](HostId host) {
    const auto ack = m_acks.find(host);
    return ack != m_acks.end() && now - ack->second.m_at < kMaxIdleReportAge &&
           std::chrono::seconds(ack->second.m_base_idle_s) >= m_base_idle_limit;
  });
}

void OwnerTransition::EnterPhase(TimePoint now) {
  ++m_table.m_version.m_generation;
  m_phase_since = now;
  m_acks.clear();
}

}  // namespace fighatch
