#include "fighatch/request_id.h"

#include <gtest/gtest.h>

#include <set>

namespace fighatch {
namespace {

RequestIdKey KeyOf(std::uint8_t fill) {
  RequestIdKey key;
  key.fill(fill);
  return key;
}

constexpr TimePoint kNow = TimePoint(std::chrono::seconds(5));

// Guards against an id that loses a field when it is formatted and parsed.
TEST(RequestIdTest, ParsesWhatItFormats) {
  const RequestIdCodec codec(KeyOf(1));
  const RequestId id = RequestIdIssuer(HostId{7}, Incarnation{3}, 1, 2).Issue(kNow);
  EXPECT_EQ(ValueOf(codec.Parse(codec.Format(id))), id);
  EXPECT_EQ(ValidUntil(id), kNow + std::chrono::seconds(30));
}

// Guards against forged ids, and against several text forms of one id, which would pass as different ids.
TEST(RequestIdTest, RefusesEveryChangedCharacterAndOtherSpellings) {
  const RequestIdCodec codec(KeyOf(1));
  const std::string text = codec.Format({HostId{7}, Incarnation{3}, 5000, 12});
  for (std::size_t index = 0; index < text.size(); ++index) {
    for (const char replacement : {'0', '9', '.', 'A', '+', '\0'}) {
      std::string changed = text;
      changed[index] = replacement;
      if (changed == text) continue;
      EXPECT_FALSE(IsOk(codec.Parse(changed))) << changed;
    }
    EXPECT_FALSE(IsOk(codec.Parse(text.substr(0, index))));
  }
  std::string padded = text;
  padded.insert(3, "0");
  EXPECT_FALSE(IsOk(codec.Parse(padded)));
  EXPECT_FALSE(IsOk(codec.Parse(text + "0")));
}

// Guards against a key rotation that invalidates ids in use, and against ids under a key that is no longer accepted.
TEST(RequestIdTest, AcceptsThePreviousKeyOnly) {
  const std::string text = RequestIdCodec(KeyOf(1)).Format({HostId{7}, Incarnation{3}, 5000, 12});
  EXPECT_TRUE(IsOk(RequestIdCodec(KeyOf(2), KeyOf(1)).Parse(text)));
  EXPECT_FALSE(IsOk(RequestIdCodec(KeyOf(3), KeyOf(2)).Parse(text)));
}

// Guards against two shards of one incarnation issuing the same id.
TEST(RequestIdTest, ShardsIssueDistinctIds) {
  std::set<RequestId> ids;
  for (std::uint32_t shard = 0; shard < 3; ++shard) {
    RequestIdIssuer issuer(HostId{7}, Incarnation{3}, shard, 3);
    for (int count = 0; count < 100; ++count) EXPECT_TRUE(ids.insert(issuer.Issue(kNow)).second);
  }
}

}  // namespace
}  // namespace fighatch
