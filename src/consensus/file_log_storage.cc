#include "fighatch/file_log_storage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iterator>
#include <numeric>
#include <set>

#include "consensus/log_record.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

constexpr std::string_view kIdentityFile = "identity";
constexpr std::string_view kVoteFile = "vote";
constexpr std::string_view kSnapshotFile = "snapshot";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kAsidePrefix = "aside-";

std::string SegmentName(std::uint64_t first_batch) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "log-%016llx", static_cast<unsigned long long>(first_batch));
  return text.data();
}

bool IsActiveFile(const std::string& name) {
  return !name.starts_with(kAsidePrefix) && !name.ends_with(kTemporarySuffix);
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Runs the calls in order and stops at the first error, which it returns.
template <typename... Calls>
Status RunUntilError(Calls... calls) {
  Status status = OkStatus();
  (void)((status = calls(), IsOk(status)) && ...);
  return status;
}

template <typename T>
Status ReplaceFile(StorageDirectory* directory, std::string_view name, const T& value) {
  const std::vector<std::byte> encoded = wire::Encode(value);
  const std::string content =
      EncodeChecksummedFile(std::string_view(reinterpret_cast<const char*>(encoded.data()), encoded.size()));
  const std::string target(name);
  const std::string temporary = target + std::string(kTemporarySuffix);
  Result<std::vector<std::string>> names = directory->List();
  if (!IsOk(names)) return ErrorOf(names);
  return RunUntilError([&] { return Contains(ValueOf(names), temporary) ? directory->Remove(temporary) : OkStatus(); },
                       [&] { return directory->Append(temporary, content); },
                       [&] { return directory->SyncFile(temporary); },
                       [&] { return directory->Rename(temporary, target); }, [&] { return directory->SyncFolder(); });
}

template <typename T>
Status LoadFile(StorageDirectory* directory, std::string_view name, T* out) {
  const Result<std::string> bytes = directory->Read(std::string(name));
  if (!IsOk(bytes)) return ErrorOf(bytes);
  const Result<std::string_view> content = DecodeChecksummedFile(ValueOf(bytes));
  if (!IsOk(content)) return MakeError(ErrorCode::kStorageCorrupt, std::string(name));
  Result<T> value = wire::Decode<T>(std::as_bytes(std::span(ValueOf(content))));
  if (!IsOk(value)) return MakeError(ErrorCode::kStorageUnreadable, std::string(name));
  *out = std::move(ValueOf(value));
  return OkStatus();
}

std::size_t PayloadBytes(std::span<const LogEntry> entries) {
  return std::accumulate(entries.begin(), entries.end(), std::size_t{0},
                         [](std::size_t sum, const LogEntry& entry) { return sum + entry.m_payload.size(); });
}

}  // namespace

Result<bool> FileLogStorage::IsFormatted(StorageDirectory* directory) {
  Result<std::vector<std::string>> names = directory->List();
  if (!IsOk(names)) return ErrorOf(names);
  if (Contains(ValueOf(names), kIdentityFile)) return true;
  const auto& all = ValueOf(names);
  // `Format` writes the vote just before the identity, so a vote alone is left by an interrupted `Format`.
  const auto orphan = std::find_if(all.begin(), all.end(),
                                   [](const std::string& name) { return IsActiveFile(name) && name != kVoteFile; });
  if (orphan != all.end()) return MakeError(ErrorCode::kStorageCorrupt, *orphan + " exists without an identity file");
  return false;
}

Status FileLogStorage::Format(StorageDirectory* directory, const DiskIdentity& identity) {
  return RunUntilError([&] { return ReplaceFile(directory, kVoteFile, RaftVote{}); },
                       [&] { return ReplaceFile(directory, kIdentityFile, identity); });
}

