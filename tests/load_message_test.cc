#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <limits>

#include "fighatch/load_summary.h"
#include "fighatch/messages.h"
#include "fighatch/offered_load.h"

namespace fighatch {
namespace {

OfferedLoad MakeLoad() {
  return {kOfferedLoadVersion, HostId{4}, 300, {{"desk", 1, 5.77}, {"desk", 2, 20.18}, {"export", 0, 1.72}}};
}

LoadSummary MakeSummary() {
  return {kLoadSummaryVersion, HostId{4}, "b", 41, 22, true, {{0x1001, 2}, {0xFFFFFFFF, 65535}}, MakeLoad().m_rates};
}

// Guards against fields that are lost or change on the wire.
TEST(LoadMessageTest, RoundTrip) {
  const Result<OfferedLoad> load = DecodeOfferedLoad(EncodeOfferedLoad(MakeLoad()));
  ASSERT_TRUE(IsOk(load));
  EXPECT_EQ(ValueOf(load), MakeLoad());
  const Result<LoadSummary> summary = DecodeLoadSummary(EncodeLoadSummary(MakeSummary()));
  ASSERT_TRUE(IsOk(summary));
  EXPECT_EQ(ValueOf(summary), MakeSummary());
  EXPECT_EQ(MessageTypeText(MessageType::kOfferedLoad), "offered_load");
  EXPECT_EQ(MessageTypeText(MessageType::kLoadSummary), "load_summary");
}

// Guards against rates that are negative, not a number or out of range in the sums of the receivers.
TEST(LoadMessageTest, RatesAreClamped) {
  OfferedLoad load = MakeLoad();
  load.m_rates[0].m_flows_per_second = -1;
  load.m_rates[1].m_flows_per_second = std::numeric_limits<double>::quiet_NaN();
  load.m_rates[2].m_flows_per_second = std::numeric_limits<double>::infinity();
  const Result<OfferedLoad> decoded = DecodeOfferedLoad(EncodeOfferedLoad(load));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).m_rates[0].m_flows_per_second, 0);
  EXPECT_EQ(ValueOf(decoded).m_rates[1].m_flows_per_second, 0);
  EXPECT_EQ(ValueOf(decoded).m_rates[2].m_flows_per_second, OfferedRate::kMaxFlowsPerSecond);
}

// Guards against decoders that trust the lengths in a truncated message, accept bytes behind it, or read the fields of
// another version.
TEST(LoadMessageTest, TruncationsAppendixAndOtherVersionsAreRefused) {
  std::vector<std::byte> load = EncodeOfferedLoad(MakeLoad());
  std::vector<std::byte> summary = EncodeLoadSummary(MakeSummary());
  for (std::size_t size = 0; size < load.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeOfferedLoad(std::span(load).first(size)))) << size;
  }
  for (std::size_t size = 0; size < summary.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeLoadSummary(std::span(summary).first(size)))) << size;
  }
  load[1] = summary[1] = std::byte{2};
  EXPECT_EQ(ErrorOf(DecodeOfferedLoad(load)).m_code, ErrorCode::kMessageUnknownVersion);
  EXPECT_EQ(ErrorOf(DecodeLoadSummary(summary)).m_code, ErrorCode::kMessageUnknownVersion);
  load[1] = summary[1] = std::byte{1};
  load.push_back({});
  summary.push_back({});
  EXPECT_EQ(ErrorOf(DecodeOfferedLoad(load)).m_code, ErrorCode::kMessageMalformed);
  EXPECT_EQ(ErrorOf(DecodeLoadSummary(summary)).m_code, ErrorCode::kMessageMalformed);
}

// Guards against memory that a forged length makes a decoder allocate.
TEST(LoadMessageTest, OversizedLengthsAreRefused) {
  constexpr std::array<std::byte, 6> kHugeSize{std::byte{0xFF}, std::byte{0xFF}, std::byte{0xFF},
                                               std::byte{0xFF}, std::byte{0xFF}, std::byte{0x0F}};
  // Each byte in turn is replaced by a huge number; some of the bytes are lengths.
  const auto replace = [&kHugeSize](std::vector<std::byte> bytes, std::size_t index) {
    bytes[index] = kHugeSize.back();
    bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(index), kHugeSize.begin(), kHugeSize.end() - 1);
    return bytes;
  };
  const std::vector<std::byte> load = EncodeOfferedLoad({kOfferedLoadVersion, HostId{4}, 1, {}});
  EXPECT_EQ(ErrorOf(DecodeOfferedLoad(replace(load, load.size() - 1))).m_code, ErrorCode::kMessageMalformed);
  const std::vector<std::byte> summary = EncodeLoadSummary({kLoadSummaryVersion, HostId{4}, "", 1, 1, false, {}, {}});
  for (const std::size_t index : {std::size_t{6}, summary.size() - 3, summary.size() - 2, summary.size() - 1}) {
    EXPECT_EQ(ErrorOf(DecodeLoadSummary(replace(summary, index))).m_code, ErrorCode::kMessageMalformed) << index;
  }
  EXPECT_EQ(ErrorOf(DecodeOfferedLoad(std::vector<std::byte>(OfferedLoad::kMaxBytes + 1, std::byte{1}))).m_code,
            ErrorCode::kMessageOversized);
  EXPECT_EQ(ErrorOf(DecodeLoadSummary(std::vector<std::byte>(LoadSummary::kMaxBytes + 1, std::byte{1}))).m_code,
            ErrorCode::kMessageOversized);
}

// Guards against a largest permitted message that exceeds the limit on its bytes, so that all receivers refuse it.
TEST(LoadMessageTest, LargestMessagesAreAccepted) {
  const OfferedRate rate{std::string(kMaxServiceNameBytes, 's'), 0xFFFFFFFF, OfferedRate::kMaxFlowsPerSecond};
  OfferedLoad load{kOfferedLoadVersion, HostId{0xFFFFFFFF}, ~std::uint64_t{0}, {kMaxOfferedRates, rate}};
  EXPECT_TRUE(IsOk(DecodeOfferedLoad(EncodeOfferedLoad(load))));
  LoadSummary summary{
      kLoadSummaryVersion, HostId{4}, std::string(LoadSummary::kMaxDataCentreBytes, 'd'),      ~std::uint64_t{0},
      0xFFFFFFFF,          true,      {LoadSummary::kMaxLoads, CookieLoad{0xFFFFFFFF, 65535}}, load.m_rates};
  EXPECT_TRUE(IsOk(DecodeLoadSummary(EncodeLoadSummary(summary))));
}

// Guards against a corpus that no decoder reads beyond its first bytes.
TEST(LoadMessageTest, CorpusDecodes) {
  const auto read = [](const char* name) {
    std::ifstream file(std::filesystem::path(FIGHATCH_SOURCE_DIR "/fuzz/corpus/load_message") / name, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto bytes = std::as_bytes(std::span(text));
    return std::vector<std::byte>(bytes.begin(), bytes.end());
  };
  EXPECT_TRUE(IsOk(DecodeOfferedLoad(read("offered"))));
  EXPECT_TRUE(IsOk(DecodeLoadSummary(read("summary"))));
}

}  // namespace
}  // namespace fighatch
