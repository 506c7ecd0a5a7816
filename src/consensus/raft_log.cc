#include "fighatch/raft_log.h"

#include <algorithm>

namespace fighatch {
namespace {

// Estimated size of an encoded entry without its payload.
constexpr std::size_t kEntryOverheadBytes = 32;

}  // namespace

void RaftLog::Reset(LogIndex base_index, Term base_term) {
  m_base_index = base_index;
  m_base_term = base_term;
  m_entries.clear();
}

std::optional<Term> RaftLog::TermAt(LogIndex index) const noexcept {
  if (index == m_base_index) return m_base_term;
  if (index < m_base_index || index > LastIndex()) return std::nullopt;
  return m_entries[index - m_base_index - 1].m_term;
}

void RaftLog::TruncateFrom(LogIndex index) {
  while (LastIndex() >= index && !m_entries.empty()) m_entries.pop_back();
}

void RaftLog::DiscardUpTo(LogIndex index) {
  while (m_base_index < index && !m_entries.empty()) {
    m_base_index = m_entries.front().m_index;
    m_base_term = m_entries.front().m_term;
    m_entries.pop_front();
  }
}

std::size_t RaftLog::PayloadBytesAfter(LogIndex index) const {
  std::size_t bytes = 0;
  for (LogIndex at = std::max(index, m_base_index) + 1; at <= LastIndex(); ++at) bytes += At(at).m_payload.size();
  return bytes;
}

LogIndex RaftLog::BaseFor(LogIndex index, std::uint64_t max_entries, std::size_t max_bytes) const {
  std::size_t bytes = 0;
  LogIndex base = index;
  while (base > m_base_index && index - base < max_entries) {
    bytes += At(base).m_payload.size() + kEntryOverheadBytes;
    if (bytes > max_bytes) break;
    --base;
  }
  return base;
}

std::vector<LogEntry> RaftLog::Slice(LogIndex from, std::size_t limit_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= LastIndex(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.m_payload.size() + kEntryOverheadBytes;
    if (bytes > limit_bytes && !slice.empty()) break;
    slice.push_back(entry);
  }
  return slice;
}

}  // namespace fighatch