Status FileLogStorage::SetAside(StorageDirectory* directory) {
  Result<std::vector<std::string>> listed = directory->List();
  if (!IsOk(listed)) return ErrorOf(listed);
  std::vector<std::string> names = ValueOf(listed);
  std::uint64_t attempt = 1;
  const auto prefix = [&attempt] { return SetAsidePrefix(attempt); };
  while (std::any_of(names.begin(), names.end(), [&](const auto& name) { return name.starts_with(prefix()); }))
    ++attempt;
  std::erase_if(names, [](const std::string& name) { return !IsActiveFile(name); });
  // The identity is renamed first: a crash between two renames then cannot leave an identity without its vote, under
  // which the host could vote a second time in a term.
  std::stable_partition(names.begin(), names.end(), [](const std::string& name) { return name == kIdentityFile; });
  for (const std::string& name : names) {
    Status status = RunUntilError([&] { return directory->Rename(name, prefix() + name); },
                                  [&] { return directory->SyncFolder(); });
    if (!IsOk(status)) return status;
  }
  return OkStatus();
}

std::string FileLogStorage::SetAsidePrefix(std::uint64_t number) {
  return std::string(kAsidePrefix) + std::to_string(number) + "-";
}

Result<std::vector<std::uint64_t>> FileLogStorage::ListSetsAside(StorageDirectory* directory) {
  const Result<std::vector<std::string>> names = directory->List();
  if (!IsOk(names)) return ErrorOf(names);
  std::set<std::uint64_t> numbers;
  for (const std::string& name : ValueOf(names)) {
    if (!name.starts_with(kAsidePrefix)) continue;
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + kAsidePrefix.size(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == '-') numbers.insert(number);
  }
  return std::vector<std::uint64_t>(numbers.begin(), numbers.end());
}

Status FileLogStorage::RestoreSetAside(StorageDirectory* directory, std::uint64_t number) {
  const std::string prefix = SetAsidePrefix(number);
  const Result<std::vector<std::string>> listed = directory->List();
  if (!IsOk(listed)) return ErrorOf(listed);
  std::vector<std::string> names;
  std::copy_if(ValueOf(listed).begin(), ValueOf(listed).end(), std::back_inserter(names),
               [&prefix](const std::string& name) { return name.starts_with(prefix); });
  if (names.empty()) return MakeError(ErrorCode::kStorageIo, "there are no files " + prefix + "*");
  Status present = SetAside(directory);
  if (!IsOk(present)) return present;
  // The identity is renamed last: after a crash before it the folder is refused, and the call can be repeated.
  std::stable_partition(names.begin(), names.end(),
                        [&prefix](const std::string& name) { return name != prefix + std::string(kIdentityFile); });
  for (const std::string& name : names) {
    Status status = RunUntilError([&] { return directory->Rename(name, name.substr(prefix.size())); },
                                  [&] { return directory->SyncFolder(); });
    if (!IsOk(status)) return status;
  }
  return OkStatus();
}

Result<DiskIdentity> FileLogStorage::ReadIdentity(StorageDirectory* directory) {
  DiskIdentity identity;
  const Status status = LoadFile(directory, kIdentityFile, &identity);
  if (!IsOk(status)) return ErrorOf(status);
  return identity;
}

Result<std::unique_ptr<FileLogStorage>> FileLogStorage::Open(StorageDirectory* directory, HostId host,
                                                             std::size_t segment_bytes) {
  std::unique_ptr<FileLogStorage> storage(new FileLogStorage(directory, segment_bytes));
  Status status = storage->Load(host);
  if (!IsOk(status)) return ErrorOf(status);
  return storage;
}

Status FileLogStorage::Load(HostId host) {
  Result<std::vector<std::string>> listed = m_directory->List();
  if (!IsOk(listed)) return ErrorOf(listed);
  std::vector<std::string> names = ValueOf(listed);
  std::erase_if(names, [](const std::string& name) { return !IsActiveFile(name); });
  return RunUntilError([&] { return LoadMetadataFiles(names); },
                       [&] {
                         if (m_stored.m_identity.m_self.m_host == host) return OkStatus();
                         return Status(MakeError(ErrorCode::kStorageWrongIdentity,
                                                 "host " + std::to_string(m_stored.m_identity.m_self.m_host.m_value)));
                       },
                       [&] { return LoadSegments(names); }, [&] { return ReconcileWithSnapshot(); });
}

