#include "request/duty_table.h"

#include <algorithm>

namespace fighatch {
namespace {

/// No id of an incarnation outlives its validity, and no entry its retention, after the incarnation stopped issuing.
constexpr Duration kDutyLifetime = kRequestIdValidity + kJournalRetention + std::chrono::seconds(30);

}  // namespace

DutyRoute DutyTable::RouteToHost(HostId host) const {
  const auto member = m_members.find(host);
  const bool gone = member != m_members.end() && !member->second.m_alive;
  return gone || host == m_self ? DutyRoute{} : DutyRoute{DutyRoute::Kind::kForward, host};
}

DutyRoute DutyTable::Find(const RequestId& id) const {
  const IssuerKey issuer(id.m_issuer, id.m_incarnation);
  if (issuer == IssuerKey(m_self, m_incarnation)) return {DutyRoute::Kind::kLocal, m_self};
  if (const auto taken = m_taken.find(issuer); taken != m_taken.end()) {
    return taken->second.m_complete ? DutyRoute{DutyRoute::Kind::kLocal, m_self} : DutyRoute{};
  }
  if (const auto notice = m_notices.find(issuer); notice != m_notices.end()) {
    return RouteToHost(notice->second.m_successor);
  }
  const auto member = m_members.find(id.m_issuer);
  if (member != m_members.end() && member->second.m_incarnation != id.m_incarnation) return {};
  return RouteToHost(id.m_issuer);
}

TimePoint DutyTable::IssuerClock(const IssuerKey& issuer, TimePoint now) const {
  const auto taken = m_taken.find(issuer);
  return taken == m_taken.end() ? now : now + taken->second.m_clock_offset.value_or(Duration{});
}

void DutyTable::OnMemberAlive(HostId host, Incarnation incarnation) {
  MemberRecord& member = m_members[host];
  if (incarnation >= member.m_incarnation) member = {incarnation, true};
}

void DutyTable::OnMemberDied(HostId host, Incarnation incarnation) {
  MemberRecord& member = m_members[host];
  if (incarnation >= member.m_incarnation) member = {incarnation, false};
}

void DutyTable::OnNotice(const SuccessorNotice& notice, TimePoint now) {
  if (notice.m_successor == m_self) return;
  m_notices[{notice.m_issuer, notice.m_issuer_incarnation}] = {notice.m_successor, now + kDutyLifetime};
}

bool DutyTable::MayTake(const Handover& part) const {
  const IssuerKey issuer(part.m_issuer, part.m_issuer_incarnation);
  if (issuer == IssuerKey(m_self, m_incarnation)) return false;
  const auto taken = m_taken.find(issuer);
  return taken == m_taken.end() || taken->second.m_sender == part.m_sender;
}

bool DutyTable::Take(const Handover& part, TimePoint now) {
  TakenDuty& duty = m_taken[{part.m_issuer, part.m_issuer_incarnation}];
  duty.m_sender = part.m_sender;
  duty.m_expires = now + kDutyLifetime;
  const Duration offset = TimePoint(Duration(part.m_issuer_clock_ns)) - now;
  duty.m_clock_offset = std::max(duty.m_clock_offset.value_or(offset), offset);
  if (part.m_part < part.m_initial_parts) duty.m_initial_parts.insert(part.m_part);
  if (duty.m_complete || duty.m_initial_parts.size() != part.m_initial_parts) return false;
  duty.m_complete = true;
  return true;
}

std::vector<IssuerKey> DutyTable::CompleteDuties() const {
  std::vector<IssuerKey> issuers;
  for (const auto& [issuer, duty] : m_taken) {
    if (duty.m_complete) issuers.push_back(issuer);
  }
  return issuers;
}

std::vector<IssuerKey> DutyTable::DutiesFrom(HostId sender) const {
  std::vector<IssuerKey> issuers;
  for (const auto& [issuer, duty] : m_taken) {
    if (duty.m_sender == sender) issuers.push_back(issuer);
  }
  return issuers;
}

void DutyTable::Expire(TimePoint now) {
  std::erase_if(m_taken, [now](const auto& item) { return item.second.m_expires <= now; });
  std::erase_if(m_notices, [now](const auto& item) { return item.second.m_expires <= now; });
}

}  // namespace fighatch
