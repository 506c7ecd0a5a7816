#include "fighatch/allowance_holder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fighatch {
namespace {

/// Time since the start of the lease, on the holder's clock, after which a grantor may have granted the token to
/// another holder.
constexpr Duration kTokenRetentionTime = kLeaseTerm + kMaxRequestTime;

std::uint32_t MeanMicroseconds(Duration sum, std::uint32_t count) {
  if (count == 0) return 0;
  const auto mean = std::chrono::duration_cast<std::chrono::microseconds>(sum).count() / count;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(mean, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

bool AllowanceHolder::IsUsable(const TargetLease& lease, const Token& token, TimePoint now) noexcept {
  const bool incarnation_matches = !lease.m_incarnation || *lease.m_incarnation == token.m_target_incarnation;
  return incarnation_matches && !token.m_in_use && !token.m_revoked && now - token.m_lease_start < kLeaseTerm;
}

std::uint32_t AllowanceHolder::Available(TargetId target, TimePoint now) const {
  const auto found = m_target_leases.find(target);
  if (found == m_target_leases.end()) return 0;
  const TargetLease& lease = found->second;
  return static_cast<std::uint32_t>(std::count_if(lease.m_tokens.begin(), lease.m_tokens.end(),
                                                  [&](const Token& token) { return IsUsable(lease, token, now); }));
}

bool AllowanceHolder::Take(TargetId target, TimePoint now) {
  const auto found = m_target_leases.find(target);
  if (found == m_target_leases.end()) return false;
  for (Token& token : found->second.m_tokens) {
    if (!IsUsable(found->second, token, now)) continue;
    token.m_in_use = true;
    return true;
  }
  return false;
}

void AllowanceHolder::Return(TargetId target, TimePoint now) {
  const auto found = m_target_leases.find(target);
  if (found == m_target_leases.end()) return;
  std::vector<Token>& tokens = found->second.m_tokens;
  // Revoked tokens are returned first, so that the coordinator can grant them again as early as possible.
  auto returned =
      std::find_if(tokens.begin(), tokens.end(), [](const Token& token) { return token.m_in_use && token.m_revoked; });
  if (returned == tokens.end())
    returned = std::find_if(tokens.begin(), tokens.end(), [](const Token& token) { return token.m_in_use; });
  if (returned == tokens.end()) return;
  returned->m_in_use = false;
  if (returned->m_revoked) tokens.erase(returned);
  DropExpired(now);
}

void AllowanceHolder::ReportDemand(ServiceId service, std::uint32_t waiting, TimePoint /*now*/) {
  std::uint32_t& known = m_waiting[service];
  if (known == 0 && waiting > 0) m_early_request = true;
  known = waiting;
}

void AllowanceHolder::OnOutcome(TargetId target, Duration latency, bool shed) {
  TargetLease& lease = m_target_leases[target];
  if (shed) {
    ++lease.m_sheds;
    m_early_request = true;
    return;
  }
  ++lease.m_ended;
  lease.m_latency_sum += latency;
}

void AllowanceHolder::OnTargetIncarnation(TargetId target, Incarnation incarnation) {
  std::optional<Incarnation>& known = m_target_leases[target].m_incarnation;
  known = known ? std::max(*known, incarnation) : incarnation;
}

void AllowanceHolder::Follow(HostId grantor, TimePoint /*now*/) {
  if (grantor != m_grantor || m_binding == 0) Bind(grantor, 0);
}

void AllowanceHolder::Bind(HostId grantor, std::uint64_t epoch) {
  m_grantor = grantor;
  m_epoch = epoch;
  ++m_binding;
  m_applied_sequence = 0;
  m_echoed_time_ms = 0;
  m_sent_requests = {};
  m_early_request = true;
}

void AllowanceHolder::SetMembers(std::uint32_t digest, std::vector<HostId> missing) {
  m_members_digest = digest;
  m_missing = std::move(missing);
}

bool AllowanceHolder::IsDue(TimePoint now) const {
  if (m_binding == 0) return false;
  if (!m_polled) return true;
  return now - m_last_poll >= (m_early_request ? kLeaseMinInterval : kLeaseRenewal);
}

std::optional<LeaseRequest> AllowanceHolder::Poll(TimePoint now) {
  if (!IsDue(now)) return std::nullopt;
  m_polled = true;
  m_last_poll = now;
  m_early_request = false;
  DropExpired(now);
  LeaseRequest request;
  request.m_holder = m_host;
  request.m_incarnation = m_incarnation;
  request.m_grantor = m_grantor;
  request.m_epoch = m_epoch;
  request.m_binding = m_binding;
  request.m_sequence = ++m_sequence;
  request.m_applied_sequence = m_applied_sequence;
  request.m_echoed_time_ms = m_echoed_time_ms;
  request.m_members_digest = m_members_digest;
  request.m_missing = m_missing;
  m_sent_requests[m_sequence % m_sent_requests.size()] = {m_sequence, now};
  ReportUses(&request);
  return request;
}

void AllowanceHolder::ReportUses(LeaseRequest* request) {
  for (auto& [target, lease] : m_target_leases) {
    TargetUse use;
    use.m_target = target;
    for (const Token& token : lease.m_tokens) use.m_tokens.push_back({token.m_number, token.m_in_use});
    use.m_sheds = std::exchange(lease.m_sheds, 0);
    use.m_latency_us = MeanMicroseconds(lease.m_latency_sum, lease.m_ended);
    use.m_ended = std::exchange(lease.m_ended, 0);
    lease.m_latency_sum = {};
    if (!use.m_tokens.empty() || use.m_sheds > 0 || use.m_ended > 0) request->m_uses.push_back(std::move(use));
  }
  for (const auto& [service, waiting] : m_waiting) {
    if (waiting > 0) request->m_demands.push_back({service, waiting});
  }
}

std::optional<TimePoint> AllowanceHolder::RequestSentAt(std::uint64_t sequence) const {
  const SentRequest& sent = m_sent_requests[sequence % m_sent_requests.size()];
  if (sequence == 0 || sent.m_sequence != sequence) return std::nullopt;
  return sent.m_sent_at;
}

void AllowanceHolder::OnGrant(const LeaseGrant& grant, TimePoint now) {
  if (grant.m_holder != m_host || grant.m_incarnation != m_incarnation || grant.m_grantor != m_grantor) return;
  const std::optional<TimePoint> sent_at = RequestSentAt(grant.m_sequence);
  if (!sent_at || grant.m_sequence <= m_applied_sequence) return;
  if (grant.m_epoch != m_epoch) {
    if (grant.m_epoch > m_epoch) Bind(grant.m_grantor, grant.m_epoch);
    return;
  }
  // The first grant under an epoch carries no tokens. The grantor counts this host as a follower only after a request
  // that echoes the grant, so the next request is sent early.
  if (m_applied_sequence == 0) m_early_request = true;
  m_applied_sequence = grant.m_sequence;
  m_echoed_time_ms = grant.m_time_ms;
  if (grant.m_decided) ApplyDecision(grant, *sent_at);
  DropExpired(now);
}

void AllowanceHolder::ApplyDecision(const LeaseGrant& grant, TimePoint lease_start) {
  for (auto& [target, lease] : m_target_leases) {
    for (Token& token : lease.m_tokens) token.m_revoked = true;
  }
  for (const TokenGrant& tokens : grant.m_grants) ApplyTokens(tokens, lease_start);
  for (auto& [target, lease] : m_target_leases)
    std::erase_if(lease.m_tokens, [](const Token& token) { return token.m_revoked && !token.m_in_use; });
}

void AllowanceHolder::ApplyTokens(const TokenGrant& grant, TimePoint lease_start) {
  TargetLease& lease = m_target_leases[grant.m_target];
  for (const std::uint16_t number : grant.m_tokens) {
    auto token = std::find_if(lease.m_tokens.begin(), lease.m_tokens.end(),
                              [number](const Token& candidate) { return candidate.m_number == number; });
    if (token == lease.m_tokens.end()) token = lease.m_tokens.emplace(token);
    token->m_number = number;
    token->m_target_incarnation = grant.m_incarnation;
    token->m_lease_start = lease_start;
    token->m_revoked = false;
  }
}

void AllowanceHolder::DropExpired(TimePoint now) {
  for (auto& [target, lease] : m_target_leases) {
    std::erase_if(lease.m_tokens, [now](const Token& token) {
      return !token.m_in_use && now - token.m_lease_start >= kTokenRetentionTime;
    });
  }
  std::erase_if(m_target_leases, [](const auto& item) {
    const TargetLease& lease = item.second;
    return lease.m_tokens.empty() && lease.m_sheds == 0 && lease.m_ended == 0 && !lease.m_incarnation;
  });
}

}  // namespace fighatch
