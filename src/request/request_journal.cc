#include "fighatch/request_journal.h"

#include "request/limits.h"

namespace fighatch {
namespace {

/// The time point rounded up to a whole second, so that a bucket never expires early.
std::int64_t ExpirySecond(TimePoint expires) noexcept {
  return std::chrono::ceil<std::chrono::seconds>(expires.time_since_epoch()).count();
}

std::size_t BytesOf(const HttpResponse& response) noexcept {
  std::size_t bytes = response.m_body.size();
  for (const HttpHeader& header : response.m_headers) bytes += header.m_name.size() + header.m_value.size();
  return bytes;
}

JournalState FinalStateOf(Outcome outcome) noexcept {
  if (outcome == Outcome::kAnswered) return JournalState::kAnswered;
  return outcome == Outcome::kNotRun ? JournalState::kRefused : JournalState::kUnknown;
}

}  // namespace

RequestAnswer AnswerOf(const JournalEntry& entry) {
  if (entry.m_state == JournalState::kAnswered) {
    return {Outcome::kAnswered, entry.m_code, entry.m_response ? *entry.m_response : HttpResponse()};
  }
  return entry.m_state == JournalState::kRefused ? MakeErrorAnswer(entry.m_code) : MakeUnknownAnswer(entry.m_code);
}

JournalEntry* RequestJournal::Find(const RequestId& id) noexcept {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

JournalEntry* RequestJournal::Insert(const RequestId& id, std::uint64_t fingerprint, TimePoint expires) {
  if (m_entries.size() >= m_limits.m_entries) return nullptr;
  const auto [place, added] = m_entries.try_emplace(id);
  if (!added) return nullptr;
  place->second.m_fingerprint = fingerprint;
  place->second.m_expires = expires;
  m_expiry[ExpirySecond(expires)].push_back(id);
  ++m_non_final;
  return &place->second;
}

bool RequestJournal::HasRoomForResponse() const noexcept {
  return m_response_bytes + (m_non_final + 1) * kMaxDatagramBytes <= m_limits.m_response_bytes;
}

void RequestJournal::Finish(JournalEntry* entry, const RequestAnswer& answer) {
  if (IsFinal(entry->m_state)) return;
  entry->m_state = FinalStateOf(answer.m_outcome);
  entry->m_code = answer.m_code;
  --m_non_final;
  if (entry->m_state != JournalState::kAnswered) return;
  entry->m_response = std::make_unique<HttpResponse>(answer.m_response);
  m_response_bytes += BytesOf(answer.m_response);
}

void RequestJournal::Expire(TimePoint now) {
  const std::int64_t now_s = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
  while (!m_expiry.empty() && m_expiry.begin()->first <= now_s) {
    for (const RequestId& id : m_expiry.begin()->second) {
      const auto found = m_entries.find(id);
      if (found->second.m_response) m_response_bytes -= BytesOf(*found->second.m_response);
      if (!IsFinal(found->second.m_state)) --m_non_final;
      m_entries.erase(found);
    }
    m_expiry.erase(m_expiry.begin());
  }
}

std::optional<TimePoint> RequestJournal::NextExpiry() const noexcept {
  if (m_expiry.empty()) return std::nullopt;
  return TimePoint(std::chrono::seconds(m_expiry.begin()->first));
}

JournalRecord RequestJournal::ToRecord(const RequestId& id, const JournalEntry& entry, TimePoint now) {
  JournalRecord record;
  record.m_id = id;
  record.m_state = IsFinal(entry.m_state) ? entry.m_state : JournalState::kDispatched;
  record.m_fingerprint = entry.m_fingerprint;
  record.m_remaining_ns = (entry.m_expires - now).count();
  if (IsFinal(entry.m_state)) record.m_answer = AnswerOf(entry);
  return record;
}

std::vector<JournalRecord> RequestJournal::Export(HostId issuer, Incarnation incarnation, TimePoint now) const {
  std::vector<JournalRecord> records;
  for (const auto& [id, entry] : m_entries) {
    if (id.m_issuer == issuer && id.m_incarnation == incarnation) records.push_back(ToRecord(id, entry, now));
  }
  return records;
}

bool RequestJournal::Import(const JournalRecord& record, TimePoint now) {
  JournalEntry* entry = Find(record.m_id);
  if (entry == nullptr) {
    entry = Insert(record.m_id, record.m_fingerprint, now + Duration(record.m_remaining_ns));
    if (entry == nullptr) return false;
    entry->m_state = JournalState::kDispatched;
  }
  if (IsFinal(record.m_state)) Finish(entry, record.m_answer);
  return true;
}

std::vector<RequestId> RequestJournal::NonFinalIds(HostId issuer, Incarnation incarnation) const {
  std::vector<RequestId> ids;
  for (const auto& [id, entry] : m_entries) {
    if (id.m_issuer == issuer && id.m_incarnation == incarnation && !IsFinal(entry.m_state)) ids.push_back(id);
  }
  return ids;
}

}  // namespace fighatch
