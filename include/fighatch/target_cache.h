#ifndef FIGHATCH_TARGET_CACHE_H_
#define FIGHATCH_TARGET_CACHE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/file_store.h"

namespace fighatch {

/// Stores a control host's target records in a file, so that after a restart balancers get all targets at once, and not
/// only those that have announced themselves again. The file is optional: correctness does not depend on its presence
/// or age.
class TargetCache {
 public:
  /// Records of an older file are not used, since the targets may have ended meanwhile.
  static constexpr std::chrono::milliseconds kMaxAge{15000};

  /// `files` must outlive the cache.
  explicit TargetCache(FileStore* files) : m_files(files) {}

  /// The stored records; empty if there is no file, or if its time stamp differs from `unix_time` by more than
  /// `kMaxAge`. Errors: `kStorageIo`, `kStorageCorrupt`.
  [[nodiscard]] Result<std::vector<AnnouncedTarget>> Load(std::chrono::milliseconds unix_time) const;

  /// Replaces the stored records. Errors: those of `FileStore::Replace`.
  [[nodiscard]] Status Save(std::chrono::milliseconds unix_time, const std::vector<AnnouncedTarget>& records);

 private:
  FileStore* m_files;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_CACHE_H_
