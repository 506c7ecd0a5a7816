#include "fighatch/target_directory.h"

#include <algorithm>
#include <limits>

namespace fighatch {
namespace {

using std::chrono::milliseconds;

// True if balancers must be told of the difference between the records.
bool IsRelevantChange(const AnnouncedTarget& next, const AnnouncedTarget& known) {
  return next.m_start_unix_ms != known.m_start_unix_ms || next.m_endpoint != known.m_endpoint ||
         next.m_service != known.m_service || next.m_data_centre != known.m_data_centre ||
         next.m_slots != known.m_slots || next.m_state != known.m_state;
}

// The span in milliseconds, as messages carry it; 0 if `to` lies before `from`.
std::uint32_t SpanMs(TimePoint from, TimePoint to) {
  const auto span = std::chrono::duration_cast<milliseconds>(to - from).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(span, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

AnnounceOutcome TargetDirectory::Announce(TimePoint now, const AnnouncedTarget& record, Duration max_age) {
  return Store(now, now - max_age, now + milliseconds(record.m_cold_left_ms), record);
}

AnnounceOutcome TargetDirectory::Merge(TimePoint now, const TargetObservation& observation) {
  const TimePoint heard = now - milliseconds(observation.m_age_ms);
  return Store(now, heard, heard + milliseconds(observation.m_record.m_cold_left_ms), observation.m_record);
}

AnnounceOutcome TargetDirectory::Store(TimePoint now, TimePoint heard, TimePoint cold_until,
                                       const AnnouncedTarget& record) {
  const auto found = m_entries.find(record.m_id);
  const bool is_new = found == m_entries.end();
  if (!is_new && !IsNewer(record, found->second.m_record)) return AnnounceOutcome::kStale;
  if (!is_new && IsNamed(found->second.m_record.m_service) && !IsNamed(record.m_service))
    return AnnounceOutcome::kStale;
  const bool holds_address = !IsNamed(record.m_service) || ClaimAddress(now, record);
  if (!holds_address && !HasEnded(record.m_state)) return AnnounceOutcome::kStale;
  if (!is_new) RemoveFromAddress(found->second.m_record);
  m_by_endpoint[record.m_endpoint].insert(record.m_id);
  Entry& entry = m_entries[record.m_id];
  entry.m_cold_until = cold_until;
  const bool changed = is_new || IsRelevantChange(record, entry.m_record) || IsColdTimeOutdated(now, entry);
  if (is_new || record.m_start_unix_ms != entry.m_record.m_start_unix_ms) entry.m_start_known_at = now;
  entry.m_record = record;
  entry.m_last_heard = std::max(entry.m_last_heard, heard);
  entry.m_refreshed = ++m_sequence;
  if (!changed) return AnnounceOutcome::kRefreshed;
  entry.m_told_cold_until = cold_until > now ? cold_until + kColdTimeMargin : cold_until;
  entry.m_changed = m_sequence;
  entry.m_changed_at = now;
  m_last_change = m_sequence;
  return AnnounceOutcome::kChanged;
}

bool TargetDirectory::IsColdTimeOutdated(TimePoint now, const Entry& entry) {
  if (!entry.m_told_cold_until) return true;
  const TimePoint told = *entry.m_told_cold_until;
  const bool ends_later = entry.m_cold_until > std::max(told, now);
  const bool ends_earlier = told > now && entry.m_cold_until + kColdTimeTolerance < told;
  return ends_later || ends_earlier;
}

bool TargetDirectory::ClaimAddress(TimePoint now, const AnnouncedTarget& record) {
  const auto holders = m_by_endpoint.find(record.m_endpoint);
  if (holders == m_by_endpoint.end()) return true;
  std::vector<Entry*> earlier;
  for (const TargetId id : holders->second) {
    if (id == record.m_id) continue;
    Entry& other = m_entries.at(id);
    if (other.m_record.m_start_unix_ms <= record.m_start_unix_ms) {
      earlier.push_back(&other);
    } else if (IsNamed(other.m_record.m_service)) {
      return false;
    }
  }
  for (Entry* other : earlier) {
    if (other->m_record.m_state == RecordState::kGone) continue;
    other->m_record.m_state = RecordState::kGone;
    MarkChanged(now, other);
  }
  return true;
}

void TargetDirectory::RemoveFromAddress(const AnnouncedTarget& record) {
  const auto holders = m_by_endpoint.find(record.m_endpoint);
  if (holders == m_by_endpoint.end()) return;
  holders->second.erase(record.m_id);
  if (holders->second.empty()) m_by_endpoint.erase(holders);
}

void TargetDirectory::MarkChanged(TimePoint now, Entry* entry) {
  entry->m_changed = ++m_sequence;
  m_last_change = m_sequence;
  entry->m_refreshed = m_sequence;
  entry->m_changed_at = now;
}

AnnounceOutcome TargetDirectory::Withdraw(TimePoint now, TargetId id, std::optional<std::uint64_t> start_unix_ms,
                                          Duration max_age) {
  const auto found = m_entries.find(id);
  if (!start_unix_ms) {
    const bool may_precede_start = found != m_entries.end() && now - max_age < found->second.m_start_known_at;
    if (max_age > kTargetCallTimeout || may_precede_start) return AnnounceOutcome::kOutdated;
  }
  if (found == m_entries.end()) return AnnounceOutcome::kStale;
  Entry& entry = found->second;
  const RecordState end = start_unix_ms ? RecordState::kGone : RecordState::kDeregistered;
  if (entry.m_record.m_state == RecordState::kGone || entry.m_record.m_state == end) return AnnounceOutcome::kRefreshed;
  if (start_unix_ms && *start_unix_ms < entry.m_record.m_start_unix_ms) return AnnounceOutcome::kStale;
  entry.m_record.m_state = end;
  MarkChanged(now, &entry);
  return AnnounceOutcome::kChanged;
}

bool TargetDirectory::IsWithdrawn(TargetId id, std::optional<std::uint64_t> start_unix_ms) const {
  const AnnouncedTarget* record = Find(id);
  if (record == nullptr || HasEnded(record->m_state)) return true;
  return start_unix_ms && *start_unix_ms < record->m_start_unix_ms;
}

std::vector<AnnouncedTarget> TargetDirectory::Expire(TimePoint now) {
  std::vector<AnnouncedTarget> silent;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    AnnouncedTarget& record = entry->second.m_record;
    const Duration unheard_for = now - entry->second.m_last_heard;
    if (record.m_state == RecordState::kReady && unheard_for > m_options.m_silent_after) {
      record.m_state = RecordState::kSilent;
      MarkChanged(now, &entry->second);
      silent.push_back(record);
    }
    const bool is_drained = record.m_state == RecordState::kDraining && unheard_for > m_options.m_forget_after;
    const bool has_ended = record.m_state == RecordState::kSilent || HasEnded(record.m_state);
    if (is_drained || (has_ended && now - entry->second.m_changed_at > m_options.m_forget_after)) {
      RemoveFromAddress(record);
      entry = m_entries.erase(entry);
    } else {
      ++entry;
    }
  }
  return silent;
}

void TargetDirectory::ResetSilenceTimers(TimePoint now) {
  for (auto& [id, entry] : m_entries) entry.m_last_heard = std::max(entry.m_last_heard, now);
}

TargetObservation TargetDirectory::Observe(TimePoint now, const Entry& entry, TimePoint cold_until) {
  TargetObservation observation{entry.m_record, SpanMs(entry.m_last_heard, now)};
  observation.m_record.m_cold_left_ms = cold_until > now ? SpanMs(entry.m_last_heard, cold_until) : 0;
  return observation;
}

std::vector<TargetObservation> TargetDirectory::ChangedSince(TimePoint now, std::uint64_t sequence,
                                                             bool with_refreshes) const {
  std::vector<TargetObservation> changed;
  for (const auto& [id, entry] : m_entries) {
    const std::uint64_t last = with_refreshes ? entry.m_refreshed : entry.m_changed;
    if (last <= sequence) continue;
    const TimePoint told = entry.m_told_cold_until.value_or(entry.m_cold_until + kColdTimeMargin);
    changed.push_back(Observe(now, entry, with_refreshes ? entry.m_cold_until : told));
  }
  return changed;
}

std::vector<AnnouncedTarget> TargetDirectory::Snapshot(TimePoint now) const {
  std::vector<AnnouncedTarget> records;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_record.m_state == RecordState::kSilent) continue;
    records.push_back(entry.m_record);
    records.back().m_cold_left_ms = SpanMs(now, entry.m_cold_until);
  }
  return records;
}

void TargetDirectory::Restore(TimePoint now, const std::vector<AnnouncedTarget>& records) {
  for (const AnnouncedTarget& record : records) {
    if (Announce(now, record) == AnnounceOutcome::kStale || record.m_cold_left_ms == 0) continue;
    m_entries.at(record.m_id).m_told_cold_until.reset();
  }
}

std::uint64_t TargetDirectory::SequenceOf(TargetId id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? 0 : found->second.m_refreshed;
}

const AnnouncedTarget* TargetDirectory::Find(TargetId id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.m_record;
}

}  // namespace fighatch
