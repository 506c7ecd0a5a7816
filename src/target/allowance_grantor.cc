#include "fighatch/allowance_grantor.h"

#include <algorithm>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

/// Minimum interval between two evaluations of majority and membership.
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

std::uint64_t Milliseconds(TimePoint time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

TimePoint FromMilliseconds(std::uint64_t time) {
  return TimePoint(std::chrono::milliseconds(static_cast<std::int64_t>(time)));
}

void SortByHost(std::vector<LeaseMember>* members) {
  std::sort(members->begin(), members->end(),
            [](const LeaseMember& left, const LeaseMember& right) { return left.m_host < right.m_host; });
}

const LeaseMember* FindMember(const std::vector<LeaseMember>& members, HostId host) {
  const auto found = std::lower_bound(members.begin(), members.end(), host,
                                      [](const LeaseMember& member, HostId wanted) { return member.m_host < wanted; });
  return found != members.end() && found->m_host == host ? &*found : nullptr;
}

}  // namespace

AllowanceGrantor::AllowanceGrantor(HostId host, std::uint64_t epoch, std::vector<LeaseMember> members,
                                   std::uint32_t members_digest, std::uint64_t seed, TimePoint now)
    : m_host(host),
      m_epoch(epoch),
      m_members(std::move(members)),
      m_members_digest(members_digest),
      m_random(seed),
      m_started(now),
      m_checked_at(now - kCheckInterval) {
  SortByHost(&m_members);
  m_listed_members = m_members;
  for (const LeaseMember& member : m_members) m_member_since[member.m_host] = now;
}

void AllowanceGrantor::SetMembers(std::vector<LeaseMember> members, std::uint32_t members_digest, TimePoint now) {
  m_listed_members = std::move(members);
  m_members_digest = members_digest;
  SortByHost(&m_listed_members);
  UpdateMembers(now);
}

void AllowanceGrantor::SetAllowance(const TargetInfo& target, std::uint32_t allowance) {
  Target& known = m_targets[target.m_id];
  known.m_service = target.m_service;
  m_services[target.m_service].insert(target.m_id);
  known.m_incarnation = target.m_incarnation;
  known.m_capacity = target.m_slots;
  known.m_allowance = std::min<std::uint32_t>(allowance, kMaxTokensPerTarget);
  EnsureTokenCount(target.m_id, &known, known.m_allowance);
}

std::uint32_t AllowanceGrantor::CapacityOf(TargetId target) const {
  const auto known = m_targets.find(target);
  return known == m_targets.end() ? 0 : known->second.m_capacity;
}

void AllowanceGrantor::Forget(TargetId target) {
  const auto known = m_targets.find(target);
  if (known == m_targets.end()) return;
  for (auto& [host, holder] : m_holders)
    std::erase_if(holder.m_tokens, [target](const TokenKey& key) { return key.first == target; });
  m_services[known->second.m_service].erase(target);
  m_divisions.erase(known->second.m_service);
  m_targets.erase(known);
}

std::uint32_t AllowanceGrantor::UsableTokenCount(const Target& target) noexcept {
  if (target.m_tokens.size() <= target.m_allowance) return target.m_allowance;
  const auto excess = std::count_if(target.m_tokens.begin() + target.m_allowance, target.m_tokens.end(),
                                    [](const Token& token) { return token.m_owner.has_value(); });
  return target.m_allowance - std::min(target.m_allowance, static_cast<std::uint32_t>(excess));
}

void AllowanceGrantor::EnsureTokenCount(TargetId id, Target* target, std::size_t tokens) {
  while (target->m_tokens.size() < tokens) {
    Token& token = target->m_tokens.emplace_back();
    token.m_home = HomeOf(id, target->m_tokens.size() - 1);
  }
}

HostId AllowanceGrantor::HomeOf(TargetId target, std::size_t token) const {
  HostId home;
  std::uint64_t best = 0;
  const std::uint64_t key = MixHash(target.m_value, token);
  for (const LeaseMember& member : m_members) {
    const std::uint64_t score = MixHash(key, member.m_host.m_value);
    if (score < best) continue;
    best = score;
    home = member.m_host;
  }
  return home;
}

void AllowanceGrantor::AssignHomes() {
  for (auto& [id, target] : m_targets) {
    for (std::size_t index = 0; index < target.m_tokens.size(); ++index)
      target.m_tokens[index].m_home = HomeOf(id, index);
  }
}

bool AllowanceGrantor::IsMember(HostId host) const { return FindMember(m_members, host) != nullptr; }

bool AllowanceGrantor::MayHoldTokens(HostId host) const {
  const LeaseMember* member = FindMember(m_members, host);
  return member != nullptr && member->m_may_hold_tokens;
}

bool AllowanceGrantor::IsFollowing(HostId host, TimePoint now) const {
  const auto holder = m_holders.find(host);
  return holder != m_holders.end() && holder->second.m_last_followed &&
         now - *holder->second.m_last_followed < kLeaseTerm;
}