Status FileLogStorage::LoadMetadataFiles(const std::vector<std::string>& names) {
  return RunUntilError([&] { return LoadFile(m_directory, kIdentityFile, &m_stored.m_identity); },
                       [&] {
                         if (!Contains(names, kVoteFile))
                           return Status(MakeError(ErrorCode::kStorageCorrupt, "vote file is missing"));
                         return LoadFile(m_directory, kVoteFile, &m_stored.m_vote);
                       },
                       [&] {
                         if (!Contains(names, kSnapshotFile)) return OkStatus();
                         return LoadFile(m_directory, kSnapshotFile, &m_stored.m_snapshot.emplace());
                       });
}

Status FileLogStorage::LoadSegments(const std::vector<std::string>& names) {
  std::vector<std::string> segments;
  std::copy_if(names.begin(), names.end(), std::back_inserter(segments),
               [](const std::string& name) { return name.starts_with(kSegmentPrefix); });
  for (const std::string& name : segments) {
    Status status = LoadSegment(name, name == segments.back());
    if (!IsOk(status)) return status;
  }
  return OkStatus();
}

Status FileLogStorage::LoadSegment(const std::string& name, bool is_last) {
  const Result<std::string> bytes = m_directory->Read(name);
  if (!IsOk(bytes)) return ErrorOf(bytes);
  std::uint64_t first_batch = 0;
  const char* name_end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + kSegmentPrefix.size(), name_end, first_batch, 16);
  if (parsed.ptr != name_end || first_batch <= m_last_batch) return MakeError(ErrorCode::kStorageCorrupt, name);
  SegmentContent content = DecodeSegment(ValueOf(bytes), first_batch);
  if (content.m_tail == SegmentTail::kUnreadable) {
    return MakeError(ErrorCode::kStorageUnreadable,
                     name + " at byte " + std::to_string(content.m_valid_bytes) + ": " + content.m_detail);
  }
  if (content.m_tail == SegmentTail::kCorrupt || (content.m_tail == SegmentTail::kTorn && !is_last)) {
    return MakeError(ErrorCode::kStorageCorrupt, name + " at byte " + std::to_string(content.m_valid_bytes));
  }
  if (content.m_tail == SegmentTail::kTorn) {
    m_torn_bytes = ValueOf(bytes).size() - content.m_valid_bytes;
    Status status = RunUntilError([&] { return m_directory->Truncate(name, content.m_valid_bytes); },
                                  [&] { return m_directory->SyncFile(name); });
    if (!IsOk(status)) return status;
  }
  Segment segment;
  segment.m_first_batch = first_batch;
  segment.m_bytes = content.m_valid_bytes;
  segment.m_payload_bytes = PayloadBytes(content.m_entries);
  for (const LogEntry& entry : content.m_entries) segment.m_highest = std::max(segment.m_highest, entry.m_index);
  m_last_batch = content.m_last_batch;
  m_segments.push_back(segment);
  return MergeLoadedEntries(std::move(content.m_entries));
}

Status FileLogStorage::MergeLoadedEntries(std::vector<LogEntry> entries) {
  std::vector<LogEntry>& stored = m_stored.m_entries;
  for (LogEntry& entry : entries) {
    while (!stored.empty() && stored.back().m_index >= entry.m_index) stored.pop_back();
    if (!stored.empty() && entry.m_index != stored.back().m_index + 1) {
      return MakeError(ErrorCode::kStorageCorrupt, "entries before " + std::to_string(entry.m_index) + " are missing");
    }
    stored.push_back(std::move(entry));
  }
  return OkStatus();
}

Status FileLogStorage::ReconcileWithSnapshot() {
  std::vector<LogEntry>& stored = m_stored.m_entries;
  const LogIndex base = m_stored.m_snapshot ? m_stored.m_snapshot->m_index : 0;
  if (stored.empty() || stored.back().m_index < base) {
    // The process stopped while a snapshot from the leader was replacing the log.
    stored.clear();
    return RemoveAllSegments();
  }
  if (stored.front().m_index > base + 1) {
    return MakeError(ErrorCode::kStorageCorrupt, "entries after " + std::to_string(base) + " are missing");
  }
  if (base == 0 || stored.front().m_index == base + 1) return OkStatus();
  if (stored[base - stored.front().m_index].m_term == m_stored.m_snapshot->m_term) return OkStatus();
  // The log has another entry at the snapshot's index, so it conflicts with the snapshot and is discarded.
  stored.clear();
  return RemoveAllSegments();
}

