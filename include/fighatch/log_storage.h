#ifndef FIGHATCH_LOG_STORAGE_H_
#define FIGHATCH_LOG_STORAGE_H_

#include <optional>
#include <span>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"

namespace fighatch {

/// The term that a host has seen and the vote that it gave in it.
struct RaftVote {
  Term m_term = 0;
  /// Unset (disk 0) if no vote was given.
  RaftPeer m_voted_for;

  friend bool operator==(const RaftVote&, const RaftVote&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_term, m_voted_for);
  }
};

/// Who a data folder belongs to.
struct DiskIdentity {
  RaftPeer m_self;
  /// The members that the group was founded with; empty on a disk that joined later.
  RaftConfiguration m_founding_configuration;

  friend bool operator==(const DiskIdentity&, const DiskIdentity&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_self, m_founding_configuration);
  }
};

/// All that was stored.
struct StoredLog {
  DiskIdentity m_identity;
  RaftVote m_vote;
  std::optional<RaftSnapshot> m_snapshot;
  /// Entries in ascending order without gaps; they may begin before the snapshot's index.
  std::vector<LogEntry> m_entries;
  /// Entries up to this index are known to be committed; 0 if nothing is known.
  LogIndex m_known_commit_index = 0;
};

/// Keeps the log, the vote and the snapshot of one host. A call returns success only after the data is synced.
/// After an error of a write all further calls fail: the process must stop.
///
/// Errors: `kStorageIo`, `kStorageSyncFailed`.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  [[nodiscard]] virtual Status SaveVote(const RaftVote& vote) = 0;

  /// Appends entries without gaps. An entry replaces all entries stored at its index and above.
  [[nodiscard]] virtual Status Append(std::span<const LogEntry> entries) = 0;

  /// Stores a snapshot of what was applied here; entries below `keep_from` may be dropped.
  [[nodiscard]] virtual Status SaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) = 0;

  /// Stores a snapshot that replaces the whole log.
  [[nodiscard]] virtual Status InstallSnapshot(const RaftSnapshot& snapshot) = 0;
};

struct RaftOutput;

/// Stores what a step of a `RaftNode` asks for, in the order that keeps every crash between two calls harmless.
/// Messages may be sent and entries applied only after success.
[[nodiscard]] Status Persist(const RaftOutput& output, LogStorage* storage);

}  // namespace fighatch

#endif  // FIGHATCH_LOG_STORAGE_H_
