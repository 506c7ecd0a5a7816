#ifndef FIGHATCH_DAEMON_SETTINGS_WATCH_H_
#define FIGHATCH_DAEMON_SETTINGS_WATCH_H_

#include <cstdint>
#include <string>

namespace fighatch::daemon {

/// Notices that a settings file was written or replaced, for files that change without a signal.
class SettingsWatch {
 public:
  /// Takes the file as it is now as known.
  explicit SettingsWatch(std::string path);

  /// True if the file has changed since the last call, or since the start. A missing file is no change.
  [[nodiscard]] bool PollChange();

 private:
  // What tells two states of a file apart without reading it.
  struct FileState {
    std::int64_t m_modified_ns = 0;
    std::int64_t m_bytes = 0;
    std::uint64_t m_inode = 0;
    friend bool operator==(const FileState&, const FileState&) = default;
  };

  // False if the file cannot be examined.
  [[nodiscard]] bool ReadFileState(FileState* out) const;

  std::string m_path;
  FileState m_last_state;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_SETTINGS_WATCH_H_
