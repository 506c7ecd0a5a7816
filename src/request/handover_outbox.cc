#include "request/handover_outbox.h"

namespace fighatch {
namespace {

/// Estimated encoded size of a record without the headers and the body of its answer.
constexpr std::size_t kRecordOverheadBytes = 128;

std::size_t EstimateBytes(const JournalRecord& record) {
  std::size_t bytes = kRecordOverheadBytes + record.m_answer.m_response.m_body.size();
  for (const HttpHeader& header : record.m_answer.m_response.m_headers) {
    bytes += header.m_name.size() + header.m_value.size() + 2 * sizeof(std::uint64_t);
  }
  return bytes;
}

std::vector<std::vector<JournalRecord>> Split(std::vector<JournalRecord> records, std::size_t part_bytes) {
  std::vector<std::vector<JournalRecord>> parts(1);
  std::size_t bytes = 0;
  for (JournalRecord& record : records) {
    const std::size_t record_bytes = EstimateBytes(record);
    if (bytes > 0 && bytes + record_bytes > part_bytes) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += record_bytes;
    parts.back().push_back(std::move(record));
  }
  return parts;
}

}  // namespace

void HandoverOutbox::AddInitial(const IssuerIncarnation& issuer, TimePoint issuer_clock,
                                std::vector<JournalRecord> records) {
  std::vector<std::vector<JournalRecord>> parts = Split(std::move(records), m_part_bytes);
  Handover part = m_part_template;
  std::tie(part.m_issuer, part.m_issuer_incarnation) = issuer;
  part.m_issuer_clock_ns = issuer_clock.time_since_epoch().count();
  part.m_initial_parts = static_cast<std::uint32_t>(parts.size());
  m_part_counts[issuer] = {part.m_initial_parts, part.m_initial_parts};
  for (std::vector<JournalRecord>& records_of_part : parts) {
    part.m_records = std::move(records_of_part);
    Add(part);
    ++part.m_part;
  }
}

bool HandoverOutbox::AddUpdate(const IssuerIncarnation& issuer, TimePoint issuer_clock, JournalRecord record) {
  const auto next = m_part_counts.find(issuer);
  if (next == m_part_counts.end()) return false;
  Handover part = m_part_template;
  std::tie(part.m_issuer, part.m_issuer_incarnation) = issuer;
  part.m_issuer_clock_ns = issuer_clock.time_since_epoch().count();
  part.m_part = next->second.first++;
  part.m_initial_parts = next->second.second;
  part.m_records.push_back(std::move(record));
  Add(std::move(part));
  return true;
}

void HandoverOutbox::Add(Handover part) {
  const PartKey key({part.m_issuer, part.m_issuer_incarnation}, part.m_part);
  m_parts.emplace(key, std::move(part));
  m_unsent_facts.push_back(key);
}

void HandoverOutbox::OnAck(const HandoverAck& ack) {
  m_parts.erase(PartKey({ack.m_issuer, ack.m_issuer_incarnation}, ack.m_part));
}

std::vector<Handover> HandoverOutbox::TakeUnsent() {
  std::vector<Handover> parts;
  for (const PartKey& key : m_unsent_facts) parts.push_back(m_parts.at(key));
  m_unsent_facts.clear();
  return parts;
}

std::vector<Handover> HandoverOutbox::Unconfirmed() const {
  std::vector<Handover> parts;
  for (const auto& [key, part] : m_parts) parts.push_back(part);
  return parts;
}

}  // namespace fighatch
