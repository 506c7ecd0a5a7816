#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <random>

#include "consensus/log_record.h"
#include "fighatch/file_log_storage.h"
#include "io/posix_directory.h"
#include "memory_directory.h"

namespace fighatch {
namespace {

using testing_support::MemoryDirectory;

constexpr HostId kHost{7};
constexpr std::size_t kSmallSegmentBytes = 300;

DiskIdentity Identity() { return {{kHost, {5}}, {{{{kHost, {5}}, true}}, {}}}; }

LogEntry Entry(LogIndex index, Term term) {
  return {index, term, EntryKind::kPayload, "payload-" + std::to_string(index)};
}

// The data whose write was acknowledged, all of which must be found after a crash.
struct AcknowledgedState {
  RaftVote m_vote;
  std::optional<RaftSnapshot> m_snapshot;
  std::vector<LogEntry> m_entries;

  void Add(const LogEntry& entry) {
    while (!m_entries.empty() && m_entries.back().m_index >= entry.m_index) m_entries.pop_back();
    m_entries.push_back(entry);
  }
  [[nodiscard]] LogIndex Last() const {
    const LogIndex base = m_snapshot ? m_snapshot->m_index : 0;
    return m_entries.empty() ? base : std::max(base, m_entries.back().m_index);
  }
};

bool HasEntry(const StoredLog& stored, const LogEntry& entry) {
  return std::find(stored.m_entries.begin(), stored.m_entries.end(), entry) != stored.m_entries.end();
}

// Fails if acknowledged data is missing. `unfinished_vote` and `unfinished_from` are the vote and the first index that
// the interrupted call was writing; entries from that index on may be missing.
void CheckStored(const StoredLog& stored, const AcknowledgedState& acknowledged,
                 const std::optional<RaftVote>& unfinished_vote, LogIndex unfinished_from) {
  RC_ASSERT(stored.m_vote == acknowledged.m_vote || (unfinished_vote && stored.m_vote == *unfinished_vote));
  const LogIndex snapshot_index = stored.m_snapshot ? stored.m_snapshot->m_index : 0;
  RC_ASSERT(snapshot_index >= (acknowledged.m_snapshot ? acknowledged.m_snapshot->m_index : 0));
  for (const LogEntry& entry : acknowledged.m_entries) {
    if (entry.m_index <= snapshot_index || entry.m_index >= unfinished_from) continue;
    RC_ASSERT(HasEntry(stored, entry));
  }
}

// Makes a random call to the storage; returns false if the folder crashed in it.
bool RunRandomCall(FileLogStorage* storage, AcknowledgedState* acknowledged, std::optional<RaftVote>* unfinished_vote,
                   LogIndex* unfinished_from) {
  const Term term = acknowledged->m_vote.m_term;
  const int kind = *rc::gen::inRange(0, 10);
  if (kind == 0) {
    *unfinished_vote = RaftVote{term + 1, {HostId{1}, {2}}};
    if (!IsOk(storage->SaveVote(**unfinished_vote))) return false;
    acknowledged->m_vote = **unfinished_vote;
  } else if (kind == 1 && acknowledged->Last() > 0) {
    const LogIndex first = acknowledged->m_snapshot ? acknowledged->m_snapshot->m_index : 0;
    const LogIndex index = *rc::gen::inRange(first, acknowledged->Last() + 1);
    const auto at = std::find_if(acknowledged->m_entries.begin(), acknowledged->m_entries.end(),
                                 [index](const LogEntry& entry) { return entry.m_index == index; });
    if (at == acknowledged->m_entries.end()) return true;
    const RaftSnapshot snapshot{index, at->m_term, {}, "state"};
    if (!IsOk(storage->SaveSnapshot(snapshot, index))) return false;
    acknowledged->m_snapshot = snapshot;
  } else if (kind == 2) {
    *unfinished_vote = RaftVote{term + 1, {}};
    if (!IsOk(storage->SaveVote(**unfinished_vote))) return false;
    acknowledged->m_vote = **unfinished_vote;
    const RaftSnapshot snapshot{acknowledged->Last() + 5, term + 1, {}, "leader's state"};
    *unfinished_from = 0;
    if (!IsOk(storage->InstallSnapshot(snapshot))) return false;
    acknowledged->m_snapshot = snapshot;
    acknowledged->m_entries.clear();
  } else {
    const LogIndex base = acknowledged->m_snapshot ? acknowledged->m_snapshot->m_index : 0;
    const LogIndex last = acknowledged->Last();
    const LogIndex first = kind == 3 ? *rc::gen::inRange(base + 1, last + 2) : last + 1;
    std::vector<LogEntry> batch;
    for (int count = *rc::gen::inRange(1, 5); count > 0; --count) batch.push_back(Entry(first + batch.size(), term));
    *unfinished_from = first;
    if (!IsOk(storage->Append(batch))) return false;
    for (const LogEntry& entry : batch) acknowledged->Add(entry);
  }
  *unfinished_from = std::numeric_limits<LogIndex>::max();
  unfinished_vote->reset();
  return true;
}

// Guards against losing an acknowledged vote, entry or snapshot in a crash at any byte of any write, including a second
// crash during recovery.
RC_GTEST_PROP(StorageCrashTest, NothingAcknowledgedIsLost, ()) {
  MemoryDirectory directory(*rc::gen::arbitrary<std::uint64_t>());
  RC_ASSERT(IsOk(FileLogStorage::Format(&directory, Identity())));
  AcknowledgedState acknowledged;
  std::optional<RaftVote> unfinished_vote;
  LogIndex unfinished_from = std::numeric_limits<LogIndex>::max();
  for (int restart = 0; restart < 6; ++restart) {
    if (restart > 0 && *rc::gen::inRange(0, 3) == 0) {
      // A second crash, while the folder is opened.
      directory.CrashAfter(*rc::gen::inRange<std::uint64_t>(0, 4));
      (void)FileLogStorage::Open(&directory, kHost, kSmallSegmentBytes);
      directory.Restart();
    }
    auto opened = FileLogStorage::Open(&directory, kHost, kSmallSegmentBytes);
    RC_ASSERT(IsOk(opened));
    FileLogStorage& storage = *ValueOf(opened);
    const StoredLog stored = storage.TakeStored();
    CheckStored(stored, acknowledged, unfinished_vote, unfinished_from);
    acknowledged = {stored.m_vote, stored.m_snapshot, stored.m_entries};
    directory.CrashAfter(*rc::gen::inRange<std::uint64_t>(0, 60));
    for (int step = 0; step < 30 && RunRandomCall(&storage, &acknowledged, &unfinished_vote, &unfinished_from);
         ++step) {
    }
    directory.Restart();
  }
}

// Guards against a crash in `SetAside` that leaves an identity without its vote and log.
RC_GTEST_PROP(StorageCrashTest, FormatAndSetAsideAreAtomic, ()) {
  MemoryDirectory directory(*rc::gen::arbitrary<std::uint64_t>());
  RC_ASSERT(IsOk(FileLogStorage::Format(&directory, Identity())));
  const std::vector<LogEntry> entries{Entry(1, 1)};
  RC_ASSERT(IsOk(ValueOf(FileLogStorage::Open(&directory, kHost))->Append(entries)));
  directory.CrashAfter(*rc::gen::inRange<std::uint64_t>(0, 8));
  (void)FileLogStorage::SetAside(&directory);
  directory.Restart();
  const Result<bool> formatted = FileLogStorage::IsFormatted(&directory);
  if (IsOk(formatted) && ValueOf(formatted)) {
    RC_ASSERT(ValueOf(FileLogStorage::Open(&directory, kHost))->TakeStored().m_entries == entries);
  } else {
    RC_ASSERT(IsOk(FileLogStorage::SetAside(&directory)));
    RC_ASSERT(!ValueOf(FileLogStorage::IsFormatted(&directory)));
  }
}

// Guards against a crash in `RestoreSetAside` that loses files, or that leaves an identity without its vote and log.
RC_GTEST_PROP(StorageCrashTest, RestoreOfFilesSetAsideIsAtomic, ()) {
  MemoryDirectory directory(*rc::gen::arbitrary<std::uint64_t>());
  RC_ASSERT(IsOk(FileLogStorage::Format(&directory, Identity())));
  const std::vector<LogEntry> entries{Entry(1, 1), Entry(2, 1)};
  RC_ASSERT(IsOk(ValueOf(FileLogStorage::Open(&directory, kHost))->Append(entries)));
  RC_ASSERT(IsOk(FileLogStorage::SetAside(&directory)));
  const DiskIdentity replaced{{kHost, {6}}, {}};
  RC_ASSERT(IsOk(FileLogStorage::Format(&directory, replaced)));
  directory.CrashAfter(*rc::gen::inRange<std::uint64_t>(0, 14));
  const bool done = IsOk(FileLogStorage::RestoreSetAside(&directory, 1));
  directory.Restart();
  const Result<bool> formatted = FileLogStorage::IsFormatted(&directory);
  const bool is_formatted = IsOk(formatted) && ValueOf(formatted);
  if (is_formatted) {
    const auto opened = FileLogStorage::Open(&directory, kHost);
    RC_ASSERT(IsOk(opened));
    const StoredLog stored = ValueOf(opened)->TakeStored();
    RC_ASSERT(stored.m_identity == replaced || stored.m_entries == entries);
  }
  RC_ASSERT(is_formatted || !done);
  // Whatever the crash left, the files of the first identity are still there and can be restored by hand.
  const std::vector<std::string> names = ValueOf(directory.List());
  RC_ASSERT(std::count_if(names.begin(), names.end(),
                          [](const std::string& name) { return name.ends_with("identity"); }) == 2);
}

// Guards against a restored folder whose log is not the one that was set aside.
TEST(StorageRestoreTest, RestoresFilesThatWereSetAside) {
  MemoryDirectory directory(1);
  ASSERT_TRUE(IsOk(FileLogStorage::Format(&directory, Identity())));
  const std::vector<LogEntry> entries{Entry(1, 1)};
  ASSERT_TRUE(IsOk(ValueOf(FileLogStorage::Open(&directory, kHost))->Append(entries)));
  ASSERT_TRUE(IsOk(FileLogStorage::SetAside(&directory)));
  ASSERT_TRUE(IsOk(FileLogStorage::Format(&directory, {{kHost, {6}}, {}})));
  EXPECT_EQ(ErrorOf(FileLogStorage::RestoreSetAside(&directory, 7)).m_code, ErrorCode::kStorageIo);
  ASSERT_TRUE(IsOk(FileLogStorage::RestoreSetAside(&directory, 1)));
  const StoredLog stored = ValueOf(FileLogStorage::Open(&directory, kHost))->TakeStored();
  EXPECT_EQ(stored.m_identity, Identity());
  EXPECT_EQ(stored.m_entries, entries);
  EXPECT_EQ(ValueOf(FileLogStorage::ListSetsAside(&directory)), std::vector<std::uint64_t>{2});
}

class StorageLogTest : public testing::Test {
 protected:
  StorageLogTest() { EXPECT_TRUE(IsOk(FileLogStorage::Format(&m_directory, Identity()))); }
  std::unique_ptr<FileLogStorage> Open() { return std::move(ValueOf(m_opened = Reopen())); }
  Result<std::unique_ptr<FileLogStorage>> Reopen() {
    return FileLogStorage::Open(&m_directory, kHost, kSmallSegmentBytes);
  }
  void AppendOneByOne(LogIndex from, LogIndex to) {
    const auto storage = Open();
    for (LogIndex index = from; index <= to; ++index) {
      ASSERT_TRUE(IsOk(storage->Append(std::vector<LogEntry>{Entry(index, 1)})));
    }
  }

