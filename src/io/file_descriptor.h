#ifndef FIGHATCH_IO_FILE_DESCRIPTOR_H_
#define FIGHATCH_IO_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace fighatch::io {

/// Owns a file descriptor and closes it.
class FileDescriptor {
 public:
  FileDescriptor() noexcept = default;
  explicit FileDescriptor(int fd) noexcept : m_fd(fd) {}
  ~FileDescriptor() { Close(); }
  FileDescriptor(FileDescriptor&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Close();
      m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  [[nodiscard]] int Get() const noexcept { return m_fd; }
  [[nodiscard]] bool IsOpen() const noexcept { return m_fd >= 0; }

  /// Closes the descriptor; a second call does nothing.
  void Close() noexcept {
    if (m_fd >= 0) close(m_fd);
    m_fd = -1;
  }

 private:
  int m_fd = -1;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_FILE_DESCRIPTOR_H_
