#include "daemon/settings_watch.h"

#include <sys/stat.h>

#include <utility>

namespace fighatch::daemon {

SettingsWatch::SettingsWatch(std::string path) : m_path(std::move(path)) { (void)Read(&m_known); }

bool SettingsWatch::TakeChange() {
  FileState now;
  if (!Read(&now) || now == m_known) return false;
  m_known = now;
  return true;
}

bool SettingsWatch::Read(FileState* out) const {
  struct stat status {};
  if (stat(m_path.c_str(), &status) != 0) return false;
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  out->m_modified_ns = status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
  out->m_bytes = status.st_size;
  out->m_inode = status.st_ino;
  return true;
}

}  // namespace fighatch::daemon
