#include <algorithm>

#include "fighatch/allowance_grantor.h"

namespace fighatch {
namespace {

constexpr Duration kDivisionAge = std::chrono::milliseconds(100);
/// The holder that is served first when there are fewer tokens than holders with demand changes this often.
constexpr Duration kRotation = std::chrono::seconds(1);

}  // namespace

AllowanceGrantor::Division& AllowanceGrantor::DivisionOf(ServiceId service, TimePoint now) {
  const bool known = m_divisions.contains(service);
  Division& division = m_divisions[service];
  if (known && now - division.m_computed < kDivisionAge) return division;
  division = Division();
  division.m_computed = now;
  CountTokens(service, &division, now);
  Divide(service, &division, now);
  return division;
}

void AllowanceGrantor::CountTokens(ServiceId service, Division* division, TimePoint now) {
  for (const LeaseMember& member : m_members) {
    if (member.m_takes_tokens && IsHeard(member.m_host, now)) division->m_uses[member.m_host] = {};
  }
  for (const TargetId id : m_services[service]) {
    const Target& target = m_targets.at(id);
    const std::uint32_t usable = Usable(target);
    if (usable > 0) division->m_targets.push_back(id);
    for (std::size_t index = 0; index < target.m_tokens.size(); ++index) {
      const Token& token = target.m_tokens[index];
      const auto use = token.m_owner ? division->m_uses.find(*token.m_owner) : division->m_uses.end();
      if (use != division->m_uses.end()) {
        if (index < usable) ++use->second.m_owned;
        if (token.m_in_use) ++use->second.m_in_use;
      } else if (index < usable && IsFree(token, now)) {
        ++division->m_free;
      }
    }
  }
}

void AllowanceGrantor::Divide(ServiceId service, Division* division, TimePoint now) {
  std::vector<std::pair<Use*, std::uint32_t>> wants;
  std::uint32_t tokens = division->m_free;
  for (auto& [host, use] : division->m_uses) {
    const auto& waiting = m_holders.at(host).m_waiting;
    const auto found = waiting.find(service);
    wants.emplace_back(&use, use.m_in_use + (found == waiting.end() ? 0 : found->second));
    tokens += use.m_owned;
  }
  if (wants.empty()) return;
  const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kRotation) % wants.size();
  bool progress = true;
  while (tokens > 0 && progress) {
    progress = false;
    for (std::size_t index = 0; index < wants.size() && tokens > 0; ++index) {
      auto& [use, want] = wants[(turn + index) % wants.size()];
      if (use->m_entitled >= want) continue;
      ++use->m_entitled;
      --tokens;
      progress = true;
    }
  }
  const auto each = static_cast<std::uint32_t>(tokens / wants.size());
  std::size_t more = tokens % wants.size();
  for (auto& [use, want] : wants) {
    use->m_entitled += each + (more > 0 ? 1 : 0);
    if (more > 0) --more;
  }
  std::uint32_t wanted = 0;
  for (const auto& [use, want] : wants) wanted += use->m_entitled - std::min(use->m_entitled, use->m_owned);
  division->m_short = wanted - std::min(wanted, division->m_free);
}

LeaseGrant AllowanceGrantor::Decide(const LeaseRequest& request, TimePoint now) {
  std::map<TargetId, TokenGrant> grants;
  Holder& holder = m_holders[request.m_holder];
  for (const auto& [service, targets] : m_services) DivisionOf(service, now);
  Renew(request, &holder, &grants, now);
  for (auto& [service, division] : m_divisions) GrantNew(request, &holder, &division, &grants, now);
  LeaseGrant decision;
  for (auto& [target, tokens] : grants) decision.m_grants.push_back(std::move(tokens));
  return decision;
}

void AllowanceGrantor::Renew(const LeaseRequest& request, Holder* holder, std::map<TargetId, TokenGrant>* grants,
                             TimePoint now) {
  for (const TokenKey& key : holder->m_tokens) {
    const Target& target = m_targets.at(key.first);
    const Token& token = target.m_tokens[key.second];
    if (key.second >= Usable(target) || !IsHeard(token.m_home, now)) continue;
    Division& division = m_divisions[target.m_service];
    Use& use = division.m_uses[request.m_holder];
    const bool spare = !token.m_in_use && use.m_owned > use.m_entitled;
    if (spare && division.m_short > 0) {
      --division.m_short;
      --use.m_owned;
      continue;
    }
    Add(key, request, grants, now);
  }
}

void AllowanceGrantor::GrantNew(const LeaseRequest& request, Holder* holder, Division* division,
                                std::map<TargetId, TokenGrant>* grants, TimePoint now) {
  Use& use = division->m_uses[request.m_holder];
  while (use.m_owned < use.m_entitled) {
    const std::optional<TokenKey> key = PickFree(*division, *grants, now);
    if (!key) return;
    Token& token = m_targets.at(key->first).m_tokens[key->second];
    if (token.m_owner) m_holders[*token.m_owner].m_tokens.erase(*key);
    token.m_owner = request.m_holder;
    token.m_in_use = false;
    holder->m_tokens.insert(*key);
    ++use.m_owned;
    Add(*key, request, grants, now);
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
    const std::size_t own = granted == grants.end() ? 0 : granted->second.m_tokens.size();
    if (best && own >= fewest) continue;
    const Target& target = m_targets.at(id);
    for (std::uint32_t token = 0; token < Usable(target); ++token) {
      if (!IsFree(target.m_tokens[token], now)) continue;
      best = TokenKey{id, static_cast<std::uint16_t>(token)};
      fewest = own;
      break;
    }
    if (best && fewest == 0) break;
  }
  return best;
}

void AllowanceGrantor::Add(TokenKey key, const LeaseRequest& request, std::map<TargetId, TokenGrant>* grants,
                           TimePoint now) {
  Target& target = m_targets.at(key.first);
  Token& token = target.m_tokens[key.second];
  token.m_granted_sequence = request.m_sequence;
  token.m_last_claim = now;
  TokenGrant& grant = (*grants)[key.first];
  grant.m_target = key.first;
  grant.m_incarnation = target.m_incarnation;
  grant.m_tokens.push_back(key.second);
}

}  // namespace fighatch
