#include <glog/logging.h>

#include <boost/fiber/operations.hpp>
#include <utility>

#include "daemon/control_storage.h"
#include "daemon/steering_control.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How often changed targets are written to disk, and targets that have not changed.
constexpr milliseconds kSaveInterval{300};
constexpr milliseconds kSaveRefresh{4000};

milliseconds UnixTime() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

DiskIdentity SteeringControl::NewIdentity() const {
  const std::set<HostId> seeds = m_settings.m_discovery.SeedHosts();
  const HostId self = m_settings.m_discovery.Self();
  if (m_settings.m_found_group && seeds.contains(self)) {
    DiskIdentity identity{{self, kFoundingDiskId}, {}};
    for (const HostId seed : seeds)
      identity.m_founding_configuration.m_members.push_back({{seed, kFoundingDiskId}, true});
    return identity;
  }
  return {{self, GenerateDiskId()}, {}};
}

Status SteeringControl::OpenStorage() {
  Result<std::unique_ptr<io::PosixDirectory>> folder = io::PosixDirectory::Open(m_settings.m_data_folder);
  if (!IsOk(folder)) return ErrorOf(folder);
  m_folder = std::move(ValueOf(folder));
  const auto open = [this]() -> Result<std::unique_ptr<FileLogStorage>> {
    const Result<bool> formatted = FileLogStorage::IsFormatted(m_folder.get());
    if (!IsOk(formatted)) return ErrorOf(formatted);
    if (!ValueOf(formatted)) {
      const DiskIdentity identity = NewIdentity();
      LOG(INFO) << "event=new_disk disk=" << identity.m_self.m_disk.m_value
                << " founding_members=" << identity.m_founding_configuration.m_members.size();
      const Status status = FileLogStorage::Format(m_folder.get(), identity);
      if (!IsOk(status)) return ErrorOf(status);
    }
    return FileLogStorage::Open(m_folder.get(), m_settings.m_discovery.Self());
  };
  Result<std::unique_ptr<FileLogStorage>> storage = open();
  if (!IsOk(storage) && ErrorOf(storage).m_code == ErrorCode::kStorageCorrupt) {
    LOG(ERROR) << "event=storage_refused " << ToString(ErrorOf(storage)) << " next=\"files are set aside\"";
    m_settings.m_found_group = false;
    Status aside = FileLogStorage::SetAside(m_folder.get());
    if (!IsOk(aside)) return aside;
    storage = open();
  }
  if (!IsOk(storage)) return ErrorOf(storage);
  m_storage = std::move(ValueOf(storage));
  if (m_storage->TornBytes() > 0) LOG(WARNING) << "event=torn_tail_cut bytes=" << m_storage->TornBytes();
  return OkStatus();
}

StoredLog SteeringControl::LoadLog() {
  StoredLog stored = m_storage->TakeStored();
  const Result<LogIndex> mark = m_commit_mark.Load(stored.m_identity.m_self.m_disk);
  if (IsOk(mark)) {
    stored.m_known_commit_index = ValueOf(mark);
    m_marked_commit = ValueOf(mark);
  } else {
    LOG(WARNING) << "event=commit_mark_refused " << ToString(ErrorOf(mark)) << " next=\"the leader tells\"";
  }
  return stored;
}

void SteeringControl::SaveCommitMark() {
  const LogIndex applied = m_log->AppliedIndex();
  if (applied == m_marked_commit) return;
  const DiskId disk = m_log->Node().Self().m_disk;
  const Status status = m_cache_worker.Run([&] { return m_commit_mark.Save(disk, applied); });
  if (!IsOk(status)) {
    LOG(WARNING) << "event=commit_mark_not_saved index=" << applied << " " << ToString(ErrorOf(status));
    return;
  }
  m_marked_commit = applied;
}

void SteeringControl::LoadTargets() {
  const Result<std::vector<AnnouncedTarget>> records = m_cache.Load(UnixTime());
  if (!IsOk(records)) {
    LOG(WARNING) << "event=target_cache_refused " << ToString(ErrorOf(records))
                 << " next=\"targets announce themselves\"";
    return;
  }
  const TimePoint now = LogReplica::Now();
  for (const AnnouncedTarget& record : ValueOf(records)) (void)m_directory.Announce(now, record);
  LOG(INFO) << "event=target_cache_loaded targets=" << ValueOf(records).size();
}

void SteeringControl::SaveRestartState() {
  auto saved_at = steady_clock::now();
  while (!m_done) {
    boost::this_fiber::sleep_for(kSaveInterval);
    SaveCommitMark();
    const bool is_old = steady_clock::now() - saved_at >= kSaveRefresh;
    const std::uint64_t change = m_directory.LastChange();
    if (change == m_cached_change && !is_old) continue;
    std::vector<AnnouncedTarget> records;
    for (const TargetObservation& heard : m_directory.ChangedSince(LogReplica::Now(), 0, true)) {
      const RecordState state = heard.m_record.m_state;
      if (state == RecordState::kReady || state == RecordState::kDraining) records.push_back(heard.m_record);
    }
    const Status status = m_cache_worker.Run([&] { return m_cache.Save(UnixTime(), records); });
    if (!IsOk(status)) LOG(WARNING) << "event=target_cache_not_saved " << ToString(ErrorOf(status));
    m_cached_change = change;
    saved_at = steady_clock::now();
  }
}

}  // namespace fighatch::daemon
