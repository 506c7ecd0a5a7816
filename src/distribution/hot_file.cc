#include "fighatch/hot_file.h"

#include <cstdint>
#include <cstring>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

constexpr std::uint32_t kMagic = 0x544F4846;  // "FHOT" in little-endian order.
constexpr std::uint32_t kFormatVersion = 1;
/// Magic, format version, epoch, generation and length of the snapshot.
constexpr std::size_t kHeaderBytes = 4 + 4 + 8 + 8 + 8;
constexpr std::size_t kChecksumBytes = 8;

template <typename T>
void Append(std::vector<std::byte>* out, T value) {
  const auto bytes = std::as_bytes(std::span(&value, 1));
  out->insert(out->end(), bytes.begin(), bytes.end());
}

template <typename T>
T ReadAt(std::span<const std::byte> bytes, std::size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}

}  // namespace

std::vector<std::byte> EncodeHotFile(const HotFile& file) {
  std::vector<std::byte> bytes;
  bytes.reserve(kHeaderBytes + file.m_snapshot.size() + kChecksumBytes);
  Append(&bytes, kMagic);
  Append(&bytes, kFormatVersion);
  Append(&bytes, file.m_version.m_epoch);
  Append(&bytes, file.m_version.m_generation);
  Append(&bytes, static_cast<std::uint64_t>(file.m_snapshot.size()));
  bytes.insert(bytes.end(), file.m_snapshot.begin(), file.m_snapshot.end());
  Append(&bytes, HashBytes(bytes));
  return bytes;
}

Result<HotFile> DecodeHotFile(std::span<const std::byte> bytes) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes)
    return MakeError(ErrorCode::kStorageTornTail, "hot file is shorter than its header and checksum");
  if (ReadAt<std::uint32_t>(bytes, 0) != kMagic || ReadAt<std::uint32_t>(bytes, 4) != kFormatVersion)
    return MakeError(ErrorCode::kStorageCorrupt, "hot file has an unknown magic or format version");
  const auto declared_bytes = ReadAt<std::uint64_t>(bytes, 24);
  const std::size_t snapshot_bytes = bytes.size() - kHeaderBytes - kChecksumBytes;
  if (declared_bytes > snapshot_bytes)
    return MakeError(ErrorCode::kStorageTornTail, "hot file is shorter than its header says");
  if (declared_bytes < snapshot_bytes)
    return MakeError(ErrorCode::kStorageCorrupt, "hot file is longer than its header says");
  const std::size_t checksum_offset = kHeaderBytes + snapshot_bytes;
  if (HashBytes(bytes.first(checksum_offset)) != ReadAt<std::uint64_t>(bytes, checksum_offset))
    return MakeError(ErrorCode::kStorageCorrupt, "hot file checksum does not match");
  HotFile file{{ReadAt<std::uint64_t>(bytes, 8), ReadAt<std::uint64_t>(bytes, 16)}, {}};
  const auto snapshot = bytes.subspan(kHeaderBytes, snapshot_bytes);
  file.m_snapshot.assign(snapshot.begin(), snapshot.end());
  return file;
}

}  // namespace fighatch
