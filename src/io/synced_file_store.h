#ifndef FIGHATCH_IO_SYNCED_FILE_STORE_H_
#define FIGHATCH_IO_SYNCED_FILE_STORE_H_

#include <string>

#include "fighatch/file_store.h"

namespace fighatch::io {

/// A `FileStore` in one folder on disk. A replacement is atomic and durable: the new content is written to a temporary
/// file in the same folder and synced, the temporary file is renamed over the old one, and the folder is synced.
class SyncedFileStore : public FileStore {
 public:
  explicit SyncedFileStore(std::string folder) : m_folder(std::move(folder)) {}

  [[nodiscard]] Result<std::vector<std::byte>> Read(const std::string& name) override;
  [[nodiscard]] Status Replace(const std::string& name, std::span<const std::byte> bytes) override;

 private:
  [[nodiscard]] std::string PathOf(const std::string& name) const { return m_folder + "/" + name; }
  [[nodiscard]] Status SyncFolder() const;

  std::string m_folder;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_SYNCED_FILE_STORE_H_
