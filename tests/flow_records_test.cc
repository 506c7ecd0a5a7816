#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "fighatch/envelope.h"
#include "flow_test_support.h"

namespace fighatch {
namespace {

FlowRecord RecordOf(std::uint64_t fingerprint, std::uint64_t target, std::uint32_t tick = 0) {
  return {fingerprint, TargetId{target}, ServiceId{1}, tick};
}

// Guards against records that are lost or reappear when others are removed from the same probe sequence.
RC_GTEST_PROP(FlowRecordsTest, BehavesLikeAMap, ()) {
  FlowRecords records(24);
  std::map<std::uint64_t, std::uint64_t> model;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
      200, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(1, 40)));
  for (const auto& [action, key] : steps) {
    if (action == 0) {
      records.Erase(key, ServiceId{1});
      model.erase(key);
    } else {
      const bool has_room = model.contains(key) || model.size() < 24;
      RC_ASSERT(records.Insert(RecordOf(key, key + 100)) == has_room);
      if (has_room) model.emplace(key, key + 100);
    }
    RC_ASSERT(records.size() == model.size());
    for (std::uint64_t wanted = 1; wanted < 40; ++wanted) {
      const FlowRecord* found = records.Find(wanted, ServiceId{1});
      RC_ASSERT((found != nullptr) == model.contains(wanted));
      if (found != nullptr) RC_ASSERT(found->m_target.m_value == wanted + 100);
    }
  }
}

// Guards against a record that changes its flow's target.
TEST(FlowRecordsTest, KeepsTheFirstTargetOfAFlow) {
  FlowRecords records(4);
  EXPECT_TRUE(records.Insert(RecordOf(7, 1, 5)));
  EXPECT_TRUE(records.Insert(RecordOf(7, 2, 9)));
  EXPECT_EQ(records.Find(7, ServiceId{1})->m_target, TargetId{1});
  EXPECT_EQ(records.Find(7, ServiceId{1})->m_last_seen, 9U);
  EXPECT_EQ(records.Find(7, ServiceId{2}), nullptr);
}

// Guards against expired records that a sweep misses because a removal moves them back to a visited position.
TEST(FlowRecordsTest, SweepRemovesWhatHasExpired) {
  FlowRecords records(1000);
  for (std::uint64_t key = 1; key <= 1000; ++key) ASSERT_TRUE(records.Insert(RecordOf(key, 1, key % 2)));
  records.Sweep(2 * records.PositionCount() + 1000, [](const FlowRecord& record) { return record.m_last_seen == 0; });
  EXPECT_EQ(records.size(), 500U);
}

// Guards against recent flows that a visit skips together with their block, and against older ones that it still finds.
TEST(RecentFlowsTest, VisitsExactlyTheRecentlySeenFlows) {
  RecentFlows recent(200);
  std::map<std::size_t, std::uint32_t> model;
  for (std::uint64_t step = 0; step < 3000; ++step) {
    const std::size_t position = step * 7919 % recent.size();
    const auto tick = static_cast<std::uint32_t>(step / 10);
    recent.Put(position, RecordOf(position, 1, tick));
    model[position] = tick;
    if (step % 100 != 0) continue;
    std::map<std::size_t, std::uint32_t> visited;
    recent.RemoveIf(tick, 5, [&](const FlowRecord& record) {
      visited[record.m_fingerprint] = record.m_last_seen;
      return record.m_fingerprint % 3 == 0;
    });
    std::erase_if(model, [tick](const auto& entry) { return tick - entry.second > 5; });
    EXPECT_EQ(visited, model);
    std::erase_if(model, [](const auto& entry) { return entry.first % 3 == 0; });
  }
}

