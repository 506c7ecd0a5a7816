#include <algorithm>

#include "fighatch/allowance_grantor.h"

namespace fighatch {
namespace {

/// A division is computed again after this time.
constexpr Duration kMaxDivisionAge = std::chrono::milliseconds(100);
/// Period after which another holder is served first when there are fewer tokens than holders with demand.
constexpr Duration kPriorityRotationPeriod = std::chrono::seconds(1);

}  // namespace

AllowanceGrantor::Division& AllowanceGrantor::DivisionOf(ServiceId service, TimePoint now) {
  const bool known = m_divisions.contains(service);
  Division& division = m_divisions[service];
  if (known && now - division.m_computed_at < kMaxDivisionAge) return division;
  division = Division();
  division.m_computed_at = now;
  CountTokens(service, &division, now);
  Divide(service, &division, now);
  return division;
}

void AllowanceGrantor::CountTokens(ServiceId service, Division* division, TimePoint now) {
  for (const LeaseMember& member : m_members) {
    if (member.m_may_hold_tokens && IsFollowing(member.m_host, now)) division->m_shares[member.m_host] = {};
  }
  for (const TargetId id : m_services[service]) {
    const Target& target = m_targets.at(id);
    const std::uint32_t usable = UsableTokenCount(target);
    if (usable > 0) division->m_targets.push_back(id);
    for (std::size_t index = 0; index < target.m_tokens.size(); ++index) {
      const Token& token = target.m_tokens[index];
      const auto share = token.m_owner ? division->m_shares.find(*token.m_owner) : division->m_shares.end();
      if (share != division->m_shares.end()) {
        if (index < usable) ++share->second.m_owned;
        if (token.m_in_use) ++share->second.m_in_use;
      } else if (index < usable && IsFree(token, now)) {
        ++division->m_free;
      }
    }
  }
}

void AllowanceGrantor::Divide(ServiceId service, Division* division, TimePoint now) {
  std::vector<std::pair<HolderShare*, std::uint32_t>> demands;
  std::uint32_t tokens = division->m_free;
  for (auto& [host, share] : division->m_shares) {
    const auto& waiting = m_holders.at(host).m_waiting;
    const auto found = waiting.find(service);
    demands.emplace_back(&share, share.m_in_use + (found == waiting.end() ? 0 : found->second));
    tokens += share.m_owned;
  }
  if (demands.empty()) return;
  const auto rotation_offset =
      static_cast<std::size_t>(now.time_since_epoch() / kPriorityRotationPeriod) % demands.size();
  bool progress = true;
  while (tokens > 0 && progress) {
    progress = false;
    for (std::size_t index = 0; index < demands.size() && tokens > 0; ++index) {
      auto& [share, demand] = demands[(rotation_offset + index) % demands.size()];
      if (share->m_entitled >= demand) continue;
      ++share->m_entitled;
      --tokens;
      progress = true;
    }
  }
  const auto even_share = static_cast<std::uint32_t>(tokens / demands.size());
  std::size_t remainder = tokens % demands.size();
  for (auto& [share, demand] : demands) {
    share->m_entitled += even_share + (remainder > 0 ? 1 : 0);
    if (remainder > 0) --remainder;
  }
  std::uint32_t missing = 0;
  for (const auto& [share, demand] : demands)
    missing += share->m_entitled - std::min(share->m_entitled, share->m_owned);
  division->m_shortfall = missing - std::min(missing, division->m_free);
}

LeaseGrant AllowanceGrantor::DecideGrants(const LeaseRequest& request, TimePoint now) {
  std::map<TargetId, TokenGrant> grants;
  Holder& holder = m_holders[request.m_holder];
  for (const auto& [service, targets] : m_services) DivisionOf(service, now);
  Renew(request, &holder, &grants, now);
  for (auto& [service, division] : m_divisions) GrantFreeTokens(request, &holder, &division, &grants, now);
  LeaseGrant decision;
  for (auto& [target, tokens] : grants) decision.m_grants.push_back(std::move(tokens));
  return decision;
}

void AllowanceGrantor::Renew(const LeaseRequest& request, Holder* holder, std::map<TargetId, TokenGrant>* grants,
                             TimePoint now) {
  for (const TokenKey& key : holder->m_tokens) {
    const Target& target = m_targets.at(key.first);
    const Token& token = target.m_tokens[key.second];
    if (key.second >= UsableTokenCount(target) || !IsFollowing(token.m_home, now)) continue;
    Division& division = m_divisions[target.m_service];
    HolderShare& share = division.m_shares[request.m_holder];
    const bool surplus = !token.m_in_use && share.m_owned > share.m_entitled;
    if (surplus && division.m_shortfall > 0) {
      --division.m_shortfall;
      --share.m_owned;
      continue;
    }
    AddToGrant(key, request, grants, now);
  }
}

void AllowanceGrantor::GrantFreeTokens(const LeaseRequest& request, Holder* holder, Division* division,
                                       std::map<TargetId, TokenGrant>* grants, TimePoint now) {
  HolderShare& share = division->m_shares[request.m_holder];
  while (share.m_owned < share.m_entitled) {
    const std::optional<TokenKey> key = PickFree(*division, *grants, now);
    if (!key) return;
    Token& token = m_targets.at(key->first).m_tokens[key->second];
    if (token.m_owner) m_holders[*token.m_owner].m_tokens.erase(*key);
    token.m_owner = request.m_holder;
    token.m_in_use = false;
    holder->m_tokens.insert(*key);
    ++share.m_owned;
    AddToGrant(*key, request, grants, now);
  }
}

std::optional<AllowanceGrantor::TokenKey> AllowanceGrantor::PickFree(const Division& division,
                                                                     const std::map<TargetId, TokenGrant>& grants,
                                                                     TimePoint now) {
  std::optional<TokenKey> best;
  std::size_t fewest = 0;
  const std::size_t count = division.m_targets.size();
  const std::size_t start = m_random.Below(count);
  for (std::size_t index = 0; index < count; ++index) {
    const TargetId id = division.m_targets[(start + index) % count];
    const auto granted = grants.find(id);
    const std::size_t granted_count = granted == grants.end() ? 0 : granted->second.m_tokens.size();
    if (best && granted_count >= fewest) continue;
    const Target& target = m_targets.at(id);
    for (std::uint32_t token = 0; token < UsableTokenCount(target); ++token) {
      if (!IsFree(target.m_tokens[token], now)) continue;
      best = TokenKey{id, static_cast<std::uint16_t>(token)};
      fewest = granted_count;
      break;
    }
    if (best && fewest == 0) break;
  }
  return best;
}

void AllowanceGrantor::AddToGrant(TokenKey key, const LeaseRequest& request, std::map<TargetId, TokenGrant>* grants,
                                  TimePoint now) {
  Target& target = m_targets.at(key.first);
  Token& token = target.m_tokens[key.second];
  token.m_granted_sequence = request.m_sequence;
  token.m_last_confirmed = now;
  TokenGrant& grant = (*grants)[key.first];
  grant.m_target = key.first;
  grant.m_incarnation = target.m_incarnation;
  grant.m_tokens.push_back(key.second);
}

}  // namespace fighatch
