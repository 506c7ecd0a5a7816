#include "membership/member_table.h"

#include <algorithm>
#include <chrono>

#include "fighatch/hash.h"

namespace fighatch::membership {
namespace {

constexpr std::int64_t kMaxSuspicionAgeMs = 60'000;

}  // namespace

std::uint64_t MemberTable::DigestContribution(const MemberUpdate& update) noexcept {
  const Member& member = update.m_member;
  if (!IsLive(member.m_state)) return 0;
  return MixHash(MixHash(member.m_host.m_value, member.m_incarnation.m_value), update.m_revision);
}

void MemberTable::AddToDigest(const MemberRecord& record) noexcept {
  m_digests[record.Get().m_data_centre] += DigestContribution(record.m_update);
}

void MemberTable::RemoveFromDigest(const MemberRecord& record) noexcept {
  m_digests[record.Get().m_data_centre] -= DigestContribution(record.m_update);
}

MergeOutcome MemberTable::Merge(TimePoint now, const MemberUpdate& update) {
  const HostId host = update.m_member.m_host;
  const auto found = m_records.find(host);
  if (found == m_records.end()) {
    if (!IsLive(update.m_member.m_state) || m_records.size() >= kMaxMembers) return MergeOutcome::kIgnored;
  } else {
    if (update.Rank() == found->second.m_update.Rank()) return MergeOutcome::kEqual;
    if (update.Rank() < found->second.m_update.Rank()) return MergeOutcome::kOlder;
    RemoveFromDigest(found->second);
  }
  MemberRecord& record = m_records[host];
  record.m_update = update;
  record.m_state_since = now - std::chrono::milliseconds(update.m_suspicion_age_ms);
  record.m_is_unconfirmed = false;
  AddToDigest(record);
  return MergeOutcome::kApplied;
}

void MemberTable::SetState(HostId host, MemberState state, TimePoint since, bool unconfirmed) {
  const auto found = m_records.find(host);
  if (found == m_records.end()) return;
  RemoveFromDigest(found->second);
  found->second.m_update.m_member.m_state = state;
  found->second.m_state_since = since;
  found->second.m_is_unconfirmed = unconfirmed;
  AddToDigest(found->second);
}

std::vector<HostId> MemberTable::UnconfirmedHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, record] : m_records) {
    if (record.m_is_unconfirmed) hosts.push_back(host);
  }
  return hosts;
}

std::vector<HostId> MemberTable::RevertUnconfirmed() {
  std::vector<HostId> hosts = UnconfirmedHosts();
  for (const HostId host : hosts) SetState(host, MemberState::kAlive, {}, false);
  return hosts;
}

std::vector<HostId> MemberTable::ConfirmAll() {
  std::vector<HostId> hosts = UnconfirmedHosts();
  for (const HostId host : hosts) m_records[host].m_is_unconfirmed = false;
  return hosts;
}

void MemberTable::RemoveEndedBefore(TimePoint cutoff) {
  std::erase_if(m_records, [cutoff](const auto& entry) {
    return !IsLive(entry.second.Get().m_state) && entry.second.m_state_since < cutoff;
  });
}

const MemberRecord* MemberTable::Find(HostId host) const noexcept {
  const auto found = m_records.find(host);
  return found != m_records.end() ? &found->second : nullptr;
}

std::uint64_t MemberTable::DigestOf(DataCentreId data_centre) const noexcept {
  const auto found = m_digests.find(data_centre);
  return found != m_digests.end() ? found->second : 0;
}

MemberUpdate MemberTable::UpdateOf(const MemberRecord& record, TimePoint now) {
  MemberUpdate update = record.m_update;
  update.m_suspicion_age_ms = 0;
  if (update.m_member.m_state == MemberState::kSuspect) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.m_state_since).count();
    update.m_suspicion_age_ms = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kMaxSuspicionAgeMs));
  }
  return update;
}

}  // namespace fighatch::membership
