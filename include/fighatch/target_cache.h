#ifndef FIGHATCH_TARGET_CACHE_H_
#define FIGHATCH_TARGET_CACHE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/file_store.h"

namespace fighatch {

/// Keeps the targets of a control host in a file, so that balancers get all of them as soon as the host is back, and
/// not only those that have announced themselves again. Nothing depends on it being there or being new.
class TargetCache {
 public:
  /// Records of an older file are not used: the targets may have gone meanwhile.
  static constexpr std::chrono::milliseconds kMaxAge{15000};

  /// `files` must outlive the cache.
  explicit TargetCache(FileStore* files) : m_files(files) {}

  /// The stored records; empty if there is no file, or one that is too old by the time of day. Errors: `kStorageIo`,
  /// `kStorageCorrupt`.
  [[nodiscard]] Result<std::vector<AnnouncedTarget>> Load(std::chrono::milliseconds unix_time) const;

  /// Replaces the stored records. Errors: those of `FileStore::Replace`.
  [[nodiscard]] Status Save(std::chrono::milliseconds unix_time, const std::vector<AnnouncedTarget>& records);

 private:
  FileStore* m_files;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_CACHE_H_
