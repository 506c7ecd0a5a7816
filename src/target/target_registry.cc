#include "fighatch/target_registry.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fighatch {
namespace {

TargetFact FactOf(const Announcement& announcement, const TargetInfo& info) {
  TargetFact fact;
  fact.m_info = info;
  fact.m_load = {announcement.m_requests_in_progress, announcement.m_open_connections, announcement.m_uptime_ms};
  fact.m_sequence = announcement.m_sequence;
  return fact;
}

bool IsNewer(const TargetFact& left, const TargetFact& right) {
  return std::tie(left.m_info.m_incarnation, left.m_sequence) > std::tie(right.m_info.m_incarnation, right.m_sequence);
}

template <typename T>
T Saturate(std::uint64_t value) {
  return static_cast<T>(std::min<std::uint64_t>(value, std::numeric_limits<T>::max()));
}

std::uint64_t MillisecondsSince(TimePoint earlier, TimePoint now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - earlier).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
}

bool SharesEndpoint(const TargetInfo& left, const TargetInfo& right) {
  return left.m_http_endpoint == right.m_http_endpoint || left.m_gue_endpoint == right.m_gue_endpoint;
}

/// True if a refresh carries everything that changed. It has no uptime, so a restart under the same incarnation needs
/// the full fact.
bool IsRefreshSufficient(const TargetFact& before, const TargetFact& after) {
  return before.m_info == after.m_info && after.m_load.m_uptime_ms >= before.m_load.m_uptime_ms &&
         after.m_sequence <= UINT32_MAX;
}

}  // namespace

Result<TargetId> TargetRegistry::Announce(std::string_view body, std::string_view signature,
                                          std::span<const TargetKey> keys, const StateDocument& state, TimePoint now) {
  const Status verified = VerifyAnnouncement(body, signature, keys);
  if (!IsOk(verified)) return ErrorOf(verified);
  const Result<Announcement> announcement = ParseAnnouncement(body);
  if (!IsOk(announcement)) return ErrorOf(announcement);
  const Result<TargetInfo> info = AdmitAnnouncement(ValueOf(announcement), state, m_data_centre);
  if (!IsOk(info)) return ErrorOf(info);
  const Status recorded = Record(FactOf(ValueOf(announcement), ValueOf(info)), now);
  if (!IsOk(recorded)) return ErrorOf(recorded);
  return ValueOf(info).m_id;
}

Status TargetRegistry::Record(const TargetFact& fact, TimePoint now) {
  const TargetId id = fact.m_info.m_id;
  const auto known = m_records.find(id);
  if (IsReplayed(fact))
    return MakeError(ErrorCode::kAnnouncementReplayed, "sequence " + std::to_string(fact.m_sequence));
  if (IsQuarantined(fact.m_info, now))
    return MakeError(ErrorCode::kAnnouncementNotAdmitted,
                     "address belongs to another service or was withdrawn from it less than 10 s ago");
  const bool changed = known == m_records.end() || known->second.m_withdrawn ||
                       known->second.m_fact.m_info != fact.m_info || !IsRefreshSufficient(known->second.m_fact, fact);
  m_unsent_facts[id] = m_unsent_facts[id] || changed;
  Store(fact, now);
  return OkStatus();
}

void TargetRegistry::Store(const TargetFact& fact, TimePoint announced_at) {
  const auto [position, inserted] = m_records.try_emplace(fact.m_info.m_id);
  TargetRecord& record = position->second;
  const bool same_incarnation = !inserted && record.m_fact.m_info.m_incarnation == fact.m_info.m_incarnation;
  const bool healthy = fact.m_healthy || (same_incarnation && record.m_fact.m_healthy);
  record.m_fact = fact;
  record.m_fact.m_healthy = healthy;
  record.m_last_announced = inserted ? announced_at : std::max(record.m_last_announced, announced_at);
  record.m_refusals = 0;
  record.m_withdrawn = false;
}

void TargetRegistry::Merge(const TargetFacts& facts, TimePoint now) {
  for (const TargetFact& fact : facts.m_facts) MergeFact(fact, now);
  for (const TargetRefresh& refresh : facts.m_refreshes) MergeRefresh(refresh, now);
  for (const TargetWithdrawal& withdrawal : facts.m_withdrawals) MergeWithdrawal(withdrawal, now);
}

void TargetRegistry::MergeFact(const TargetFact& fact, TimePoint now) {
  if (fact.m_info.m_data_centre != m_data_centre) return;
  const auto known = m_records.find(fact.m_info.m_id);
  if (IsReplayed(fact)) {
    const bool same =
        known != m_records.end() && known->second.m_fact.m_info.m_incarnation == fact.m_info.m_incarnation;
    if (same && fact.m_healthy) known->second.m_fact.m_healthy = true;
    return;
  }
  if (IsQuarantined(fact.m_info, now)) return;
  const TimePoint announced_at = now - std::chrono::milliseconds(fact.m_age_ms);
  if (now - announced_at < kTargetWithdrawnAfter) Store(fact, announced_at);
}

void TargetRegistry::MergeWithdrawal(const TargetWithdrawal& withdrawal, TimePoint now) {
  const auto known = m_records.find(withdrawal.m_id);
  if (known == m_records.end() || known->second.m_withdrawn) return;
  const TargetFact& fact = known->second.m_fact;
  const bool covers_fact =
      std::tie(fact.m_info.m_incarnation, fact.m_sequence) <= std::tie(withdrawal.m_incarnation, withdrawal.m_sequence);
  if (covers_fact) Withdraw(&known->second, now);
}