std::size_t AllowanceGrantor::FollowingMemberCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      m_members.begin(), m_members.end(), [&](const LeaseMember& member) { return IsFollowing(member.m_host, now); }));
}

bool AllowanceGrantor::HasMajority(TimePoint now) const {
  return IsMajority([&](HostId host) { return IsFollowing(host, now); });
}

bool AllowanceGrantor::IsMajority(const std::function<bool(HostId)>& counts) const {
  std::size_t known = 0;
  std::size_t counted = 0;
  // Removed members count. Otherwise both sides of a partition could have a majority after one side has removed
  // members.
  for (const LeaseMember& member : m_listed_members) {
    if (member.m_left) continue;
    ++known;
    if (counts(member.m_host)) ++counted;
  }
  return counted * 2 > known;
}

bool AllowanceGrantor::HasReported(HostId host, TimePoint now) const {
  return IsMember(host) && IsFollowing(host, now) && m_holders.at(host).m_members_digest == m_members_digest;
}

bool AllowanceGrantor::AllReported(TimePoint now) const {
  if (now - m_started < WithDrift(kLeaseTerm)) return false;
  // A removed member may go on using tokens of a former coordinator for a while.
  const bool recently_removed = std::any_of(m_removed_at.begin(), m_removed_at.end(), [now](const auto& item) {
    return now - item.second < kMaxUnreportedUseTime;
  });
  if (recently_removed) return false;
  const auto reported = [&](const LeaseMember& member) { return HasReported(member.m_host, now); };
  const auto accounted = [&](const LeaseMember& member) {
    return member.m_left || m_removed_at.contains(member.m_host) || reported(member);
  };
  return std::all_of(m_members.begin(), m_members.end(), reported) &&
         std::all_of(m_listed_members.begin(), m_listed_members.end(), accounted);
}

bool AllowanceGrantor::IsMissingForMajority(HostId host, TimePoint now) const {
  return IsMajority([&](HostId member) {
    if (!IsFollowing(member, now)) return false;
    const std::vector<HostId>& missing = m_holders.at(member).m_missing;
    return std::find(missing.begin(), missing.end(), host) != missing.end();
  });
}

bool AllowanceGrantor::HasLeft(HostId host) const {
  const LeaseMember* listed = FindMember(m_listed_members, host);
  return listed != nullptr && listed->m_left;
}

bool AllowanceGrantor::ShouldRemove(const LeaseMember& member, TimePoint now) const {
  if (HasLeft(member.m_host)) return true;
  if (IsFollowing(member.m_host, now)) return false;
  TimePoint last = m_member_since.at(member.m_host);
  const auto holder = m_holders.find(member.m_host);
  if (holder != m_holders.end() && holder->second.m_last_followed)
    last = std::max(last, *holder->second.m_last_followed);
  return now - last >= kMemberRemovedAfter && IsMissingForMajority(member.m_host, now);
}

void AllowanceGrantor::UpdateMembers(TimePoint now) {
  if (!HasMajority(now)) return;
  std::vector<LeaseMember> members;
  for (const LeaseMember& member : m_members) {
    if (!ShouldRemove(member, now)) {
      members.push_back(member);
    } else if (!HasLeft(member.m_host)) {
      // A member announces its departure after its last request has ended, so the tokens of one that left are free.
      m_removed_at[member.m_host] = now;
    }
  }
  for (const LeaseMember& member : m_listed_members) {
    if (!member.m_left && !IsMember(member.m_host) && IsFollowing(member.m_host, now)) {
      m_member_since[member.m_host] = now;
      m_removed_at.erase(member.m_host);
      members.push_back(member);
    }
  }
  SortByHost(&members);
  if (members == m_members || members.empty()) return;
  m_members = std::move(members);
  AssignHomes();
}

std::optional<LeaseGrant> AllowanceGrantor::OnRequest(const LeaseRequest& request, TimePoint now) {
  if (request.m_grantor != m_host || request.m_epoch > m_epoch) return std::nullopt;
  LeaseGrant grant;
  grant.m_grantor = m_host;
  grant.m_epoch = m_epoch;
  grant.m_holder = request.m_holder;
  grant.m_incarnation = request.m_incarnation;
  grant.m_sequence = request.m_sequence;
  grant.m_time_ms = Milliseconds(now);
  if (request.m_epoch < m_epoch) return grant;
  if (!AcceptSequence(request, now)) return std::nullopt;
  Holder& holder = m_holders[request.m_holder];
  RecordHolderState(request, &holder, now);
  ReconcileTokens(request, &holder, now);
  CheckMembers(now);
  const bool minority = !m_majority_at || now - *m_majority_at >= kMajorityLossTimeout;
  if (minority || !MayHoldTokens(request.m_holder) || !IsFollowing(request.m_holder, now)) return grant;
  grant.m_grants = DecideGrants(request, now).m_grants;
  grant.m_decided = true;
  return grant;
}

