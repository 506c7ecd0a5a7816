#ifndef FIGHATCH_IO_POSIX_DIRECTORY_H_
#define FIGHATCH_IO_POSIX_DIRECTORY_H_

#include <memory>
#include <string>

#include "fighatch/storage_directory.h"
#include "io/file_descriptor.h"

namespace fighatch::io {

/// A `StorageDirectory` in the file system, under an exclusive lock (flock) so that no second process uses the folder.
class PosixDirectory : public StorageDirectory {
 public:
  /// Opens and locks the folder, which is created if it does not exist. Errors: `kStorageIo`, also if another process
  /// holds the lock.
  [[nodiscard]] static Result<std::unique_ptr<PosixDirectory>> Open(const std::string& path);

  [[nodiscard]] Result<std::vector<std::string>> List() override;
  [[nodiscard]] Result<std::string> Read(const std::string& name) override;
  [[nodiscard]] Status Append(const std::string& name, std::string_view bytes) override;
  [[nodiscard]] Status Truncate(const std::string& name, std::size_t size) override;
  [[nodiscard]] Status SyncFile(const std::string& name) override;
  [[nodiscard]] Status SyncFolder() override;
  [[nodiscard]] Status Rename(const std::string& from, const std::string& to) override;
  [[nodiscard]] Status Remove(const std::string& name) override;

 private:
  explicit PosixDirectory(std::string path) : m_path(std::move(path)) {}

  // Opens the file for appending, and creates it if it does not exist. Does nothing if it is the open append file.
  [[nodiscard]] Status OpenForAppend(const std::string& name);
  void CloseIfOpen(const std::string& name);

  std::string m_path;
  FileDescriptor m_folder;
  // The file opened last for appending, truncating or syncing; it stays open for the next call.
  FileDescriptor m_append_file;
  std::string m_append_file_name;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_POSIX_DIRECTORY_H_