Status FileLogStorage::RemoveAllSegments() {
  if (m_segments.empty()) return OkStatus();
  // The newest segment is removed first, so that a crash leaves a prefix of the log without gaps.
  while (!m_segments.empty()) {
    Status status = m_directory->Remove(SegmentName(m_segments.back().m_first_batch));
    if (!IsOk(status)) return status;
    status = m_directory->SyncFolder();
    if (!IsOk(status)) return status;
    m_segments.pop_back();
  }
  return OkStatus();
}

Status FileLogStorage::LatchError(Status status) {
  if (!IsOk(status) && ErrorOf(status).m_code != ErrorCode::kStorageFull) m_status = status;
  return status;
}

Status FileLogStorage::UndoAppend(bool is_new, const Segment& before) {
  const std::string name = SegmentName(m_segments.back().m_first_batch);
  const Result<std::vector<std::string>> names = m_directory->List();
  if (!IsOk(names)) return ErrorOf(names);
  if (Contains(ValueOf(names), name)) {
    Status undone = is_new ? m_directory->Remove(name) : m_directory->Truncate(name, before.m_bytes);
    if (!IsOk(undone)) return undone;
  }
  --m_last_batch;
  if (is_new) {
    m_segments.pop_back();
  } else {
    m_segments.back() = before;
  }
  return OkStatus();
}

Status FileLogStorage::SaveVote(const RaftVote& vote) {
  return IsOk(m_status) ? LatchError(ReplaceFile(m_directory, kVoteFile, vote)) : m_status;
}

Status FileLogStorage::Append(std::span<const LogEntry> entries) {
  if (!IsOk(m_status) || entries.empty()) return m_status;
  // Checked before anything is written, so that the storage stays usable.
  if (!std::all_of(entries.begin(), entries.end(), FitsRecord)) return MakeError(ErrorCode::kStorageEntryTooLarge);
  return LatchError(DoAppend(entries));
}

Status FileLogStorage::DoAppend(std::span<const LogEntry> entries) {
  const bool is_new = m_segments.empty() || m_segments.back().m_bytes >= m_segment_bytes ||
                      m_segments.back().m_payload_bytes >= m_segment_bytes;
  const std::string bytes = EncodeBatch(entries, ++m_last_batch);
  if (is_new) m_segments.push_back({m_last_batch, 0, 0, 0});
  Segment& segment = m_segments.back();
  const Segment before = segment;
  const std::string name = SegmentName(segment.m_first_batch);
  segment.m_bytes += bytes.size();
  segment.m_payload_bytes += PayloadBytes(entries);
  segment.m_highest = std::max(segment.m_highest, entries.back().m_index);
  Status written = m_directory->Append(name, bytes);
  if (!IsOk(written) && ErrorOf(written).m_code == ErrorCode::kStorageFull) {
    Status undone = UndoAppend(is_new, before);
    return IsOk(undone) ? written : undone;
  }
  return RunUntilError([&] { return written; }, [&] { return m_directory->SyncFile(name); },
                       [&] { return is_new ? m_directory->SyncFolder() : OkStatus(); });
}

Status FileLogStorage::SaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) {
  return IsOk(m_status) ? LatchError(DoSaveSnapshot(snapshot, keep_from)) : m_status;
}

Status FileLogStorage::DoSaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) {
  Status status = ReplaceFile(m_directory, kSnapshotFile, snapshot);
  // The oldest segment is removed first, so that a crash leaves a suffix of the log without gaps.
  while (IsOk(status) && m_segments.size() > 1 && m_segments.front().m_highest < keep_from) {
    status = m_directory->Remove(SegmentName(m_segments.front().m_first_batch));
    if (IsOk(status)) status = m_directory->SyncFolder();
    m_segments.erase(m_segments.begin());
  }
  return status;
}

Status FileLogStorage::InstallSnapshot(const RaftSnapshot& snapshot) {
  if (!IsOk(m_status)) return m_status;
  return LatchError(RunUntilError([&] { return ReplaceFile(m_directory, kSnapshotFile, snapshot); },
                                  [&] { return RemoveAllSegments(); }));
}

}  // namespace fighatch