bool TargetRegistry::IsReplayed(const TargetFact& fact) const {
  const auto known = m_records.find(fact.m_info.m_id);
  if (known != m_records.end()) return !IsNewer(fact, known->second.m_fact);
  const auto forgotten = m_forgotten.find(fact.m_info.m_id);
  return forgotten != m_forgotten.end() && std::tie(fact.m_info.m_incarnation, fact.m_sequence) <=
                                               std::tie(forgotten->second.first, forgotten->second.second);
}

void TargetRegistry::Remember(const TargetRecord& record) {
  if (m_forgotten.size() >= kMaxRememberedTargets) m_forgotten.erase(m_forgotten.begin());
  m_forgotten[record.m_fact.m_info.m_id] = {record.m_fact.m_info.m_incarnation, record.m_fact.m_sequence};
}

void TargetRegistry::MergeRefresh(const TargetRefresh& refresh, TimePoint now) {
  const auto known = m_records.find(refresh.m_id);
  if (known == m_records.end() || known->second.m_withdrawn) return;
  TargetFact& fact = known->second.m_fact;
  if (fact.m_info.m_incarnation != refresh.m_incarnation || refresh.m_sequence <= fact.m_sequence) return;
  fact.m_sequence = refresh.m_sequence;
  fact.m_load.m_requests_in_progress = refresh.m_requests_in_progress;
  const TimePoint announced_at = now - std::chrono::milliseconds(refresh.m_age_ms);
  known->second.m_last_announced = std::max(known->second.m_last_announced, announced_at);
  known->second.m_refusals = 0;
}

TargetFacts TargetRegistry::TakeFacts(HostId sender, TimePoint now) {
  TargetFacts facts;
  facts.m_sender = sender;
  for (const auto& [id, is_full] : m_unsent_facts) {
    const auto known = m_records.find(id);
    if (known == m_records.end()) continue;
    TargetFact fact = known->second.m_fact;
    const std::uint64_t age_ms = MillisecondsSince(known->second.m_last_announced, now);
    fact.m_age_ms = Saturate<std::uint32_t>(age_ms);
    if (is_full) {
      facts.m_facts.push_back(fact);
      continue;
    }
    facts.m_refreshes.push_back({id, fact.m_info.m_incarnation, Saturate<std::uint32_t>(fact.m_sequence),
                                 Saturate<std::uint16_t>(age_ms),
                                 Saturate<std::uint16_t>(fact.m_load.m_requests_in_progress)});
  }
  m_unsent_facts.clear();
  facts.m_withdrawals = std::exchange(m_unsent_withdrawals, {});
  return facts;
}

void TargetRegistry::OnHealthCheck(TargetId target, Incarnation incarnation, bool answered) {
  const auto known = m_records.find(target);
  if (known == m_records.end() || known->second.m_fact.m_info.m_incarnation != incarnation) return;
  if (!answered || known->second.m_fact.m_healthy) return;
  known->second.m_fact.m_healthy = true;
  m_unsent_facts[target] = true;
}

void TargetRegistry::OnConnection(TargetId target, bool refused, TimePoint now) {
  const auto known = m_records.find(target);
  if (known == m_records.end() || known->second.m_withdrawn) return;
  TargetRecord& record = known->second;
  record.m_refusals = refused ? record.m_refusals + 1 : 0;
  if (record.m_refusals < kRefusalsToWithdraw) return;
  Withdraw(&record, now);
  m_unsent_withdrawals.push_back({target, record.m_fact.m_info.m_incarnation, record.m_fact.m_sequence});
}

void TargetRegistry::Withdraw(TargetRecord* record, TimePoint now) {
  record->m_withdrawn = true;
  record->m_withdrawn_at = now;
}

void TargetRegistry::Tick(TimePoint now) {
  for (auto& [id, record] : m_records) {
    const bool stopped = record.m_fact.m_info.m_state == TargetState::kStopped;
    if (!record.m_withdrawn && (stopped || now - record.m_last_announced >= kTargetWithdrawnAfter))
      Withdraw(&record, now);
  }
  std::erase_if(m_records, [this, now](const auto& item) {
    const TargetRecord& record = item.second;
    const bool forget = record.m_withdrawn && now - record.m_withdrawn_at >= kAddressQuarantine;
    if (forget) Remember(record);
    return forget;
  });
}

const TargetRecord* TargetRegistry::Find(TargetId target) const {
  const auto known = m_records.find(target);
  return known == m_records.end() || known->second.m_withdrawn ? nullptr : &known->second;
}

const TargetRecord* TargetRegistry::FindAny(TargetId target) const {
  const auto known = m_records.find(target);
  return known == m_records.end() ? nullptr : &known->second;
}

void TargetRegistry::ResendAll() {
  for (const auto& [id, record] : m_records) {
    if (!record.m_withdrawn) m_unsent_facts[id] = true;
  }
}

TargetState TargetRegistry::StateOf(const TargetRecord& record, TimePoint now) const {
  if (record.m_withdrawn) return TargetState::kStopped;
  if (now - record.m_last_announced >= kTargetSuspectAfter) return TargetState::kSuspect;
  return record.m_fact.m_info.m_state;
}

std::vector<const TargetRecord*> TargetRegistry::Live() const {
  std::vector<const TargetRecord*> live;
  for (const auto& [id, record] : m_records) {
    if (!record.m_withdrawn) live.push_back(&record);
  }
  return live;
}

bool TargetRegistry::IsQuarantined(const TargetInfo& info, TimePoint now) const {
  return std::any_of(m_records.begin(), m_records.end(), [&](const auto& item) {
    const TargetRecord& record = item.second;
    const TargetInfo& other = record.m_fact.m_info;
    if (other.m_service == info.m_service || !SharesEndpoint(other, info)) return false;
    return !record.m_withdrawn || now - record.m_withdrawn_at < kAddressQuarantine;
  });
}

}  // namespace fighatch
