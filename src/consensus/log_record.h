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

/// CRC-32C of the bytes.
[[nodiscard]] std::uint32_t Crc32c(std::string_view bytes) noexcept;

/// How a segment of the log ends.
enum class SegmentTail : std::uint8_t {
  kClean = 0,
  /// The last batch was not written to its end: it was never acknowledged and can be cut.
  kTorn = 1,
  /// A record is damaged although later batches follow, so it had been acknowledged.
  kCorrupt = 2,
};

/// What a segment holds.
struct SegmentContent {
  std::vector<LogEntry> m_entries;
  /// Bytes of complete batches.
  std::size_t m_valid_bytes = 0;
  /// Number of the last complete batch; the one before the first if there is none.
  std::uint64_t m_last_batch = 0;
  SegmentTail m_tail = SegmentTail::kClean;
};

/// Encodes entries that are written and synced together. Each record has a length, a CRC-32C and the number of its
/// batch, and the last one is marked, so that a torn batch can be told from a damaged one.
[[nodiscard]] std::string EncodeBatch(std::span<const LogEntry> entries, std::uint64_t batch);

/// Reads a segment whose first batch has the given number.
[[nodiscard]] SegmentContent DecodeSegment(std::string_view bytes, std::uint64_t first_batch);

/// Encodes the content of a file that is replaced as a whole, with length and CRC-32C.
[[nodiscard]] std::string EncodeChecksummedFile(std::string_view content);

/// Takes the content out of a file. Errors: `kStorageCorrupt`.
[[nodiscard]] Result<std::string_view> DecodeChecksummedFile(std::string_view bytes);

}  // namespace fighatch

#endif  // FIGHATCH_CONSENSUS_LOG_RECORD_H_
