#include "io/posix_directory.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace fighatch::io {
namespace {

constexpr mode_t kFileMode = 0600;

bool IsOutOfSpace(int error) { return error == ENOSPC || error == EDQUOT; }

Error WriteError(const std::string& what) {
  const ErrorCode code = IsOutOfSpace(errno) ? ErrorCode::kStorageFull : ErrorCode::kStorageIo;
  return MakeError(code, what + ": " + strerror(errno));
}

Error IoError(const std::string& what, ErrorCode code = ErrorCode::kStorageIo) {
  return MakeError(code, what + ": " + strerror(errno));
}

Status ToStatus(int result, const std::string& what, ErrorCode code = ErrorCode::kStorageIo) {
  return result == 0 ? OkStatus() : Status(IoError(what, code));
}

}  // namespace

Result<std::unique_ptr<PosixDirectory>> PosixDirectory::Open(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) return MakeError(ErrorCode::kStorageIo, path + ": " + error.message());
  std::unique_ptr<PosixDirectory> directory(new PosixDirectory(path));
  directory->m_folder = FileDescriptor(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!directory->m_folder.IsOpen()) return IoError(path);
  if (flock(directory->m_folder.Get(), LOCK_EX | LOCK_NB) != 0) return IoError(path + " is in use");
  return directory;
}

Result<std::vector<std::string>> PosixDirectory::List() {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(m_path, error)) {
    if (entry.is_regular_file()) names.push_back(entry.path().filename().string());
  }
  if (error) return MakeError(ErrorCode::kStorageIo, m_path + ": " + error.message());
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::string> PosixDirectory::Read(const std::string& name) {
  const FileDescriptor file(openat(m_folder.Get(), name.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.IsOpen()) return IoError("open " + name);
  std::string content;
  std::array<char, 65536> chunk;
  for (;;) {
    const ssize_t count = read(file.Get(), chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return IoError("read " + name);
    if (count == 0) return content;
    content.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

Status PosixDirectory::OpenForAppend(const std::string& name) {
  if (m_append_file.IsOpen() && m_append_file_name == name) return OkStatus();
  m_append_file = FileDescriptor(
      openat(m_folder.Get(), name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kFileMode));
  m_append_file_name = name;
  return m_append_file.IsOpen() ? OkStatus() : Status(WriteError("open " + name));
}

// Closes the append file if it has this name, since a rename or removal is about to make the descriptor stale.
void PosixDirectory::CloseIfOpen(const std::string& name) {
  if (m_append_file_name == name) m_append_file.Close();
}

Status PosixDirectory::Append(const std::string& name, std::string_view bytes) {
  Status status = OpenForAppend(name);
  while (IsOk(status) && !bytes.empty()) {
    const ssize_t count = write(m_append_file.Get(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return WriteError("write " + name);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return status;
}

Status PosixDirectory::Truncate(const std::string& name, std::size_t size) {
  Status status = OpenForAppend(name);
  if (!IsOk(status)) return status;
  return ToStatus(ftruncate(m_append_file.Get(), static_cast<off_t>(size)), "truncate " + name);
}

Status PosixDirectory::SyncFile(const std::string& name) {
  Status status = OpenForAppend(name);
  if (!IsOk(status)) return status;
  return ToStatus(fdatasync(m_append_file.Get()), "sync " + name, ErrorCode::kStorageSyncFailed);
}

Status PosixDirectory::SyncFolder() {
  return ToStatus(fsync(m_folder.Get()), "sync " + m_path, ErrorCode::kStorageSyncFailed);
}

Status PosixDirectory::Rename(const std::string& from, const std::string& to) {
  CloseIfOpen(from);
  CloseIfOpen(to);
  return ToStatus(renameat(m_folder.Get(), from.c_str(), m_folder.Get(), to.c_str()), "rename " + from);
}

Status PosixDirectory::Remove(const std::string& name) {
  CloseIfOpen(name);
  return ToStatus(unlinkat(m_folder.Get(), name.c_str(), 0), "remove " + name);
}

}  // namespace fighatch::io
