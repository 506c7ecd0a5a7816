#include "io/synced_file_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include "io/file_descriptor.h"

namespace fighatch::io {
namespace {

constexpr mode_t kFileMode = 0640;

Error FileError(ErrorCode code, const char* call, const std::string& path) {
  return MakeError(code, std::string(call) + " " + path + ": " + strerror(errno));
}

Status WriteAll(int fd, std::span<const std::byte> bytes, const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t count = write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return FileError(ErrorCode::kStorageIo, "write", path);
    bytes = bytes.subspan(static_cast<std::size_t>(count));
  }
  return OkStatus();
}

Status WriteSynced(const std::string& path, std::span<const std::byte> bytes) {
  FileDescriptor fd(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!fd.IsOpen()) return FileError(ErrorCode::kStorageIo, "open", path);
  if (Status written = WriteAll(fd.Get(), bytes, path); !IsOk(written)) return written;
  if (fsync(fd.Get()) != 0) return FileError(ErrorCode::kStorageSyncFailed, "fsync", path);
  return OkStatus();
}

}  // namespace

Result<std::vector<std::byte>> SyncedFileStore::Read(const std::string& name) {
  const std::string path = PathOf(name);
  FileDescriptor fd(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  std::vector<std::byte> bytes;
  if (!fd.IsOpen()) {
    if (errno == ENOENT) return bytes;
    return FileError(ErrorCode::kStorageIo, "open", path);
  }
  std::array<std::byte, 16384> block;
  for (;;) {
    const ssize_t count = read(fd.Get(), block.data(), block.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return FileError(ErrorCode::kStorageIo, "read", path);
    if (count == 0) return bytes;
    bytes.insert(bytes.end(), block.begin(), block.begin() + count);
  }
}

Status SyncedFileStore::SyncFolder() const {
  FileDescriptor fd(open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd.IsOpen()) return FileError(ErrorCode::kStorageIo, "open", m_folder);
  if (fsync(fd.Get()) != 0) return FileError(ErrorCode::kStorageSyncFailed, "fsync", m_folder);
  return OkStatus();
}

Status SyncedFileStore::Replace(const std::string& name, std::span<const std::byte> bytes) {
  const std::string path = PathOf(name);
  const std::string temporary_path = path + ".new";
  if (Status written = WriteSynced(temporary_path, bytes); !IsOk(written)) return written;
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0) return FileError(ErrorCode::kStorageIo, "rename", path);
  return SyncFolder();
}

}  // namespace fighatch::io
