#ifndef FIGHATCH_CONSENSUS_LOG_RECORD_H_
#define FIGHATCH_CONSENSUS_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"

namespace fighatch {

/// Returns the CRC-32C checksum of the bytes.
[[nodiscard]] std::uint32_t Crc32c(std::string_view bytes) noexcept;

/// How a segment of the log ends.
enum class SegmentTail : std::uint8_t {
  kClean = 0,
  /// The last batch is incomplete: it was never acknowledged and can be truncated.
  kTorn = 1,
  /// A record is damaged although a later batch follows, so it had been acknowledged.
  kCorrupt = 2,
  /// A record is intact, but this program cannot read it: another release wrote it.
  kUnreadable = 3,
};

/// The decoded content of a segment, up to its last complete batch.
struct SegmentContent {
  std::vector<LogEntry> m_entries;
  /// Total size of the complete batches.
  std::size_t m_valid_bytes = 0;
  /// Number of the last complete batch; one less than the first batch's number if there is none.
  std::uint64_t m_last_batch = 0;
  SegmentTail m_tail = SegmentTail::kClean;
  /// Why a record is unreadable; empty with any other tail.
  std::string m_detail;
};

/// True if the storage takes the entry: its payload is at most `kMaxEntryPayloadBytes` long.
[[nodiscard]] bool FitsRecord(const LogEntry& entry) noexcept;

/// Encodes a batch: entries that are appended to a segment and synced together, one record each. A record has a length,
/// a CRC-32C and the number of its batch, and the last record of a batch is flagged. `DecodeSegment` can thereby tell
/// an incomplete batch from a damaged one. Bodies are compressed where that makes them smaller.
[[nodiscard]] std::string EncodeBatch(std::span<const LogEntry> entries, std::uint64_t batch);

/// Decodes a segment whose first batch has the given number. Damage is reported in `SegmentContent::m_tail`.
[[nodiscard]] SegmentContent DecodeSegment(std::string_view bytes, std::uint64_t first_batch);

/// Prefixes the content of a file that is replaced as a whole with its length and CRC-32C.
[[nodiscard]] std::string EncodeChecksummedFile(std::string_view content);

/// Verifies a file written by `EncodeChecksummedFile` and returns its content, which refers to `bytes`. Errors:
/// `kStorageCorrupt`.
[[nodiscard]] Result<std::string_view> DecodeChecksummedFile(std::string_view bytes);

}  // namespace fighatch

#endif  // FIGHATCH_CONSENSUS_LOG_RECORD_H_
