#ifndef FIGHATCH_DAEMON_SETTINGS_WATCH_H_
#define FIGHATCH_DAEMON_SETTINGS_WATCH_H_

#include <cstdint>
#include <string>

namespace fighatch::daemon {

/// Detects that a settings file was written or replaced, for deployments that send no signal after a change.
class SettingsWatch {
 public:
  /// The state of the file at this time is the one that the first call of `PollChange` compares with.
  explicit SettingsWatch(std::string path);

  /// True if the file has changed since the last call, or since the construction. A missing file counts as unchanged.
  [[nodiscard]] bool PollChange();

 private:
  // Attributes that tell whether a file has changed without reading it.
  struct FileState {
    std::int64_t m_modified_ns = 0;
    std::int64_t m_bytes = 0;
    std::uint64_t m_inode = 0;
    friend bool operator==(const FileState&, const FileState&) = default;
  };

  // False if the file's attributes cannot be read.
  [[nodiscard]] bool ReadFileState(FileState* out) const;

  std::string m_path;
  FileState m_last_state;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_SETTINGS_WATCH_H_
