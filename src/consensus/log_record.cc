#include "consensus/log_record.h"

#include <zstd.h>

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <cstring>
#include <optional>

#include "wire/codec.h"

namespace fighatch {
namespace {

constexpr std::uint32_t kRecordMagic = 0x524C4846;  // "FHLR"
constexpr std::uint32_t kFileMagic = 0x46574846;    // "FHWF"
constexpr std::uint32_t kLastInBatchFlag = 1;
// The body is compressed with zstd.
constexpr std::uint32_t kCompressedFlag = 2;
constexpr std::uint32_t kKnownFlags = kLastInBatchFlag | kCompressedFlag;
// Smaller bodies are stored uncompressed.
constexpr std::size_t kCompressionThresholdBytes = 512;
constexpr int kCompressionLevel = 1;
// Index, term and kind of an entry and the length of its payload, with room to spare.
constexpr std::size_t kEntryOverheadBytes = 64;
constexpr std::size_t kMaxBodyBytes = kMaxEntryPayloadBytes + kEntryOverheadBytes;

// Copied to and from the file as it stands in memory, in little-endian order. The codec of the body requires a
// little-endian host anyway.
struct RecordHeader {
  std::uint32_t m_magic = kRecordMagic;
  std::uint32_t m_body_bytes = 0;
  std::uint64_t m_batch = 0;
  std::uint32_t m_flags = 0;
  // CRC-32C of the fields above and the body.
  std::uint32_t m_crc = 0;
};
static_assert(sizeof(RecordHeader) == 24);
constexpr std::size_t kChecksummedHeaderBytes = offsetof(RecordHeader, m_crc);

struct Record {
  RecordHeader m_header;
  std::string_view m_body;
};

std::uint32_t RecordCrc(std::string_view checked_header, std::string_view body) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(checked_header.data(), checked_header.size());
  crc.process_bytes(body.data(), body.size());
  return crc.checksum();
}

// Reads the record at the start of the bytes; empty if it is incomplete or damaged. The checksum alone decides: a limit
// on the length here could refuse what was written and acknowledged.
std::optional<Record> ReadRecord(std::string_view bytes) {
  Record record;
  if (bytes.size() < sizeof(RecordHeader)) return std::nullopt;
  std::memcpy(&record.m_header, bytes.data(), sizeof(RecordHeader));
  const RecordHeader& header = record.m_header;
  if (header.m_magic != kRecordMagic) return std::nullopt;
  if (bytes.size() - sizeof(RecordHeader) < header.m_body_bytes) return std::nullopt;
  record.m_body = bytes.substr(sizeof(RecordHeader), header.m_body_bytes);
  if (RecordCrc(bytes.substr(0, kChecksummedHeaderBytes), record.m_body) != header.m_crc) return std::nullopt;
  return record;
}

// Compresses a body if that makes it smaller; empty otherwise.
std::string Compress(std::string_view body) {
  if (body.size() < kCompressionThresholdBytes) return {};
  std::string compressed(ZSTD_compressBound(body.size()), '\0');
  const std::size_t size =
      ZSTD_compress(compressed.data(), compressed.size(), body.data(), body.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size >= body.size()) return {};
  compressed.resize(size);
  return compressed;
}

// Errors: `kStorageUnreadable`.
Result<std::string> Decompress(std::string_view compressed) {
  const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  // Also true for zstd's two error values, which are larger.
  if (size > kMaxBodyBytes) return MakeError(ErrorCode::kStorageUnreadable, "size of a compressed record");
  std::string body(size, '\0');
  const std::size_t written = ZSTD_decompress(body.data(), body.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return MakeError(ErrorCode::kStorageUnreadable, "a compressed record does not decompress");
  }
  return body;
}

// Decodes the body of a record whose checksum is right. Errors: `kStorageUnreadable`.
Result<LogEntry> DecodeBody(const Record& record) {
  if ((record.m_header.m_flags & ~kKnownFlags) != 0) {
    return MakeError(ErrorCode::kStorageUnreadable, "unknown flags of a record");
  }
  const bool is_compressed = (record.m_header.m_flags & kCompressedFlag) != 0;
  Result<std::string> decompressed = is_compressed ? Decompress(record.m_body) : Result<std::string>(std::string());
  if (!IsOk(decompressed)) return ErrorOf(decompressed);
  const std::string_view body = is_compressed ? std::string_view(ValueOf(decompressed)) : record.m_body;
  Result<LogEntry> entry = wire::Decode<LogEntry>(std::as_bytes(std::span(body)));
  if (!IsOk(entry)) return MakeError(ErrorCode::kStorageUnreadable, ErrorOf(entry).m_detail);
  return entry;
}

// True if the bytes contain, at any offset, an intact record of this batch or a later one.
bool HasRecordOfBatchOrLater(std::string_view bytes, std::uint64_t batch) {
  const std::string_view magic(reinterpret_cast<const char*>(&kRecordMagic), sizeof(kRecordMagic));
  for (std::size_t at = bytes.find(magic); at != std::string_view::npos; at = bytes.find(magic, at + 1)) {
    const std::optional<Record> record = ReadRecord(bytes.substr(at));
    if (record && record->m_header.m_batch >= batch) return true;
  }
  return false;
}

}  // namespace