  MemoryDirectory m_directory{1};
  Result<std::unique_ptr<FileLogStorage>> m_opened;
};

// Guards against mistaking a damaged acknowledged record for a torn tail, which would silently lose it. Every byte of
// every segment, except for the last batch, is damaged in turn.
TEST_F(StorageLogTest, RefusesCorruptionBeforeLastBatchAtEveryByte) {
  AppendOneByOne(1, 9);
  std::vector<std::string> names = ValueOf(m_directory.List());
  std::erase_if(names, [](const std::string& name) { return !name.starts_with("log-"); });
  ASSERT_GT(names.size(), 1U);
  const std::size_t last_batch = EncodeBatch(std::vector<LogEntry>{Entry(9, 1)}, 9).size();
  for (const std::string& name : names) {
    std::string& content = *m_directory.Content(name);
    const std::size_t end = content.size() - (name == names.back() ? last_batch : 0);
    for (std::size_t at = 0; at < end; ++at) {
      content[at] = static_cast<char>(~content[at]);
      const auto opened = Reopen();
      ASSERT_FALSE(IsOk(opened)) << name << " byte " << at;
      EXPECT_EQ(ErrorOf(opened).m_code, ErrorCode::kStorageCorrupt);
      content[at] = static_cast<char>(~content[at]);
    }
  }
  EXPECT_TRUE(IsOk(Reopen()));
}

// Sizes around each limit of the storage format, up to the largest payload.
std::vector<std::size_t> PayloadSizesAtLimits() {
  constexpr std::size_t kOldReaderLimit = 256 * 1024;
  return {0,
          1,
          511,
          512,
          kOldReaderLimit - 1,
          kOldReaderLimit,
          kOldReaderLimit + 1,
          1 << 20,
          kMaxEntryPayloadBytes - 1,
          kMaxEntryPayloadBytes};
}

// Guards against entries that are written and acknowledged but refused at the next start, at every size up to the
// limit: text that compresses, and random bytes that do not.
TEST_F(StorageLogTest, ReadsBackEveryPayloadSizeUpToLimit) {
  std::vector<LogEntry> expected;
  std::mt19937 random(7);
  for (const std::size_t size : PayloadSizesAtLimits()) {
    std::string text(size, 'r');
    std::string noise(size, '\0');
    std::generate(noise.begin(), noise.end(), [&random] { return static_cast<char>(random()); });
    for (const std::string& payload : {text, noise}) {
      expected.push_back({expected.size() + 1, 1, EntryKind::kPayload, payload});
      const auto storage = Open();
      ASSERT_TRUE(IsOk(storage->Append(std::vector<LogEntry>{expected.back(), Entry(expected.size() + 1, 1)}))) << size;
    }
  }
  expected.push_back(Entry(expected.size() + 1, 1));
  const auto opened = Reopen();
  ASSERT_TRUE(IsOk(opened)) << ToString(ErrorOf(opened));
  EXPECT_TRUE(ValueOf(opened)->TakeStored().m_entries == expected);
}

// Guards against an entry above the limit that is acknowledged, or that leaves the storage unusable.
TEST_F(StorageLogTest, RefusesPayloadAboveLimitAndStaysUsable) {
  const auto storage = Open();
  const LogEntry oversized{1, 1, EntryKind::kPayload, std::string(kMaxEntryPayloadBytes + 1, 'x')};
  const Status refused = storage->Append(std::vector<LogEntry>{oversized});
  ASSERT_FALSE(IsOk(refused));
  EXPECT_EQ(ErrorOf(refused).m_code, ErrorCode::kStorageEntryTooLarge);
  EXPECT_TRUE(IsOk(storage->Append(std::vector<LogEntry>{Entry(1, 1)})));
  EXPECT_EQ(Open()->TakeStored().m_entries, std::vector<LogEntry>{Entry(1, 1)});
}

// Guards against large documents that cost one disk write of their full size for each change.
TEST_F(StorageLogTest, StoresRepetitiveTextCompressed) {
  std::string text;
  for (int route = 0; route < 3000; ++route) {
    text += R"({"address":"198.18.0.)" + std::to_string(route) + R"(","port":8443,"service":"desk"},)";
  }
  const std::string batch = EncodeBatch(std::vector<LogEntry>{{1, 1, EntryKind::kPayload, text}}, 1);
  EXPECT_LT(batch.size() * 4, text.size());
}

// Replaces the flags of the first record, with a valid checksum.
void SetFlagsOfFirstRecord(std::string* segment, std::uint32_t flags) {
  constexpr std::size_t kFlagsOffset = 16;
  constexpr std::size_t kCrcOffset = 20;
  constexpr std::size_t kHeaderBytes = 24;
  std::memcpy(segment->data() + kFlagsOffset, &flags, sizeof(flags));
  std::uint32_t body_bytes = 0;
  std::memcpy(&body_bytes, segment->data() + 4, sizeof(body_bytes));
  const std::uint32_t crc = Crc32c(segment->substr(0, kCrcOffset) + segment->substr(kHeaderBytes, body_bytes));
  std::memcpy(segment->data() + kCrcOffset, &crc, sizeof(crc));
}

// Guards against setting aside the intact log of another release as if the disk were damaged: all hosts would give up
// their identities at the same restart.
TEST_F(StorageLogTest, TellsUnreadableRecordFromDamagedOne) {
  AppendOneByOne(1, 3);
  std::vector<std::string> names = ValueOf(m_directory.List());
  std::erase_if(names, [](const std::string& name) { return !name.starts_with("log-"); });
  constexpr std::uint32_t kUnknownFlag = 0x100;
  SetFlagsOfFirstRecord(m_directory.Content(names.front()), kUnknownFlag | 1);
  const auto opened = Reopen();
  ASSERT_FALSE(IsOk(opened));
  EXPECT_EQ(ErrorOf(opened).m_code, ErrorCode::kStorageUnreadable);
}

// Guards against writes after a failed sync, when the content of the disk is unknown.
TEST_F(StorageLogTest, FailsAllWritesAfterFailedSync) {
  const auto storage = Open();
  m_directory.FailNextSync();
  EXPECT_EQ(ErrorOf(storage->Append(std::vector<LogEntry>{Entry(1, 1)})).m_code, ErrorCode::kStorageSyncFailed);
  EXPECT_EQ(ErrorOf(storage->SaveVote({1, {}})).m_code, ErrorCode::kStorageSyncFailed);
}

// Guards against a log that is damaged, or a storage that is given up, because the disk had no room for a while: every
// kind of write is refused without effect and succeeds once there is room, also at the start of a segment.
TEST_F(StorageLogTest, WriteToFullDiskIsUndoneAndCanBeRepeated) {
  const auto storage = Open();
  const RaftVote vote{4, {kHost, {5}}};
  for (LogIndex index = 1; index <= 30; ++index) {
    const std::vector<LogEntry> entries{Entry(index, 1)};
    m_directory.SetFull(true);
    for (int attempt = 0; attempt < 3; ++attempt) {
      EXPECT_EQ(ErrorOf(storage->Append(entries)).m_code, ErrorCode::kStorageFull);
      EXPECT_EQ(ErrorOf(storage->SaveVote(vote)).m_code, ErrorCode::kStorageFull);
      EXPECT_EQ(ErrorOf(storage->SaveSnapshot({index, 1, {}, "state"}, 0)).m_code, ErrorCode::kStorageFull);
    }
    m_directory.SetFull(false);
    ASSERT_TRUE(IsOk(storage->Append(entries)));
  }
  ASSERT_TRUE(IsOk(storage->SaveVote(vote)));
  m_directory.Restart();
  const StoredLog stored = Open()->TakeStored();
  EXPECT_EQ(stored.m_vote, vote);
  ASSERT_EQ(stored.m_entries.size(), 30U);
  EXPECT_EQ(stored.m_entries.back(), Entry(30, 1));
}

// Guards against using the folder of another host.
TEST_F(StorageLogTest, RefusesAnotherHostsFolder) {
  const auto opened = FileLogStorage::Open(&m_directory, HostId{8});
  ASSERT_FALSE(IsOk(opened));
  EXPECT_EQ(ErrorOf(opened).m_code, ErrorCode::kStorageWrongIdentity);
}

std::unique_ptr<FileLogStorage> OpenSmall(io::PosixDirectory* directory) {
  auto opened = FileLogStorage::Open(directory, kHost, kSmallSegmentBytes);
  EXPECT_TRUE(IsOk(opened));
  return std::move(ValueOf(opened));
}

// Guards against differences between `PosixDirectory` and the `MemoryDirectory` that the other tests use, and against a
// folder being opened twice at the same time.
TEST(StoragePosixTest, KeepsEverythingAcrossRestart) {
  const std::string path = std::string(FIGHATCH_BINARY_DIR) + "/storage_posix_test";
  std::filesystem::remove_all(path);
  const RaftSnapshot snapshot{4, 1, {}, "state"};
  {
    auto directory = io::PosixDirectory::Open(path);
    ASSERT_TRUE(IsOk(directory));
    EXPECT_FALSE(IsOk(io::PosixDirectory::Open(path)));
    ASSERT_TRUE(IsOk(FileLogStorage::Format(ValueOf(directory).get(), Identity())));
    const auto storage = OpenSmall(ValueOf(directory).get());
    for (LogIndex index = 1; index <= 9; ++index) {
      ASSERT_TRUE(IsOk(storage->Append(std::vector<LogEntry>{Entry(index, 1)})));
    }
    ASSERT_TRUE(IsOk(storage->SaveSnapshot(snapshot, 4)));
    ASSERT_TRUE(IsOk(storage->SaveVote({3, {kHost, {5}}})));
  }
  auto directory = io::PosixDirectory::Open(path);
  const auto storage = OpenSmall(ValueOf(directory).get());
  const StoredLog stored = storage->TakeStored();
  EXPECT_EQ(stored.m_identity, Identity());
  EXPECT_EQ(stored.m_vote.m_term, 3U);
  EXPECT_EQ(stored.m_snapshot, snapshot);
  EXPECT_EQ(stored.m_entries.back(), Entry(9, 1));
  std::filesystem::remove_all(path);
}

// Guards against a wrong polynomial: 0xE3069283 is the published check value of CRC-32C.
TEST(StorageRecordTest, ChecksumIsCrc32c) { EXPECT_EQ(Crc32c("123456789"), 0xE3069283U); }

}  // namespace
}  // namespace fighatch