// Guards against records that are lost with a message, and against a final flag that overtakes them.
TEST(RecordTransferTest, ResendsUntilAcknowledgedAndMarksTheEndLast) {
  RecordTransferOptions options;
  options.m_self = HostId{1};
  RecordTransfer transfer(options);
  for (std::uint64_t key = 1; key <= 50; ++key) transfer.QueueBulk(HostId{2}, RecordOf(key, 1));
  transfer.QueueFinal(HostId{2}, 7);
  const auto first = transfer.Tick(AtMs(1000));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].m_message.m_records.size(), kMaxRecordsInMessage);
  EXPECT_TRUE(transfer.Tick(AtMs(1100)).empty());
  const auto second = transfer.Tick(AtMs(1250));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].m_message.m_sequence, first[0].m_message.m_sequence);
  transfer.OnAck({kFlowRecordsVersion, HostId{2}, 0, first[0].m_message.m_sequence});
  const auto last = transfer.Tick(AtMs(1260));
  ASSERT_EQ(last.size(), 1U);
  EXPECT_TRUE(last[0].m_message.m_final);
  EXPECT_EQ(last[0].m_message.m_records.size(), 50 - kMaxRecordsInMessage);
  transfer.OnAck({kFlowRecordsVersion, HostId{2}, 0, last[0].m_message.m_sequence});
  EXPECT_TRUE(transfer.IsIdle());
}

// Guards against a bulk transfer that exceeds its rate limit and floods the network.
TEST(RecordTransferTest, RespectsTheBulkRateLimit) {
  RecordTransferOptions options;
  options.m_bulk_bytes_per_second = 24000;
  RecordTransfer transfer(options);
  for (std::uint64_t key = 1; key <= 5000; ++key) transfer.QueueBulk(HostId{2}, RecordOf(key, 1));
  std::size_t records = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    for (const OutgoingRecords& send : transfer.Tick(AtMs(ms))) {
      records += send.m_message.m_records.size();
      transfer.OnAck({kFlowRecordsVersion, HostId{2}, 0, send.m_message.m_sequence});
    }
  }
  EXPECT_GT(records, 800U);
  EXPECT_LE(records, 1100U);
}

// Guards against a codec that loses fields, and against decoders that accept damaged or oversized messages.
TEST(FlowRecordsMessageTest, RoundTripsAndRejectsMalformedMessages) {
  FlowRecordsMessage message;
  message.m_sender = HostId{3};
  message.m_shard = 1;
  message.m_shards = 4;
  message.m_sequence = 77;
  message.m_final = true;
  message.m_records = {{1, TargetId{2}, ServiceId{3}, 4}};
  const auto bytes = EncodeFlowRecords(message);
  EXPECT_EQ(ValueOf(DecodeFlowRecords(bytes)), message);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeFlowRecords(std::span(bytes).first(size)))) << size;
  }
  auto other_version = bytes;
  other_version[1] = std::byte{9};
  EXPECT_EQ(ErrorOf(DecodeFlowRecords(other_version)).m_code, ErrorCode::kMessageUnknownVersion);
  message.m_records.resize(kMaxRecordsInMessage + 1);
  EXPECT_EQ(ErrorOf(DecodeFlowRecords(EncodeFlowRecords(message))).m_code, ErrorCode::kMessageOversized);
  message.m_records.resize(2);
  const std::size_t one = bytes.size();
  EXPECT_EQ(EncodeFlowRecords(message).size() - one, 24U);
  const FlowRecordsAck ack{kFlowRecordsVersion, HostId{2}, 1, 9};
  EXPECT_EQ(ValueOf(DecodeFlowRecordsAck(EncodeFlowRecordsAck(ack))), ack);
}

// Guards against batches that the channel refuses as too long. A limit of 48 records gave messages of 1,187 bytes,
// while 1,134 fit a datagram.
TEST(FlowRecordsMessageTest, AFullMessageFitsADatagram) {
  FlowRecordsMessage message;
  message.m_records.resize(kMaxRecordsInMessage);
  EXPECT_LE(EncodeFlowRecords(message).size(), kMaxUdpPayloadBytes);
  message.m_records.resize(kMaxRecordsInMessage + 1);
  EXPECT_GT(EncodeFlowRecords(message).size(), kMaxUdpPayloadBytes) << "room for more records is left unused";
}

}  // namespace
}  // namespace fighatch
