#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "control/control_storage.h"
#include "control/steering_control.h"
#include "daemon/clock.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Intervals at which targets are written to disk: after a change, and without one, since the file expires by its age
// (`TargetCache::kMaxAge`).
constexpr milliseconds kSaveInterval{100};
constexpr milliseconds kUnchangedSaveInterval{4000};

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
  if (!m_data_directory) {
    Result<std::unique_ptr<io::PosixDirectory>> data_directory = io::PosixDirectory::Open(m_settings.m_data_folder);
    if (!IsOk(data_directory)) return ErrorOf(data_directory);
    m_data_directory = std::move(ValueOf(data_directory));
  }
  Result<std::unique_ptr<FileLogStorage>> storage = OpenOrFormat();
  if (!IsOk(storage)) {
    LOG(ERROR) << "event=storage_refused " << ToString(ErrorOf(storage))
               << " next=\"the files are kept; this host takes no part in votes\"";
    return ErrorOf(storage);
  }
  m_storage = std::move(ValueOf(storage));
  if (m_storage->TornBytes() > 0) LOG(WARNING) << "event=torn_tail_cut bytes=" << m_storage->TornBytes();
  return OkStatus();
}

Result<std::unique_ptr<FileLogStorage>> SteeringControl::OpenOrFormat() {
  const Result<bool> formatted = FileLogStorage::IsFormatted(m_data_directory.get());
  if (!IsOk(formatted)) return ErrorOf(formatted);
  if (!ValueOf(formatted)) {
    const DiskIdentity identity = NewIdentity();
    LOG(INFO) << "event=new_disk disk=" << identity.m_self.m_disk.m_value
              << " founding_members=" << identity.m_founding_configuration.m_members.size();
    const Status status = FileLogStorage::Format(m_data_directory.get(), identity);
    if (!IsOk(status)) return ErrorOf(status);
  }
  return FileLogStorage::Open(m_data_directory.get(), m_settings.m_discovery.Self());
}

Status SteeringControl::ReplaceDamagedStorage() {
  // The group goes on, so it must not be founded again.
  m_settings.m_found_group = false;
  Status set_aside = FileLogStorage::SetAside(m_data_directory.get());
  if (!IsOk(set_aside)) return set_aside;
  LOG(WARNING) << "event=storage_set_aside next=\"rejoins the group as a new member\"";
  Status storage = OpenStorage();
  return IsOk(storage) ? OpenServices() : storage;
}

StoredLog SteeringControl::LoadLog() {
  StoredLog stored = m_storage->TakeStored();
  const Result<LogIndex> stored_index = m_commit_mark.Load(stored.m_identity.m_self.m_disk);
  if (IsOk(stored_index)) {
    stored.m_known_commit_index = ValueOf(stored_index);
    m_saved_commit_index = ValueOf(stored_index);
  } else {
    LOG(WARNING) << "event=commit_mark_refused " << ToString(ErrorOf(stored_index))
                 << " next=\"the leader sends the commit index\"";
  }
  return stored;
}

void SteeringControl::SaveCommitMark() {
  // Beyond the persisted log the disk may still hold another entry at the index of a committed one.
  const LogIndex committed = std::min(m_log_replica->AppliedIndex(), m_log_replica->Node().PersistedIndex());
  if (committed == m_saved_commit_index) return;
  const DiskId disk = m_log_replica->Node().Self().m_disk;
  const Status status = m_restart_state_worker.Run([&] { return m_commit_mark.Save(disk, committed); });
  if (!IsOk(status)) {
    LOG(WARNING) << "event=commit_mark_not_saved index=" << committed << " " << ToString(ErrorOf(status));
    return;
  }
  m_saved_commit_index = committed;
}

void SteeringControl::LoadTargets() {
  const Result<std::vector<AnnouncedTarget>> records = m_target_cache.Load(UnixTime());
  if (!IsOk(records)) {
    LOG(WARNING) << "event=target_cache_refused " << ToString(ErrorOf(records))
                 << " next=\"targets are learned from their announcements\"";
    return;
  }
  m_target_directory.Restore(Now(), ValueOf(records));
  LOG(INFO) << "event=target_cache_loaded targets=" << ValueOf(records).size();
}

void SteeringControl::SaveRestartState() {
  auto saved_at = steady_clock::now();
  while (!m_done) {
    boost::this_fiber::sleep_for(kSaveInterval);
    SaveCommitMark();
    const bool refresh_due = steady_clock::now() - saved_at >= kUnchangedSaveInterval;
    const std::uint64_t last_change = m_target_directory.LastChange();
    if (last_change == m_saved_change && !refresh_due) continue;
    const std::vector<AnnouncedTarget> records = m_target_directory.Snapshot(Now());
    const Status status = m_restart_state_worker.Run([&] { return m_target_cache.Save(UnixTime(), records); });
    m_targets_are_saved = IsOk(status);
    if (IsOk(status)) {
      m_saved_change = last_change;
      saved_at = steady_clock::now();
    } else if (m_log_line_budget.Allow()) {
      LOG(WARNING) << "event=target_cache_not_saved " << ToString(ErrorOf(status));
    }
    m_confirmed.notify_all();
  }
}

}  // namespace fighatch::daemon