void AllowanceGrantor::CheckMembers(TimePoint now) {
  if (now - m_checked_at < kCheckInterval) return;
  m_checked_at = now;
  UpdateMembers(now);
  if (HasMajority(now)) {
    if (now - m_majority_at.value_or(m_started) >= kMajorityLossTimeout) ResetAfterMinority(now);
    m_majority_at = now;
  }
  if (AllReported(now)) m_all_reported_at = now;
}

void AllowanceGrantor::ResetAfterMinority(TimePoint now) {
  // While this grantor had no majority, another one may have had it and may have removed members whose reports still
  // count here. Which tokens are free has to be established again.
  m_started = now;
  m_all_reported_at.reset();
  for (auto& [host, holder] : m_holders) holder.m_bound_since = now;
}

bool AllowanceGrantor::AcceptSequence(const LeaseRequest& request, TimePoint now) {
  Holder& holder = m_holders[request.m_holder];
  if (request.m_incarnation < holder.m_incarnation) return false;
  if (request.m_incarnation > holder.m_incarnation) {
    ReleaseAll(request.m_holder, now + WithDrift(kLeaseTerm));
    holder = Holder();
    holder.m_incarnation = request.m_incarnation;
  }
  if (request.m_sequence <= holder.m_sequence) return false;
  holder.m_sequence = request.m_sequence;
  return true;
}

void AllowanceGrantor::RecordHolderState(const LeaseRequest& request, Holder* holder, TimePoint now) {
  if (request.m_binding != holder->m_binding) {
    holder->m_binding = request.m_binding;
    holder->m_bound_since = now;
    holder->m_last_followed.reset();
  }
  // The request may be late, so its arrival proves nothing: the holder is known to have followed this grantor at the
  // time of the grant that it echoes. No grant carried a time after now, and such a time could overflow as a number of
  // nanoseconds.
  if (request.m_applied_sequence > 0 && request.m_echoed_time_ms <= Milliseconds(now)) {
    const TimePoint echo = FromMilliseconds(request.m_echoed_time_ms);
    holder->m_last_followed = std::max(holder->m_last_followed.value_or(echo), echo);
  }
  holder->m_members_digest = request.m_members_digest;
  holder->m_missing = request.m_missing;
  holder->m_waiting.clear();
  for (const TokenDemand& demand : request.m_demands) holder->m_waiting[demand.m_service] = demand.m_waiting;
}

void AllowanceGrantor::ReconcileTokens(const LeaseRequest& request, Holder* holder, TimePoint now) {
  std::set<TokenKey> reported;
  for (const TargetUse& use : request.m_uses) {
    for (const TokenUse& token : use.m_tokens) {
      if (token.m_token >= kMaxTokensPerTarget) continue;
      reported.insert({use.m_target, token.m_token});
      RecordTokenUse(request.m_holder, use.m_target, token, holder, now);
    }
  }
  std::erase_if(holder->m_tokens, [&](const TokenKey& key) {
    Token& token = m_targets.at(key.first).m_tokens[key.second];
    // A grant that the holder has not applied yet may still arrive.
    if (reported.contains(key) || token.m_granted_sequence > request.m_applied_sequence) return false;
    token.m_owner.reset();
    token.m_in_use = false;
    return true;
  });
}

void AllowanceGrantor::RecordTokenUse(HostId host, TargetId target, const TokenUse& use, Holder* holder,
                                      TimePoint now) {
  Target& known = m_targets[target];
  EnsureTokenCount(target, &known, std::size_t{use.m_token} + 1);
  Token& token = known.m_tokens[use.m_token];
  if (token.m_owner && *token.m_owner != host) return;
  if (!token.m_owner) {
    token.m_owner = host;
    token.m_granted_sequence = 0;
    holder->m_tokens.insert({target, use.m_token});
  }
  token.m_in_use = use.m_in_use;
  token.m_last_confirmed = now;
}

void AllowanceGrantor::ReleaseAll(HostId host, TimePoint blocked_until) {
  for (const TokenKey& key : m_holders[host].m_tokens) {
    Token& token = m_targets.at(key.first).m_tokens[key.second];
    token.m_owner.reset();
    token.m_in_use = false;
    token.m_blocked_until = blocked_until;
  }
  m_holders[host].m_tokens.clear();
}

bool AllowanceGrantor::IsPriorUseKnown(HostId home, TimePoint now) const {
  const auto holder = m_holders.find(home);
  if (holder == m_holders.end()) return false;
  const TimePoint since = holder->second.m_bound_since;
  return now - since >= kMaxUnreportedUseTime || (m_all_reported_at && *m_all_reported_at >= since);
}

bool AllowanceGrantor::IsFree(const Token& token, TimePoint now) const {
  if (token.m_owner && now - token.m_last_confirmed < kMaxUnreportedUseTime) return false;
  return now >= token.m_blocked_until && now - m_started >= WithDrift(kLeaseTerm) && IsFollowing(token.m_home, now) &&
         IsPriorUseKnown(token.m_home, now);
}

}  // namespace fighatch