std::uint32_t Crc32c(std::string_view bytes) noexcept { return RecordCrc(bytes, {}); }

bool FitsRecord(const LogEntry& entry) noexcept { return entry.m_payload.size() <= kMaxEntryPayloadBytes; }

std::string EncodeBatch(std::span<const LogEntry> entries, std::uint64_t batch) {
  std::string out;
  for (const LogEntry& entry : entries) {
    const std::vector<std::byte> encoded = wire::Encode(entry);
    const std::string_view plain(reinterpret_cast<const char*>(encoded.data()), encoded.size());
    const std::string compressed = Compress(plain);
    const std::string_view body = compressed.empty() ? plain : std::string_view(compressed);
    RecordHeader header;
    header.m_body_bytes = static_cast<std::uint32_t>(body.size());
    header.m_batch = batch;
    header.m_flags = (&entry == &entries.back() ? kLastInBatchFlag : 0) | (compressed.empty() ? 0 : kCompressedFlag);
    const std::string_view header_bytes(reinterpret_cast<const char*>(&header), sizeof(header));
    header.m_crc = RecordCrc(header_bytes.substr(0, kChecksummedHeaderBytes), body);
    out.append(header_bytes).append(body);
  }
  return out;
}

SegmentContent DecodeSegment(std::string_view bytes, std::uint64_t first_batch) {
  SegmentContent content;
  content.m_last_batch = first_batch - 1;
  std::size_t offset = 0;
  std::size_t complete_entries = 0;
  bool in_batch = false;
  while (offset < bytes.size()) {
    const std::optional<Record> record = ReadRecord(bytes.substr(offset));
    if (!record || record->m_header.m_batch != content.m_last_batch + 1) break;
    Result<LogEntry> entry = DecodeBody(*record);
    if (!IsOk(entry)) {
      // The checksum is right, so the disk returned what was written, and this program cannot read it.
      content.m_tail = SegmentTail::kUnreadable;
      content.m_detail = ErrorOf(entry).m_detail;
      break;
    }
    offset += sizeof(RecordHeader) + record->m_body.size();
    content.m_entries.push_back(std::move(ValueOf(entry)));
    in_batch = (record->m_header.m_flags & kLastInBatchFlag) == 0;
    if (in_batch) continue;
    content.m_valid_bytes = offset;
    content.m_last_batch = record->m_header.m_batch;
    complete_entries = content.m_entries.size();
  }
  content.m_entries.resize(complete_entries);
  if (content.m_valid_bytes == bytes.size() || content.m_tail == SegmentTail::kUnreadable) return content;
  // The damaged record belongs to the batch after the last complete one. A batch is written only after the previous one
  // was synced, so if a still later batch is found, the damaged one had been acknowledged.
  const bool has_later_batch = HasRecordOfBatchOrLater(bytes.substr(offset), content.m_last_batch + 2);
  content.m_tail = has_later_batch ? SegmentTail::kCorrupt : SegmentTail::kTorn;
  return content;
}

std::string EncodeChecksummedFile(std::string_view content) {
  const std::array<std::uint64_t, 2> header{kFileMagic | (std::uint64_t{Crc32c(content)} << 32U), content.size()};
  std::string out(reinterpret_cast<const char*>(header.data()), sizeof(header));
  return out.append(content);
}

Result<std::string_view> DecodeChecksummedFile(std::string_view bytes) {
  std::array<std::uint64_t, 2> header{};
  if (bytes.size() < sizeof(header)) return MakeError(ErrorCode::kStorageCorrupt, "file is shorter than its header");
  std::memcpy(header.data(), bytes.data(), sizeof(header));
  const std::string_view content = bytes.substr(sizeof(header));
  if (header[0] != (kFileMagic | (std::uint64_t{Crc32c(content)} << 32U)) || header[1] != content.size()) {
    return MakeError(ErrorCode::kStorageCorrupt, "length or checksum of the file does not match its header");
  }
  return content;
}

}  // namespace fighatch
