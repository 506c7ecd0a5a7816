#ifndef FIGHATCH_RAFT_LOG_H_
#define FIGHATCH_RAFT_LOG_H_

#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/raft_message.h"

namespace fighatch {

/// The in-memory tail of the replicated log of a `RaftNode`. Entries up to the base index have been discarded; of the
/// base entry itself only index and term are known.
class RaftLog {
 public:
  /// Discards all entries; the log continues after the given base entry.
  void Reset(LogIndex base_index, Term base_term);

  [[nodiscard]] LogIndex BaseIndex() const noexcept { return m_base_index; }
  [[nodiscard]] LogIndex LastIndex() const noexcept { return m_base_index + m_entries.size(); }
  [[nodiscard]] Term LastTerm() const noexcept { return m_entries.empty() ? m_base_term : m_entries.back().m_term; }

  /// The term of an entry or of the base entry; empty for an index below the base or above the last entry.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const noexcept;

  /// The entry at an index, which must be above the base and at most the last index.
  [[nodiscard]] const LogEntry& At(LogIndex index) const { return m_entries[index - m_base_index - 1]; }

  /// Appends an entry; its index must be `LastIndex() + 1`.
  void Append(LogEntry entry) { m_entries.push_back(std::move(entry)); }

  /// Removes the entry at the index and all entries after it.
  void TruncateFrom(LogIndex index);

  /// Discards all entries up to the index; the last one discarded becomes the base.
  void DiscardUpTo(LogIndex index);

  /// The payload bytes of the entries after an index.
  [[nodiscard]] std::size_t PayloadBytesAfter(LogIndex index) const;

  /// The base that the log gets if, of the entries up to `index`, it keeps as many of the last ones as both limits
  /// allow; bytes are counted as in `Slice`.
  [[nodiscard]] LogIndex BaseFor(LogIndex index, std::uint64_t max_entries, std::size_t max_bytes) const;

  /// Copies consecutive entries from an index on, as many as fit within the limit: their payloads, plus a fixed
  /// overhead for each entry. The first entry is included even if it exceeds the limit.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex from, std::size_t limit_bytes) const;

 private:
  LogIndex m_base_index = 0;
  Term m_base_term = 0;
  std::deque<LogEntry> m_entries;
};

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_LOG_H_
