#include "fighatch/commit_mark.h"

#include "wire/codec.h"

namespace fighatch {
namespace {

constexpr const char* kFileName = "commit";

struct StoredCommitMark {
  DiskId m_disk;
  LogIndex m_index = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_disk, m_index);
  }
};

}  // namespace

Result<LogIndex> CommitMark::Load(DiskId disk) const {
  const Result<std::vector<std::byte>> bytes = m_files->Read(kFileName);
  if (!IsOk(bytes)) return ErrorOf(bytes);
  if (ValueOf(bytes).empty()) return LogIndex{0};
  const Result<StoredCommitMark> stored = wire::Decode<StoredCommitMark>(ValueOf(bytes));
  if (!IsOk(stored)) return MakeError(ErrorCode::kStorageCorrupt, kFileName);
  return ValueOf(stored).m_disk == disk ? ValueOf(stored).m_index : LogIndex{0};
}

Status CommitMark::Save(DiskId disk, LogIndex index) {
  return m_files->Replace(kFileName, wire::Encode(StoredCommitMark{disk, index}));
}

}  // namespace fighatch
