#ifndef FIGHATCH_RAFT_LOG_H_
#define FIGHATCH_RAFT_LOG_H_

#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/raft_message.h"

namespace fighatch {

/// The entries of the replicated log that are in memory, after a base entry of which only index and term are known.
class RaftLog {
 public:
  /// Starts after the base entry.
  void Reset(LogIndex base_index, Term base_term);

  [[nodiscard]] LogIndex BaseIndex() const noexcept { return m_base_index; }
  [[nodiscard]] LogIndex LastIndex() const noexcept { return m_base_index + m_entries.size(); }
  [[nodiscard]] Term LastTerm() const noexcept { return m_entries.empty() ? m_base_term : m_entries.back().m_term; }

  /// The term of an entry or of the base; empty for an index that is not known.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const noexcept;

  /// An entry above the base.
  [[nodiscard]] const LogEntry& At(LogIndex index) const { return m_entries[index - m_base_index - 1]; }

  /// Adds the entry after the last one.
  void Append(LogEntry entry) { m_entries.push_back(std::move(entry)); }

  /// Drops the entry and all after it.
  void TruncateFrom(LogIndex index);

  /// Makes the entry the base and drops all up to it.
  void DiscardUpTo(LogIndex index);

  /// Copies entries from an index on until their payloads exceed the limit; at least one if there is one.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex from, std::size_t limit_bytes) const;

 private:
  LogIndex m_base_index = 0;
  Term m_base_term = 0;
  std::deque<LogEntry> m_entries;
};

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_LOG_H_
