#include "fighatch/flow_records.h"

#include <algorithm>
#include <bit>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

/// Target 0 marks a free position; target ids are 64-bit hashes, and `Insert` refuses 0.
bool IsFree(const FlowRecord& record) noexcept { return record.m_target.m_value == 0; }

/// The first position to probe for a flow. The low bits of the fingerprint select the hash slot, so all records of a
/// few changing slots share them; multiplication and shift spread such fingerprints over the table.
std::size_t HomePosition(std::uint64_t fingerprint) noexcept {
  return static_cast<std::size_t>((fingerprint * 0x9E3779B97F4A7C15ULL) >> 24U);
}

}  // namespace

FlowRecords::FlowRecords(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1)), m_entries(std::bit_ceil(m_capacity + m_capacity / 4 + 1)) {
  m_mask = m_entries.size() - 1;
}

std::size_t FlowRecords::FindPosition(std::uint64_t fingerprint, ServiceId service) const noexcept {
  std::size_t position = HomePosition(fingerprint) & m_mask;
  while (!IsFree(m_entries[position])) {
    const FlowRecord& record = m_entries[position];
    if (record.m_fingerprint == fingerprint && record.m_service == service) return position;
    position = (position + 1) & m_mask;
  }
  return position;
}

const FlowRecord* FlowRecords::Find(std::uint64_t fingerprint, ServiceId service) const noexcept {
  const FlowRecord& record = m_entries[FindPosition(fingerprint, service)];
  return IsFree(record) ? nullptr : &record;
}

const FlowRecord* FlowRecords::Touch(std::uint64_t fingerprint, ServiceId service, std::uint32_t tick) noexcept {
  FlowRecord& record = m_entries[FindPosition(fingerprint, service)];
  if (IsFree(record)) return nullptr;
  record.m_last_seen = std::max(record.m_last_seen, tick);
  return &record;
}

bool FlowRecords::Insert(const FlowRecord& record) noexcept {
  if (IsFree(record)) return false;
  FlowRecord& entry = m_entries[FindPosition(record.m_fingerprint, record.m_service)];
  if (!IsFree(entry)) {
    entry.m_last_seen = std::max(entry.m_last_seen, record.m_last_seen);
    return true;
  }
  if (m_size >= m_capacity) return false;
  entry = record;
  ++m_size;
  return true;
}

void FlowRecords::Erase(std::uint64_t fingerprint, ServiceId service) noexcept {
  const std::size_t position = FindPosition(fingerprint, service);
  if (!IsFree(m_entries[position])) EraseAt(position);
}

const FlowRecord* FlowRecords::At(std::size_t position) const noexcept {
  return IsFree(m_entries[position]) ? nullptr : &m_entries[position];
}

void FlowRecords::EraseAt(std::size_t position) noexcept {
  // Moves later records of the probe sequence back into the gap, so that no tombstones are needed.
  std::size_t gap = position;
  for (std::size_t next = (gap + 1) & m_mask; !IsFree(m_entries[next]); next = (next + 1) & m_mask) {
    const std::size_t distance = (next - HomePosition(m_entries[next].m_fingerprint)) & m_mask;
    if (distance < ((next - gap) & m_mask)) continue;
    m_entries[gap] = m_entries[next];
    gap = next;
  }
  m_entries[gap] = FlowRecord{};
  --m_size;
}

}  // namespace fighatch
