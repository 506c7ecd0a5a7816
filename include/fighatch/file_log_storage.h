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

/// Stores the Raft log, vote and snapshot of one host in a folder. The files `identity`, `vote` and `snapshot` are
/// replaced atomically as a whole; `log-<number of the first batch in hexadecimal>` are append-only segments of
/// records. `Open` truncates a torn tail (an append that a crash interrupted). A damaged record before the tail is
/// refused with `kStorageCorrupt`; the host then has to rejoin under a new identity (`SetAside`, then `Format`).
/// Content with a valid checksum that this program cannot read is refused with `kStorageUnreadable`: the files are
/// intact and must be kept for a release that reads them.
///
/// \code
/// Result<bool> formatted = FileLogStorage::IsFormatted(&directory);
/// if (IsOk(formatted) && !ValueOf(formatted)) (void)FileLogStorage::Format(&directory, identity);
/// auto storage = FileLogStorage::Open(&directory, host);
/// RaftNode node(options, ValueOf(storage)->TakeStored(), now, random);
/// \endcode
class FileLogStorage : public LogStorage {
 public:
  /// A new segment is started once the current one has at least this many bytes, or its entries have payloads of this
  /// size: stored entries are compressed, and whoever opens the log holds them uncompressed.
  static constexpr std::size_t kSegmentBytes = 4 << 20;

  /// True if the folder has an identity file. Errors: `kStorageCorrupt` if it has files other than the vote but no
  /// identity.
  [[nodiscard]] static Result<bool> IsFormatted(StorageDirectory* directory);

  /// Initialises an empty folder with an empty vote and the identity.
  [[nodiscard]] static Status Format(StorageDirectory* directory, const DiskIdentity& identity);

  /// Renames all files to `aside-<number>-<name>`, so that the folder counts as empty. The renamed files are kept for
  /// inspection and for `RestoreSetAside`.
  [[nodiscard]] static Status SetAside(StorageDirectory* directory);

  /// Undoes a `SetAside`: sets the present files aside in turn, and renames those of set `number` back. Call it only
  /// while no process uses the folder. Errors: `kStorageIo` if there is no such set.
  [[nodiscard]] static Status RestoreSetAside(StorageDirectory* directory, std::uint64_t number);

  /// The numbers of the sets of files that `SetAside` has made, in ascending order.
  [[nodiscard]] static Result<std::vector<std::uint64_t>> ListSetsAside(StorageDirectory* directory);

  /// The prefix of the names of the files in set `number`.
  [[nodiscard]] static std::string SetAsidePrefix(std::uint64_t number);

  /// Reads the identity alone. Errors: `kStorageIo`, `kStorageCorrupt`, `kStorageUnreadable`.
  [[nodiscard]] static Result<DiskIdentity> ReadIdentity(StorageDirectory* directory);

  /// Reads all files, truncates a torn tail, and removes the log if the snapshot has replaced it. Errors:
  /// `kStorageCorrupt`, `kStorageUnreadable`, `kStorageWrongIdentity` if the folder belongs to another host,
  /// `kStorageIo`, `kStorageSyncFailed`.
  [[nodiscard]] static Result<std::unique_ptr<FileLogStorage>> Open(StorageDirectory* directory, HostId host,
                                                                    std::size_t segment_bytes = kSegmentBytes);

  /// Returns what was stored when the folder was opened, by moving it out; call it at most once.
  [[nodiscard]] StoredLog TakeStored() { return std::move(m_stored); }

  /// Bytes of a torn tail that were truncated when the folder was opened.
  [[nodiscard]] std::size_t TornBytes() const noexcept { return m_torn_bytes; }

  [[nodiscard]] Status SaveVote(const RaftVote& vote) override;
  [[nodiscard]] Status Append(std::span<const LogEntry> entries) override;
  [[nodiscard]] Status SaveSnapshot(const RaftSnapshot& snapshot, LogIndex keep_from) override;
  [[nodiscard]] Status InstallSnapshot(const RaftSnapshot& snapshot) override;

 private:
  struct Segment {
    std::uint64_t m_first_batch = 0;
    // Size of the file.
    std::size_t m_bytes = 0;
    std::size_t m_payload_bytes = 0;
    // The highest index of the entries in the segment.
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
  // Records an error, so that all further writes fail: the content of the files after a failed write is unknown. A disk
  // without room is not recorded, since those writes are undone.
  [[nodiscard]] Status LatchError(Status status);
  // Removes what a failed append to the last segment may have written.
  [[nodiscard]] Status UndoAppend(bool is_new, const Segment& before);

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
