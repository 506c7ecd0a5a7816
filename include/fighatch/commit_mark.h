#ifndef FIGHATCH_COMMIT_MARK_H_
#define FIGHATCH_COMMIT_MARK_H_

#include "fighatch/file_store.h"
#include "fighatch/raft_message.h"

namespace fighatch {

/// Keeps in a file up to which index the log of a disk is known to be committed, so that a host that restarts can
/// publish that state before a leader is elected. The mark may lag behind; nothing depends on it being there.
class CommitMark {
 public:
  /// `files` must outlive the mark.
  explicit CommitMark(FileStore* files) : m_files(files) {}

  /// The stored index; 0 if there is none, or if it belongs to another disk. Errors: `kStorageIo`, `kStorageCorrupt`.
  [[nodiscard]] Result<LogIndex> Load(DiskId disk) const;

  /// Stores an index; call it only with one that is committed and whose entries are synced on this disk. Errors: those
  /// of `FileStore::Replace`.
  [[nodiscard]] Status Save(DiskId disk, LogIndex index);

 private:
  FileStore* m_files;
};

}  // namespace fighatch

#endif  // FIGHATCH_COMMIT_MARK_H_
