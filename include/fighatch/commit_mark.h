#ifndef FIGHATCH_COMMIT_MARK_H_
#define FIGHATCH_COMMIT_MARK_H_

#include "fighatch/file_store.h"
#include "fighatch/raft_message.h"

namespace fighatch {

/// Stores the highest log index known to be committed, in a file named `commit`. A control host that restarts uses it
/// to publish the committed state before a leader is elected. The stored index may lag behind the commit index of the
/// log; correctness does not depend on it, and a missing file counts as index 0.
class CommitMark {
 public:
  /// `files` must outlive this object.
  explicit CommitMark(FileStore* files) : m_files(files) {}

  /// Returns the stored index; 0 if there is none, or if it was stored for another disk. Errors: `kStorageIo`,
  /// `kStorageCorrupt`.
  [[nodiscard]] Result<LogIndex> Load(DiskId disk) const;

  /// Stores the index. It must be committed, and all entries up to it must be synced on this disk. Errors: those of
  /// `FileStore::Replace`.
  [[nodiscard]] Status Save(DiskId disk, LogIndex index);

 private:
  FileStore* m_files;
};

}  // namespace fighatch

#endif  // FIGHATCH_COMMIT_MARK_H_
