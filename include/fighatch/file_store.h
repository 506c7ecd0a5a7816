#ifndef FIGHATCH_FILE_STORE_H_
#define FIGHATCH_FILE_STORE_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// Whole files in one data folder. The implementation that writes to disk is `io::SyncedFileStore`.
class FileStore {
 public:
  FileStore() = default;
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;
  virtual ~FileStore() = default;

  /// Reads a file; a missing file is empty. Errors: `kStorageIo`.
  [[nodiscard]] virtual Result<std::vector<std::byte>> Read(const std::string& name) = 0;

  /// Replaces a file as a whole: after a crash it holds either the old or the new bytes, and the new ones once this
  /// returned without error. Errors: `kStorageIo`, `kStorageSyncFailed`.
  [[nodiscard]] virtual Status Replace(const std::string& name, std::span<const std::byte> bytes) = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_FILE_STORE_H_
