#ifndef FIGHATCH_LOG_STORAGE_H_
#define FIGHATCH_LOG_STORAGE_H_

#include <optional>
#include <span>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"

namespace fighatch {

/// The persistent election state of a host: the latest term that it has seen and its vote in that term.
struct RaftVote {
  Term m_term = 0;
  /// The candidate voted for; unset (disk 0) if no vote was given in this term.
  RaftPeer m_voted_for;

  friend bool operator==(const RaftVote&, const RaftVote&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_term, m_voted_for);
  }
};

/// The owner of a data folder, and the group that it was created for.
struct DiskIdentity {
  RaftPeer m_self;
  /// The initial members of the group; empty on a disk that joined later.
  RaftConfiguration m_founding_configuration;

  friend bool operator==(const DiskIdentity&, const DiskIdentity&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_self, m_founding_configuration);
  }
};

/// The persistent state of a host, as read at start-up.
struct StoredLog {
  DiskIdentity m_identity;
  RaftVote m_vote;
  std::optional<RaftSnapshot> m_snapshot;
  /// Entries in ascending order without gaps; the first one may lie at or before the snapshot's index.
  std::vector<LogEntry> m_entries;
  /// Entries up to this index are known to be committed (see `CommitMark`); 0 if nothing is known.
  LogIndex m_known_commit_index = 0;
};

/// Persistent storage of the Raft log, vote and snapshot of one host. A call returns success only after the data is
/// synced. After a failed write all further calls fail, and the process must stop. The exception is `kStorageFull`: the
/// write was undone, and the call may be repeated.
///
/// Errors: `kStorageIo`, `kStorageSyncFailed`, `kStorageFull`.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  [[nodiscard]] virtual Status SaveVote(const RaftVote& vote) = 0;

  /// Appends entries with consecutive indexes. The first entry replaces all stored entries from its index on. Errors:
  /// also `kStorageEntryTooLarge` for a payload above `kMaxEntryPayloadBytes`, before anything is written; the storage
  /// stays usable.
  [[nodiscard]] virtual Status Append(std::span<const LogEntry> entries) = 0;

  /// Stores a snapshot of the locally applied state; entries below `keep_from` may be deleted.
  [[nodiscard]] virtual Status SaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) = 0;

  /// Stores a snapshot received from the leader, which replaces the whole log.
  [[nodiscard]] virtual Status InstallSnapshot(const RaftSnapshot& snapshot) = 0;
};

struct RaftOutput;

/// Writes the vote, snapshot and entries of a `RaftOutput` to storage, in an order in which a crash between any two
/// writes leaves a consistent state. Messages may be sent and entries applied only after success. Errors: those of
/// `LogStorage`.
[[nodiscard]] Status Persist(const RaftOutput& output, LogStorage* storage);

}  // namespace fighatch

#endif  // FIGHATCH_LOG_STORAGE_H_
