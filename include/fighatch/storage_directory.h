#ifndef FIGHATCH_STORAGE_DIRECTORY_H_
#define FIGHATCH_STORAGE_DIRECTORY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// Interface to the files of one flat folder, on which durable storage is built. Data that was not synced may be lost
/// or partly written after a crash. Errors: `kStorageIo` from any call; `kStorageSyncFailed` from the two sync calls;
/// `kStorageFull` from `Append`, which may have written a part of the bytes.
class StorageDirectory {
 public:
  virtual ~StorageDirectory() = default;

  /// The names of all files, in ascending order.
  [[nodiscard]] virtual Result<std::vector<std::string>> List() = 0;
  [[nodiscard]] virtual Result<std::string> Read(const std::string& name) = 0;
  /// Appends bytes to a file, which is created if it does not exist.
  [[nodiscard]] virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  [[nodiscard]] virtual Status Truncate(const std::string& name, std::size_t size) = 0;
  /// Makes the content of a file durable.
  [[nodiscard]] virtual Status SyncFile(const std::string& name) = 0;
  /// Makes creations, renames and removals of files durable.
  [[nodiscard]] virtual Status SyncFolder() = 0;
  /// Renames a file; an existing file named `to` is replaced.
  [[nodiscard]] virtual Status Rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual Status Remove(const std::string& name) = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_STORAGE_DIRECTORY_H_
