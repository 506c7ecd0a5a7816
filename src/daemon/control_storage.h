#ifndef FIGHATCH_DAEMON_CONTROL_STORAGE_H_
#define FIGHATCH_DAEMON_CONTROL_STORAGE_H_

#include <memory>

#include "config/control_settings.h"
#include "fighatch/file_log_storage.h"
#include "io/posix_directory.h"

namespace fighatch::daemon {

/// The data folder of a control host and the storage in it.
struct ControlStorage {
  std::unique_ptr<io::PosixDirectory> m_directory;
  std::unique_ptr<FileLogStorage> m_storage;
};

/// A new identity for an empty disk; never that of a founding member.
[[nodiscard]] DiskId GenerateDiskId();

/// Creates the data folder of a founding control host. Errors: `kStorageWrongIdentity` if the folder is not empty;
/// `kStorageIo`, `kStorageSyncFailed`, `kStorageCorrupt`.
[[nodiscard]] Status BootstrapControlStorage(const config::ControlSettings& settings);

/// Opens the data folder. An empty folder gets a new disk id and joins as a learner, and so does a damaged one after
/// its files were set aside, provided that there are other control hosts to join. Errors: those of `FileLogStorage`.
[[nodiscard]] Result<ControlStorage> OpenControlStorage(const config::ControlSettings& settings);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CONTROL_STORAGE_H_
