#include "membership/membership_impl.h"

#include <algorithm>
#include <utility>

namespace fighatch {

using membership::IsLive;
using membership::MemberRecord;
using membership::MemberUpdate;
using membership::MergeOutcome;

namespace {

using std::chrono::milliseconds;

/// A longer gap between ticks means that this process was paused or its clock jumped. The silence of other members in
/// that time proves nothing about them.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/// Time for a member that is alive for this host to refute a death that others report. Without it, after a partition
/// has healed, each side would take its own members for dead on the other side's report until they have refuted.
constexpr Duration kRefutationGrace = milliseconds(250);

}  // namespace

Membership::Impl::Impl(const MembershipSettings& settings, Random random)
    : m_settings(settings), m_random(random), m_self(settings.m_self) {
  m_self.m_state = MemberState::kAlive;
  m_queue.Add(m_self.m_host);
}

void Membership::Impl::AdvanceTo(TimePoint now, bool is_tick) {
  if (!m_is_started) {
    m_is_started = true;
    m_now = m_last_tick = m_last_message_at = m_last_local_message_at = m_list_tokens_updated_at = m_next_push_at = now;
    const auto period = static_cast<std::uint64_t>(m_settings.m_probe_period.count());
    m_period_ends_at = now + Duration(static_cast<Duration::rep>(m_random.Below(period)));
  }
  m_now = std::max(m_now, now);
  if (m_now - m_last_tick > kPauseThreshold) CompensateForPause(m_now - m_last_tick);
  if (is_tick) m_last_tick = m_now;
}

void Membership::Impl::CompensateForPause(Duration pause) {
  m_probe.reset();
  m_relayed_probes.clear();
  m_last_message_at += pause;
  m_last_local_message_at += pause;
  m_last_tick = m_now;
  m_period_ends_at = m_now;
  for (const HostId host : m_suspects) {
    const MemberRecord* record = m_table.Find(host);
    if (record != nullptr)
      m_table.SetState(host, MemberState::kSuspect, record->m_state_since + pause, record->m_is_unconfirmed);
  }
}

MembershipActions Membership::Impl::TakeActions() {
  if (m_unpushed_count > 0 && m_now >= m_next_push_at) PushChanges();
  if (m_is_table_changed) EmitCoordinatorChange();
  return std::exchange(m_actions, {});
}

void Membership::Impl::EmitEvent(MembershipEventKind kind, const Member& member) {
  m_actions.m_events.push_back({kind, member});
}

void Membership::Impl::EmitCoordinatorChange() {
  m_is_table_changed = false;
  const std::optional<Member> coordinator = CoordinatorOf(m_self.m_data_centre);
  const auto host_of = [](const std::optional<Member>& member) { return member ? member->m_host : HostId{}; };
  if (host_of(coordinator) != host_of(m_coordinator))
    EmitEvent(MembershipEventKind::kCoordinatorChanged, coordinator.value_or(Member{}));
  m_coordinator = coordinator;
}

void Membership::Impl::ApplyPiggyback(const membership::Piggyback& piggyback) {
  for (const MemberUpdate& update : piggyback.m_updates) ApplyUpdate(update);
}

void Membership::Impl::ApplyUpdate(MemberUpdate update) {
  const HostId host = update.m_member.m_host;
  if (host == m_self.m_host) return ApplyUpdateAboutSelf(update);
  DowngradeDeathToSuspicion(&update);
  const MemberRecord* known = m_table.Find(host);
  const std::optional<Member> before = known != nullptr ? std::optional(known->Get()) : std::nullopt;
  switch (m_table.Merge(m_now, update)) {
    case MergeOutcome::kApplied:
      EmitMemberChange(before, update.m_member);
      Disseminate(host);
      break;
    case MergeOutcome::kOlder:
      // The sender lists as dead or left a member that has refuted this: send the newer update again.
      if (!IsLive(update.m_member.m_state) && before->m_state == MemberState::kAlive) m_queue.Add(host);
      break;
    case MergeOutcome::kEqual:
    case MergeOutcome::kIgnored:
      break;
  }
}

void Membership::Impl::DowngradeDeathToSuspicion(MemberUpdate* update) const {
  const Member& member = update->m_member;
  if (member.m_state != MemberState::kDead || member.m_data_centre != m_self.m_data_centre) return;
  const MemberRecord* known = m_table.Find(member.m_host);
  if (known == nullptr || known->Get().m_state != MemberState::kAlive) return;
  update->m_member.m_state = MemberState::kSuspect;
  const Duration age = std::max(m_settings.m_suspicion_timeout - kRefutationGrace, Duration(0));
  update->m_suspicion_age_ms = static_cast<std::uint16_t>(std::chrono::duration_cast<milliseconds>(age).count());
}

void Membership::Impl::ApplyUpdateAboutSelf(const MemberUpdate& update) {
  if (m_self.m_state == MemberState::kLeft) return;
  if (update.m_member.m_incarnation > m_self.m_incarnation) {
    if (!m_is_superseded) EmitEvent(MembershipEventKind::kSuperseded, update.m_member);
    m_is_superseded = true;
    return;
  }
  if (update.Rank() <= SelfUpdate().Rank()) return;
  m_revision = update.m_revision + 1;
  Disseminate(m_self.m_host);
}

void Membership::Impl::EmitMemberChange(const std::optional<Member>& before, const Member& after) {
  const bool was_live = before && IsLive(before->m_state);
  const bool is_live = IsLive(after.m_state);
  if (!was_live && is_live) return EmitEvent(MembershipEventKind::kJoined, after);
  if (was_live && after.m_state == MemberState::kDead) return EmitEvent(MembershipEventKind::kDied, after);
  if (was_live && after.m_state == MemberState::kLeft) return EmitEvent(MembershipEventKind::kLeft, after);
  if (!was_live) return;
  if (before->m_incarnation != after.m_incarnation) return EmitEvent(MembershipEventKind::kRestarted, after);
  if (after.m_state == MemberState::kSuspect) return EmitEvent(MembershipEventKind::kSuspected, after);
  if (before->m_state == MemberState::kSuspect) return EmitEvent(MembershipEventKind::kRefuted, after);
  EmitEvent(MembershipEventKind::kChanged, after);
}

void Membership::Impl::Disseminate(HostId host) {
  const std::optional<Member> member = Find(host);
  m_queue.Add(host);
  if (member->m_data_centre == m_self.m_data_centre) ++m_unpushed_count;
  MarkListChanged(host, member->m_data_centre);
}

void Membership::Impl::MarkListChanged(HostId host, DataCentreId data_centre) {
  m_is_table_changed = true;
  m_list_changed_at[data_centre] = m_now;
  m_consecutive_equal_digests = 0;
  if (data_centre != m_self.m_data_centre) return;
  const std::optional<Member> member = Find(host);
  const bool is_suspect = member && member->m_state == MemberState::kSuspect;
  if (is_suspect) m_suspects.insert(host);
  if (!is_suspect) m_suspects.erase(host);
  if (!is_suspect) m_remote_update_pending.insert(host);
}

MemberUpdate Membership::Impl::SelfUpdate() const { return {m_self, m_revision, 0}; }

std::optional<MemberUpdate> Membership::Impl::UpdateFor(HostId host) const {
  if (host == m_self.m_host) return SelfUpdate();
  const MemberRecord* record = m_table.Find(host);
  if (record == nullptr || record->m_is_unconfirmed) return std::nullopt;
  return membership::MemberTable::UpdateOf(*record, m_now);
}

membership::Piggyback Membership::Impl::MakePiggyback(HostId receiver, std::size_t max_updates) {
  membership::Piggyback piggyback{Digests(), {}};
  const MemberRecord* known = m_table.Find(receiver);
  // A receiver that this host does not list as alive needs that update to refute it, and may not know this host either.
  if (known == nullptr || known->Get().m_state != MemberState::kAlive) {
    piggyback.m_updates.push_back(SelfUpdate());
    if (const auto update = UpdateFor(receiver)) piggyback.m_updates.push_back(*update);
  }
  for (const HostId host : m_queue.Take(max_updates, m_table.Records().size())) {
    if (const auto update = UpdateFor(host)) piggyback.m_updates.push_back(*update);
  }
  return piggyback;
}

std::uint64_t Membership::Impl::DigestOf(DataCentreId data_centre) const {
  const std::uint64_t own =
      data_centre == m_self.m_data_centre ? membership::MemberTable::DigestContribution(SelfUpdate()) : 0;
  return m_table.DigestOf(data_centre) + own;
}

std::vector<membership::ListDigest> Membership::Impl::Digests() const {
  std::vector<membership::ListDigest> digests = {{m_self.m_data_centre, DigestOf(m_self.m_data_centre)}};
  for (const auto& [data_centre, digest] : m_table.Digests()) {
    if (digests.size() >= membership::kMaxDigests) break;
    if (data_centre != m_self.m_data_centre) digests.push_back({data_centre, digest});
  }
  return digests;
}

MembershipActions Membership::Impl::SetKeeperReady(TimePoint now, bool ready) {
  AdvanceTo(now, false);
  if (m_self.m_keeper_ready != ready) {
    m_self.m_keeper_ready = ready;
    ++m_revision;
    Disseminate(m_self.m_host);
  }
  return TakeActions();
}

MembershipActions Membership::Impl::Leave(TimePoint now) {
  AdvanceTo(now, false);
  if (m_self.m_state != MemberState::kLeft) {
    m_self.m_state = MemberState::kLeft;
    ++m_revision;
    Disseminate(m_self.m_host);
  }
  return TakeActions();
}

std::vector<Member> Membership::Impl::LiveMembersOf(DataCentreId data_centre) const {
  std::vector<Member> members;
  for (const Member& member : AllMembers()) {
    if (member.m_data_centre == data_centre && IsLive(member.m_state)) members.push_back(member);
  }
  return members;
}

std::vector<Member> Membership::Impl::AllMembers() const {
  std::vector<Member> members = {m_self};
  for (const auto& [host, record] : m_table.Records()) members.push_back(record.Get());
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.m_host < right.m_host; });
  return members;
}

std::optional<Member> Membership::Impl::Find(HostId host) const {
  if (host == m_self.m_host) return m_self;
  const MemberRecord* record = m_table.Find(host);
  return record != nullptr ? std::optional(record->Get()) : std::nullopt;
}

std::optional<Member> Membership::Impl::CoordinatorOf(DataCentreId data_centre) const {
  const auto is_candidate = [data_centre](const Member& member) {
    return member.m_data_centre == data_centre && member.m_role == MemberRole::kBalancer && IsLive(member.m_state);
  };
  std::optional<Member> lowest;
  if (is_candidate(m_self)) lowest = m_self;
  for (const auto& [host, record] : m_table.Records()) {
    if (lowest && lowest->m_host < host) break;
    if (is_candidate(record.Get())) return record.Get();
  }
  return lowest;
}

std::optional<TimePoint> Membership::Impl::LastHeardFrom(DataCentreId data_centre) const {
  const auto found = m_last_message_from.find(data_centre);
  return found != m_last_message_from.end() ? std::optional(found->second) : std::nullopt;
}

}  // namespace fighatch
