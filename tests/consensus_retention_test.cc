// Guards against a log whose retained entries outgrow the memory and the disk of a control host.
#include <gtest/gtest.h>

#include <numeric>

#include "fighatch/file_log_storage.h"
#include "fighatch/raft_node.h"
#include "memory_directory.h"

namespace fighatch {
namespace {

using testing_support::MemoryDirectory;

constexpr std::size_t kPayloadBytes = 580'000;
// The caller takes a snapshot after this many entries.
constexpr LogIndex kSnapshotEntries = 16;
constexpr RaftPeer kSelf{HostId{1}, kFoundingDiskId};
constexpr RaftPeer kOther{HostId{2}, kFoundingDiskId};

// A leader whose group has one voter, and a learner that never answers.
class RetentionTest : public testing::Test {
 protected:
  RetentionTest() {
    (void)FileLogStorage::Format(&m_directory, {kSelf, {{{kSelf, true}, {kOther, false}}, {}}});
    Open();
  }

  void Open() {
    auto opened = FileLogStorage::Open(&m_directory, kSelf.m_host);
    ASSERT_TRUE(IsOk(opened));
    m_storage = std::move(ValueOf(opened));
    m_node.emplace(RaftOptions{}, m_storage->TakeStored(), m_now, Random(1));
    m_now += std::chrono::seconds(1);
    m_node->Tick(m_now);
    (void)Step();
  }

  RaftOutput Step() {
    RaftOutput output = m_node->TakeOutput();
    for (RaftOutput last = output; last.HasDataToPersist(); last = m_node->TakeOutput()) {
      EXPECT_TRUE(IsOk(Persist(last, m_storage.get())));
      m_node->OnPersisted(m_now);
    }
    return output;
  }

  void AddEntries(int count) {
    for (int added = 0; added < count; ++added) {
      ASSERT_TRUE(IsOk(m_node->Propose(m_now, std::string(kPayloadBytes, 'x'))));
      (void)Step();
      if (m_node->CommitIndex() % kSnapshotEntries != 0) continue;
      const auto [snapshot, keep_from] = m_node->Compact(m_node->CommitIndex(), std::string(kPayloadBytes, 's'));
      ASSERT_TRUE(snapshot);
      ASSERT_TRUE(IsOk(m_storage->SaveSnapshot(*snapshot, keep_from)));
    }
  }

  [[nodiscard]] std::size_t LogBytes() const {
    std::size_t bytes = 0;
    for (LogIndex index = m_node->Log().BaseIndex() + 1; index <= m_node->Log().LastIndex(); ++index) {
      bytes += m_node->Log().At(index).m_payload.size();
    }
    return bytes;
  }

  [[nodiscard]] std::size_t FileBytes() {
    const std::vector<std::string> names = ValueOf(m_directory.List());
    return std::accumulate(names.begin(), names.end(), std::size_t{0}, [this](std::size_t sum, const auto& name) {
      return sum + ValueOf(m_directory.Read(name)).size();
    });
  }

  // What is retained before the snapshot, and the entries since then.
  const std::size_t m_max_log_bytes = RaftOptions{}.m_trailing_bytes + kSnapshotEntries * kPayloadBytes;

  MemoryDirectory m_directory{1};
  TimePoint m_now{std::chrono::seconds(1)};
  std::unique_ptr<FileLogStorage> m_storage;
  std::optional<RaftNode> m_node;
};

// Guards against a control host that passes its memory limit after some hundred changes of a large document, and again
// after each restart.
TEST_F(RetentionTest, LargeEntriesAreBounded) {
  AddEntries(400);
  EXPECT_LE(LogBytes(), m_max_log_bytes);
  // Files are removed as whole segments, and the snapshot is stored as well.
  EXPECT_LE(FileBytes(), m_max_log_bytes + 3 * FileLogStorage::kSegmentBytes);
  Open();
  EXPECT_LE(LogBytes(), m_max_log_bytes + FileLogStorage::kSegmentBytes);
  AddEntries(20);
  EXPECT_LE(LogBytes(), m_max_log_bytes);
}

// Guards against a new host that is sent hundreds of entries although the snapshot and a few of them would do, so that
// it catches up too late to outlast the next lost disk.
TEST_F(RetentionTest, NewHostStartsFromTheSnapshot) {
  AddEntries(400);
  m_node->Receive(m_now,
                  {kOther, kSelf, m_node->CurrentTerm(), AppendReply{false, 0, m_now.time_since_epoch().count()}});
  const RaftOutput output = Step();
  ASSERT_EQ(output.m_messages.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SnapshotChunk>(output.m_messages[0].m_body));
}

}  // namespace
}  // namespace fighatch
