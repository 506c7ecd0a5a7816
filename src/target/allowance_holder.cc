#include "fighatch/allowance_holder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fighatch {
namespace {

/// After this time on the holder's clock a grantor may have given the token to another holder.
constexpr Duration kClaimEnds = kLeaseTerm + kMaxRequestTime;

std::uint32_t MeanMicroseconds(Duration sum, std::uint32_t count) {
  if (count == 0) return 0;
  const auto mean = std::chrono::duration_cast<std::chrono::microseconds>(sum).count() / count;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(mean, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

bool AllowanceHolder::IsUsable(const Held& held, const Token& token, TimePoint now) noexcept {
  const bool fits = !held.m_incarnation || *held.m_incarnation == token.m_target_incarnation;
  return fits && !token.m_in_use && !token.m_revoked && now - token.m_asked < kLeaseTerm;
}

std::uint32_t AllowanceHolder::Available(TargetId target, TimePoint now) const {
  const auto found = m_held.find(target);
  if (found == m_held.end()) return 0;
  const Held& held = found->second;
  return static_cast<std::uint32_t>(std::count_if(held.m_tokens.begin(), held.m_tokens.end(),
                                                  [&](const Token& token) { return IsUsable(held, token, now); }));
}

bool AllowanceHolder::Take(TargetId target, TimePoint now) {
  const auto found = m_held.find(target);
  if (found == m_held.end()) return false;
  for (Token& token : found->second.m_tokens) {
    if (!IsUsable(found->second, token, now)) continue;
    token.m_in_use = true;
    return true;
  }
  return false;
}

void AllowanceHolder::Return(TargetId target, TimePoint now) {
  const auto found = m_held.find(target);
  if (found == m_held.end()) return;
  std::vector<Token>& tokens = found->second.m_tokens;
  // A revoked token is given back first, so that the coordinator gets it soonest.
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
  if (known == 0 && waiting > 0) m_hurry = true;
  known = waiting;
}

void AllowanceHolder::OnOutcome(TargetId target, Duration latency, bool shed) {
  Held& held = m_held[target];
  if (shed) {
    ++held.m_sheds;
    m_hurry = true;
    return;
  }
  ++held.m_ended;
  held.m_latency_sum += latency;
}

void AllowanceHolder::OnTargetIncarnation(TargetId target, Incarnation incarnation) {
  std::optional<Incarnation>& known = m_held[target].m_incarnation;
  known = known ? std::max(*known, incarnation) : incarnation;
}

void AllowanceHolder::Follow(HostId grantor, TimePoint /*now*/) {
  if (grantor != m_grantor || m_binding == 0) Bind(grantor, 0);
}

void AllowanceHolder::Bind(HostId grantor, std::uint64_t epoch) {
  m_grantor = grantor;
  m_epoch = epoch;
  ++m_binding;
  m_applied = 0;
  m_echo_ms = 0;
  m_asked = {};
  m_hurry = true;
}

void AllowanceHolder::SetMembers(std::uint32_t digest, std::vector<HostId> missing) {
  m_members_digest = digest;
  m_missing = std::move(missing);
}

bool AllowanceHolder::IsDue(TimePoint now) const {
  if (m_binding == 0) return false;
  if (!m_polled) return true;
  return now - m_last_poll >= (m_hurry ? kLeaseMinInterval : kLeaseRenewal);
}

std::optional<LeaseRequest> AllowanceHolder::Poll(TimePoint now) {
  if (!IsDue(now)) return std::nullopt;
  m_polled = true;
  m_last_poll = now;
  m_hurry = false;
  DropExpired(now);
  LeaseRequest request;
  request.m_holder = m_host;
  request.m_incarnation = m_incarnation;
  request.m_grantor = m_grantor;
  request.m_epoch = m_epoch;
  request.m_binding = m_binding;
  request.m_sequence = ++m_sequence;
  request.m_applied = m_applied;
  request.m_echo_ms = m_echo_ms;
  request.m_members_digest = m_members_digest;
  request.m_missing = m_missing;
  m_asked[m_sequence % m_asked.size()] = {m_sequence, now};
  ReportUses(&request);
  return request;
}

void AllowanceHolder::ReportUses(LeaseRequest* request) {
  for (auto& [target, held] : m_held) {
    TargetUse use;
    use.m_target = target;
    for (const Token& token : held.m_tokens) use.m_tokens.push_back({token.m_number, token.m_in_use});
    use.m_sheds = std::exchange(held.m_sheds, 0);
    use.m_latency_us = MeanMicroseconds(held.m_latency_sum, held.m_ended);
    use.m_ended = std::exchange(held.m_ended, 0);
    held.m_latency_sum = {};
    if (!use.m_tokens.empty() || use.m_sheds > 0 || use.m_ended > 0) request->m_uses.push_back(std::move(use));
  }
  for (const auto& [service, waiting] : m_waiting) {
    if (waiting > 0) request->m_demands.push_back({service, waiting});
  }
}

std::optional<TimePoint> AllowanceHolder::AskedAt(std::uint64_t sequence) const {
  const Asked& asked = m_asked[sequence % m_asked.size()];
  if (sequence == 0 || asked.m_sequence != sequence) return std::nullopt;
  return asked.m_at;
}

void AllowanceHolder::OnGrant(const LeaseGrant& grant, TimePoint now) {
  if (grant.m_holder != m_host || grant.m_incarnation != m_incarnation || grant.m_grantor != m_grantor) return;
  const std::optional<TimePoint> asked = AskedAt(grant.m_sequence);
  if (!asked || grant.m_sequence <= m_applied) return;
  if (grant.m_epoch != m_epoch) {
    if (grant.m_epoch > m_epoch) Bind(grant.m_grantor, grant.m_epoch);
    return;
  }
  // The first answer under an epoch carries no tokens; asking again at once is what makes this host count as heard.
  if (m_applied == 0) m_hurry = true;
  m_applied = grant.m_sequence;
  m_echo_ms = grant.m_time_ms;
  if (grant.m_decided) ApplyDecision(grant, *asked);
  DropExpired(now);
}

void AllowanceHolder::ApplyDecision(const LeaseGrant& grant, TimePoint asked) {
  for (auto& [target, held] : m_held) {
    for (Token& token : held.m_tokens) token.m_revoked = true;
  }
  for (const TokenGrant& tokens : grant.m_grants) ApplyTokens(tokens, asked);
  for (auto& [target, held] : m_held)
    std::erase_if(held.m_tokens, [](const Token& token) { return token.m_revoked && !token.m_in_use; });
}

void AllowanceHolder::ApplyTokens(const TokenGrant& grant, TimePoint asked) {
  Held& held = m_held[grant.m_target];
  for (const std::uint16_t number : grant.m_tokens) {
    auto token = std::find_if(held.m_tokens.begin(), held.m_tokens.end(),
                              [number](const Token& candidate) { return candidate.m_number == number; });
    if (token == held.m_tokens.end()) token = held.m_tokens.emplace(token);
    token->m_number = number;
    token->m_target_incarnation = grant.m_incarnation;
    token->m_asked = asked;
    token->m_revoked = false;
  }
}

void AllowanceHolder::DropExpired(TimePoint now) {
  for (auto& [target, held] : m_held) {
    std::erase_if(held.m_tokens,
                  [now](const Token& token) { return !token.m_in_use && now - token.m_asked >= kClaimEnds; });
  }
  std::erase_if(m_held, [](const auto& item) {
    const Held& held = item.second;
    return held.m_tokens.empty() && held.m_sheds == 0 && held.m_ended == 0 && !held.m_incarnation;
  });
}

}  // namespace fighatch
