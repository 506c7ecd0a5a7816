#include "control/control_storage.h"

#include <glog/logging.h>
#include <sodium.h>

namespace fighatch::daemon {
namespace {

Status FormatAsLearner(StorageDirectory* directory, const config::ControlSettings& settings) {
  if (settings.m_control_hosts.size() == 1) {
    return MakeError(ErrorCode::kStorageWrongIdentity,
                     settings.m_data_folder + " is empty; create it once with --found before the first start");
  }
  const RaftPeer self{settings.m_host, GenerateDiskId()};
  LOG(WARNING) << "event=new_disk host=" << self.m_host.m_value << " disk=" << self.m_disk.m_value
               << " next=\"joins as a learner\"";
  return FileLogStorage::Format(directory, {self, {}});
}

// Formats the folder if it is empty. A folder counts as empty, too, after `SetAside` has renamed its damaged files.
Status FormatIfEmpty(StorageDirectory* directory, const config::ControlSettings& settings) {
  const Result<bool> formatted = FileLogStorage::IsFormatted(directory);
  if (!IsOk(formatted)) return ErrorOf(formatted);
  return ValueOf(formatted) ? OkStatus() : FormatAsLearner(directory, settings);
}

Result<std::unique_ptr<FileLogStorage>> OpenOrFormat(StorageDirectory* directory,
                                                     const config::ControlSettings& settings) {
  const Status prepared = FormatIfEmpty(directory, settings);
  if (!IsOk(prepared)) return ErrorOf(prepared);
  return FileLogStorage::Open(directory, settings.m_host);
}

}  // namespace

DiskId GenerateDiskId() {
  DiskId disk;
  while (disk.m_value <= kFoundingDiskId.m_value) randombytes_buf(&disk.m_value, sizeof(disk.m_value));
  return disk;
}

Status BootstrapControlStorage(const config::ControlSettings& settings) {
  Result<std::unique_ptr<io::PosixDirectory>> directory = io::PosixDirectory::Open(settings.m_data_folder);
  if (!IsOk(directory)) return ErrorOf(directory);
  const Result<bool> formatted = FileLogStorage::IsFormatted(ValueOf(directory).get());
  if (!IsOk(formatted)) return ErrorOf(formatted);
  if (ValueOf(formatted)) return MakeError(ErrorCode::kStorageWrongIdentity, settings.m_data_folder + " is not empty");
  DiskIdentity identity{{settings.m_host, kFoundingDiskId}, {}};
  for (const config::ControlPeer& peer : settings.m_control_hosts) {
    identity.m_founding_configuration.m_members.push_back({{peer.m_host, kFoundingDiskId}, true});
  }
  return FileLogStorage::Format(ValueOf(directory).get(), identity);
}

Result<ControlStorage> OpenControlStorage(const config::ControlSettings& settings) {
  Result<std::unique_ptr<io::PosixDirectory>> directory = io::PosixDirectory::Open(settings.m_data_folder);
  if (!IsOk(directory)) return ErrorOf(directory);
  ControlStorage opened{std::move(ValueOf(directory)), nullptr};
  Result<std::unique_ptr<FileLogStorage>> storage = OpenOrFormat(opened.m_directory.get(), settings);
  const bool is_corrupt = !IsOk(storage) && ErrorOf(storage).m_code == ErrorCode::kStorageCorrupt;
  if (is_corrupt && settings.m_control_hosts.size() > 1) {
    LOG(ERROR) << "event=storage_refused " << ToString(ErrorOf(storage)) << " next=\"files are set aside\"";
    const Status set_aside = FileLogStorage::SetAside(opened.m_directory.get());
    if (!IsOk(set_aside)) return ErrorOf(set_aside);
    storage = OpenOrFormat(opened.m_directory.get(), settings);
  }
  if (!IsOk(storage)) return ErrorOf(storage);
  opened.m_storage = std::move(ValueOf(storage));
  if (opened.m_storage->TornBytes() > 0) {
    LOG(WARNING) << "event=torn_tail_cut bytes=" << opened.m_storage->TornBytes();
  }
  return opened;
}

}  // namespace fighatch::daemon
