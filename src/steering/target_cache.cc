#include "fighatch/target_cache.h"

#include "wire/codec.h"

namespace fighatch {
namespace {

constexpr const char* kFileName = "targets";

struct StoredTargets {
  std::int64_t m_unix_ms = 0;
  std::vector<AnnouncedTarget> m_records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_unix_ms, m_records);
  }
};

}  // namespace

Result<std::vector<AnnouncedTarget>> TargetCache::Load(std::chrono::milliseconds unix_time) const {
  const Result<std::vector<std::byte>> bytes = m_files->Read(kFileName);
  if (!IsOk(bytes)) return ErrorOf(bytes);
  if (ValueOf(bytes).empty()) return std::vector<AnnouncedTarget>{};
  Result<StoredTargets> stored = wire::Decode<StoredTargets>(ValueOf(bytes));
  if (!IsOk(stored)) return MakeError(ErrorCode::kStorageCorrupt, kFileName);
  const std::chrono::milliseconds age = unix_time - std::chrono::milliseconds(ValueOf(stored).m_unix_ms);
  if (age > kMaxAge || age < -kMaxAge) return std::vector<AnnouncedTarget>{};
  return std::move(ValueOf(stored).m_records);
}

Status TargetCache::Save(std::chrono::milliseconds unix_time, const std::vector<AnnouncedTarget>& records) {
  return m_files->Replace(kFileName, wire::Encode(StoredTargets{unix_time.count(), records}));
}

}  // namespace fighatch
