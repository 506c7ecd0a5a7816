#ifndef FIGHATCH_FILE_LOG_STORAGE_H_
#define FIGHATCH_FILE_LOG_STORAGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "fighatch/log_storage.h"
#include "fighatch/storage_directory.h"

namespace fighatch {

/// Keeps the log in a folder: `identity`, `vote` and `snapshot` are replaced as a whole, `log-<number of the first
/// batch>` are segments of records. A torn tail is cut when the folder is opened; a damaged record before it is refused
/// with `kStorageCorrupt`, and the host then has to come back under a new identity (`SetAside`, `Format`).
///
/// \code
/// Result<bool> formatted = FileLogStorage::IsFormatted(&directory);
/// if (IsOk(formatted) && !ValueOf(formatted)) (void)FileLogStorage::Format(&directory, identity);
/// auto storage = FileLogStorage::Open(&directory, host);
/// RaftNode node(options, ValueOf(storage)->TakeStored(), now, random);
/// \endcode
class FileLogStorage : public LogStorage {
 public:
  /// Size in bytes from which on a new segment is begun.
  static constexpr std::size_t kSegmentBytes = 4 << 20;

  /// True if the folder has an identity. Errors: `kStorageCorrupt` if there are files without one.
  [[nodiscard]] static Result<bool> IsFormatted(StorageDirectory* directory);

  /// Writes the identity of an empty folder.
  [[nodiscard]] static Status Format(StorageDirectory* directory, const DiskIdentity& identity);

  /// Renames all files, so that the folder counts as empty and nothing of it is used; the files stay for inspection.
  [[nodiscard]] static Status SetAside(StorageDirectory* directory);

  /// Reads everything and cuts a torn tail. Errors: `kStorageCorrupt`, `kStorageWrongIdentity` if the folder belongs
  /// to another host, `kStorageIo`, `kStorageSyncFailed`.
  [[nodiscard]] static Result<std::unique_ptr<FileLogStorage>> Open(StorageDirectory* directory, HostId host,
                                                                    std::size_t segment_bytes = kSegmentBytes);

  /// What was stored when the folder was opened; can be taken once.
  [[nodiscard]] StoredLog TakeStored() { return std::move(m_stored); }

  /// Bytes of a torn tail that were cut when the folder was opened.
  [[nodiscard]] std::size_t TornBytes() const noexcept { return m_torn_bytes; }

  [[nodiscard]] Status SaveVote(const RaftVote& vote) override;
  [[nodiscard]] Status Append(std::span<const LogEntry> entries) override;
  [[nodiscard]] Status SaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) override;
  [[nodiscard]] Status InstallSnapshot(const RaftSnapshot& snapshot) override;

 private:
  struct Segment {
    std::uint64_t m_first_batch = 0;
    std::size_t m_bytes = 0;
    LogIndex m_highest = 0;
  };

  explicit FileLogStorage(StorageDirectory* directory, std::size_t segment_bytes)
      : m_directory(directory), m_segment_bytes(segment_bytes) {}

  [[nodiscard]] Status Load(HostId host);
  [[nodiscard]] Status LoadMetadataFiles(const std::vector<std::string>& names);
  [[nodiscard]] Status LoadSegments(const std::vector<std::string>& names);
  [[nodiscard]] Status LoadSegment(const std::string& name, bool is_last);
  [[nodiscard]] Status MergeLoadedEntries(std::vector<LogEntry> entries);
  [[nodiscard]] Status ReconcileWithSnapshot();
  [[nodiscard]] Status RemoveAllSegments();
  [[nodiscard]] Status DoAppend(std::span<const LogEntry> entries);
  [[nodiscard]] Status DoSaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from);
  // Remembers the first error: what the files hold after it is unknown.
  [[nodiscard]] Status LatchError(Status status);

  StorageDirectory* m_directory;
  std::size_t m_segment_bytes;
  StoredLog m_stored;
  std::vector<Segment> m_segments;
  std::uint64_t m_last_batch = 0;
  std::size_t m_torn_bytes = 0;
  Status m_status = OkStatus();
};

}  // namespace fighatch

#endif  // FIGHATCH_FILE_LOG_STORAGE_H_
