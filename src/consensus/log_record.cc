#include "consensus/log_record.h"

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
// Larger than any entry; bounds the bytes that are read for a record whose length is damaged.
constexpr std::size_t kMaxRecordBytes = 256 * 1024;

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

// Reads the record at the start of the bytes; empty if it is incomplete or damaged.
std::optional<Record> ReadRecord(std::string_view bytes) {
  Record record;
  if (bytes.size() < sizeof(RecordHeader)) return std::nullopt;
  std::memcpy(&record.m_header, bytes.data(), sizeof(RecordHeader));
  const RecordHeader& header = record.m_header;
  if (header.m_magic != kRecordMagic || header.m_body_bytes > kMaxRecordBytes) return std::nullopt;
  if (bytes.size() - sizeof(RecordHeader) < header.m_body_bytes) return std::nullopt;
  record.m_body = bytes.substr(sizeof(RecordHeader), header.m_body_bytes);
  if (RecordCrc(bytes.substr(0, kChecksummedHeaderBytes), record.m_body) != header.m_crc) return std::nullopt;
  return record;
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

std::string EncodeBatch(std::span<const LogEntry> entries, std::uint64_t batch) {
  std::string out;
  for (const LogEntry& entry : entries) {
    const std::vector<std::byte> encoded = wire::Encode(entry);
    const std::string_view body(reinterpret_cast<const char*>(encoded.data()), encoded.size());
    RecordHeader header;
    header.m_body_bytes = static_cast<std::uint32_t>(body.size());
    header.m_batch = batch;
    header.m_flags = &entry == &entries.back() ? kLastInBatchFlag : 0;
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
    Result<LogEntry> entry = record ? wire::Decode<LogEntry>(std::as_bytes(std::span(record->m_body)))
                                    : Result<LogEntry>(MakeError(ErrorCode::kStorageCorrupt));
    if (!IsOk(entry) || record->m_header.m_batch != content.m_last_batch + 1) break;
    offset += sizeof(RecordHeader) + record->m_body.size();
    content.m_entries.push_back(std::move(ValueOf(entry)));
    in_batch = (record->m_header.m_flags & kLastInBatchFlag) == 0;
    if (in_batch) continue;
    content.m_valid_bytes = offset;
    content.m_last_batch = record->m_header.m_batch;
    complete_entries = content.m_entries.size();
  }
  content.m_entries.resize(complete_entries);
  if (content.m_valid_bytes == bytes.size()) return content;
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
