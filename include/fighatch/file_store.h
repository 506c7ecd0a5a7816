#ifndef FIGHATCH_FILE_STORE_H_
#define FIGHATCH_FILE_STORE_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// Interface to a data folder whose files are read and replaced as a whole. `io::SyncedFileStore` implements it on
/// disk.
class FileStore {
 public:
  FileStore() = default;
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;
  virtual ~FileStore() = default;

  /// Reads a file; a missing file reads as empty. Errors: `kStorageIo`.
  [[nodiscard]] virtual Result<std::vector<std::byte>> Read(const std::string& name) = 0;

  /// Replaces a file atomically: after a crash it holds either the old or the new bytes, and certainly the new bytes if
  /// the call had returned success. Errors: `kStorageIo`, `kStorageSyncFailed`.
  [[nodiscard]] virtual Status Replace(const std::string& name, std::span<const std::byte> bytes) = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_FILE_STORE_H_
