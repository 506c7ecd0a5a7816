#include "request/ownership_table.h"

#include <algorithm>

namespace fighatch {
namespace {

/// After an incarnation has stopped issuing, its last id expires within the validity and the last journal entry within
/// the retention that follows, so ownership records can be dropped 30 s after both.
constexpr Duration kOwnershipLifetime = kRequestIdValidity + kJournalRetention + std::chrono::seconds(30);

}  // namespace

OwnerRoute OwnershipTable::RouteIfAlive(HostId host) const {
  const auto member = m_members.find(host);
  const bool dead = member != m_members.end() && !member->second.m_alive;
  return dead || host == m_self ? OwnerRoute{} : OwnerRoute{OwnerRoute::Kind::kForward, host};
}

OwnerRoute OwnershipTable::Find(const RequestId& id) const {
  const IssuerIncarnation issuer(id.m_issuer, id.m_incarnation);
  if (issuer == IssuerIncarnation(m_self, m_incarnation)) return {OwnerRoute::Kind::kLocal, m_self};
  if (const auto received = m_received.find(issuer); received != m_received.end()) {
    return received->second.m_complete ? OwnerRoute{OwnerRoute::Kind::kLocal, m_self} : OwnerRoute{};
  }
  if (const auto notice = m_notices.find(issuer); notice != m_notices.end()) {
    return RouteIfAlive(notice->second.m_successor);
  }
  const auto member = m_members.find(id.m_issuer);
  if (member != m_members.end() && member->second.m_incarnation != id.m_incarnation) return {};
  return RouteIfAlive(id.m_issuer);
}

TimePoint OwnershipTable::IssuerClock(const IssuerIncarnation& issuer, TimePoint now) const {
  const auto received = m_received.find(issuer);
  return received == m_received.end() ? now : now + received->second.m_clock_offset.value_or(Duration{});
}

void OwnershipTable::OnMemberAlive(HostId host, Incarnation incarnation) {
  MemberRecord& member = m_members[host];
  if (incarnation >= member.m_incarnation) member = {incarnation, true};
}

void OwnershipTable::OnMemberDied(HostId host, Incarnation incarnation) {
  MemberRecord& member = m_members[host];
  if (incarnation >= member.m_incarnation) member = {incarnation, false};
}

void OwnershipTable::OnNotice(const SuccessorNotice& notice, TimePoint now) {
  if (notice.m_successor == m_self) return;
  m_notices[{notice.m_issuer, notice.m_issuer_incarnation}] = {notice.m_successor, now + kOwnershipLifetime};
}

bool OwnershipTable::AcceptsHandover(const Handover& part) const {
  const IssuerIncarnation issuer(part.m_issuer, part.m_issuer_incarnation);
  if (issuer == IssuerIncarnation(m_self, m_incarnation)) return false;
  const auto received = m_received.find(issuer);
  return received == m_received.end() || received->second.m_sender == part.m_sender;
}

bool OwnershipTable::RecordPart(const Handover& part, TimePoint now) {
  ReceivedOwnership& ownership = m_received[{part.m_issuer, part.m_issuer_incarnation}];
  ownership.m_sender = part.m_sender;
  ownership.m_expires = now + kOwnershipLifetime;
  const Duration offset = TimePoint(Duration(part.m_issuer_clock_ns)) - now;
  ownership.m_clock_offset = std::max(ownership.m_clock_offset.value_or(offset), offset);
  if (part.m_part < part.m_initial_parts) ownership.m_initial_parts.insert(part.m_part);
  if (ownership.m_complete || ownership.m_initial_parts.size() != part.m_initial_parts) return false;
  ownership.m_complete = true;
  return true;
}

std::vector<IssuerIncarnation> OwnershipTable::CompletelyReceived() const {
  std::vector<IssuerIncarnation> issuers;
  for (const auto& [issuer, ownership] : m_received) {
    if (ownership.m_complete) issuers.push_back(issuer);
  }
  return issuers;
}

std::vector<IssuerIncarnation> OwnershipTable::ReceivedFrom(HostId sender) const {
  std::vector<IssuerIncarnation> issuers;
  for (const auto& [issuer, ownership] : m_received) {
    if (ownership.m_sender == sender) issuers.push_back(issuer);
  }
  return issuers;
}

void OwnershipTable::Expire(TimePoint now) {
  std::erase_if(m_received, [now](const auto& item) { return item.second.m_expires <= now; });
  std::erase_if(m_notices, [now](const auto& item) { return item.second.m_expires <= now; });
}

}  // namespace fighatch
