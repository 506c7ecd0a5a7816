#ifndef FIGHATCH_STORAGE_DIRECTORY_H_
#define FIGHATCH_STORAGE_DIRECTORY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// The file calls that durable storage is built on, in one flat folder. What is not synced may be lost or torn at a
/// crash. Errors: `kStorageIo`; `kStorageSyncFailed` from the two sync calls.
class StorageDirectory {
 public:
  virtual ~StorageDirectory() = default;

  /// The names of all files, in ascending order.
  [[nodiscard]] virtual Result<std::vector<std::string>> List() = 0;
  [[nodiscard]] virtual Result<std::string> Read(const std::string& name) = 0;
  /// Adds bytes to the end of a file, which is created if there is none.
  [[nodiscard]] virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  [[nodiscard]] virtual Status Truncate(const std::string& name, std::size_t size) = 0;
  /// Makes the content of a file durable.
  [[nodiscard]] virtual Status SyncFile(const std::string& name) = 0;
  /// Makes creations, renames and removals durable.
  [[nodiscard]] virtual Status SyncFolder() = 0;
  /// Renames a file over another one, if there is one.
  [[nodiscard]] virtual Status Rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual Status Remove(const std::string& name) = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_STORAGE_DIRECTORY_H_
