#include "daemon/settings_watch.h"

#include <sys/stat.h>

#include <utility>

namespace fighatch::daemon {

SettingsWatch::SettingsWatch(std::string path) : m_path(std::move(path)) { (void)ReadFileState(&m_last_state); }

bool SettingsWatch::PollChange() {
  FileState current;
  if (!ReadFileState(&current) || current == m_last_state) return false;
  m_last_state = current;
  return true;
}

bool SettingsWatch::ReadFileState(FileState* out) const {
  struct stat status {};
  if (stat(m_path.c_str(), &status) != 0) return false;
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  out->m_modified_ns = status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
  out->m_bytes = status.st_size;
  out->m_inode = status.st_ino;
  return true;
}

}  // namespace fighatch::daemon
