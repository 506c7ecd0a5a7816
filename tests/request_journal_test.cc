#include "fighatch/request_journal.h"

#include <gtest/gtest.h>

#include "request_fakes.h"

namespace fighatch::testing {
namespace {

constexpr TimePoint kNow = TimePoint(seconds(100));

RequestId IdOf(std::uint64_t counter) { return {HostId{1}, Incarnation{1}, 100'000, counter}; }

// Guards against evicting an entry to make room, which would let its request run a second time.
TEST(RequestJournalTest, FullJournalRefusesAndKeepsWhatItHas) {
  RequestJournal journal({2, 1UL << 20});
  ASSERT_NE(journal.Insert(IdOf(1), 7, kNow + seconds(60)), nullptr);
  ASSERT_NE(journal.Insert(IdOf(2), 7, kNow + seconds(60)), nullptr);
  EXPECT_EQ(journal.Insert(IdOf(3), 7, kNow + seconds(60)), nullptr);
  EXPECT_NE(journal.Find(IdOf(1)), nullptr);
  journal.Expire(kNow + milliseconds(59'999));
  EXPECT_EQ(journal.size(), 2U);
  journal.Expire(kNow + seconds(60));
  EXPECT_EQ(journal.size(), 0U);
}

// Guards against unbounded memory for responses, and against a wrong count of their bytes.
TEST(RequestJournalTest, ResponsesAreBoundedAndCounted) {
  RequestJournal journal({100, 40'000});
  std::uint64_t counter = 0;
  while (journal.HasRoomForResponse()) {
    JournalEntry* entry = journal.Insert(IdOf(++counter), 7, kNow + seconds(60));
    journal.Finish(entry, {Outcome::kAnswered, ErrorCode::kOk, MakeResponse(200, std::string(15'000, 'x'))});
  }
  EXPECT_LE(journal.ResponseBytes(), 40'000U);
  EXPECT_GT(counter, 0U);
  journal.Expire(kNow + seconds(60));
  EXPECT_EQ(journal.ResponseBytes(), 0U);
  EXPECT_TRUE(journal.HasRoomForResponse());
}

// Guards against a later answer or handover record changing a final state.
TEST(RequestJournalTest, FinalStatesDoNotChange) {
  RequestJournal journal;
  JournalEntry* entry = journal.Insert(IdOf(1), 7, kNow + seconds(60));
  journal.Finish(entry, MakeErrorAnswer(ErrorCode::kRequestShed));
  journal.Finish(entry, {Outcome::kAnswered, ErrorCode::kOk, MakeResponse(200, "late")});
  EXPECT_EQ(AnswerOf(*entry), MakeErrorAnswer(ErrorCode::kRequestShed));
  JournalRecord record = RequestJournal::ToRecord(IdOf(1), *entry, kNow);
  record.m_state = JournalState::kDispatched;
  EXPECT_TRUE(journal.Import(record, kNow));
  EXPECT_EQ(entry->m_state, JournalState::kRefused);
}

// Guards against a full journal answering "not run" for a request that a later resend may run.
TEST(RequestJournalTest, FullJournalAnswersUnknown) {
  RequestEngineSettings settings = MakeSettings(1);
  settings.m_journal.m_entries = 1;
  EngineFixture fixture(2, 2, settings);
  EXPECT_EQ(All<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId()))).size(), 1U);
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId()))).m_response),
            "unknown 5003");
}

}  // namespace
}  // namespace fighatch::testing
