#ifndef FIGHATCH_CONTROL_CONTROL_STORAGE_H_
#define FIGHATCH_CONTROL_CONTROL_STORAGE_H_

#include <memory>

#include "config/control_settings.h"
#include "fighatch/file_log_storage.h"
#include "io/posix_directory.h"

namespace fighatch::daemon {

/// The opened data folder of a control host and the Raft log storage in it.
struct ControlStorage {
  std::unique_ptr<io::PosixDirectory> m_directory;
  std::unique_ptr<FileLogStorage> m_storage;
};

/// Returns a random identity for an empty disk, which is never that of a founding member (`kFoundingDiskId`).
[[nodiscard]] DiskId GenerateDiskId();

/// Formats the data folder of a founding control host, with all configured control hosts as voters. Errors:
/// `kStorageWrongIdentity` if the folder is not empty; `kStorageIo`, `kStorageSyncFailed`, `kStorageCorrupt`.
[[nodiscard]] Status BootstrapControlStorage(const config::ControlSettings& settings);

/// Opens the data folder. If it is empty, it is formatted with a new disk id and the host joins as a learner. If it is
/// damaged, its files are first renamed by `FileLogStorage::SetAside`. Both need other control hosts to join. Errors:
/// those of `FileLogStorage`.
[[nodiscard]] Result<ControlStorage> OpenControlStorage(const config::ControlSettings& settings);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_CONTROL_STORAGE_H_
