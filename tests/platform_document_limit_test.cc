#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "fighatch/routing_log.h"
#include "fighatch/sync_message.h"
#include "io/plain_message_socket.h"
#include "platform/control_calls.h"
#include "platform/document.h"

namespace fighatch {
namespace {

// A document with as many routes as fit into `bytes`, padded to that size. `route` makes the text of one route.
std::string MakeDocument(std::size_t bytes, std::string (*route)(std::size_t number)) {
  std::string text = R"({"Version":7,"Services":[{"Name":"s"}],"Routes":[)" + route(0);
  const std::string end = "]}";
  for (std::size_t number = 1;; ++number) {
    const std::string next = "," + route(number);
    if (text.size() + next.size() + end.size() > bytes) break;
    text += next;
  }
  text += end;
  return text + std::string(bytes - text.size(), ' ');
}

std::string AddressOf(std::size_t number) {
  return "10." + std::to_string(number >> 16U) + "." + std::to_string(number >> 8U & 255U) + "." +
         std::to_string(number & 255U);
}

std::string ShortestRoute(std::size_t number) {
  return R"({"Host":")" + AddressOf(number) + R"(","PathPrefix":"/1/","TimeoutMs":1,"Service":"s"})";
}

std::string LongSplitRoute(std::size_t number) {
  std::string text = R"({"Host":")" + AddressOf(number) + R"(","PathPrefix":"/1/","TimeoutMs":1,"Split":[)";
  for (int entry = 0; entry < 200; ++entry) text += R"({"Service":"s","Weight":1},)";
  text.back() = ']';
  return text + "}";
}

class DocumentLimitTest : public testing::TestWithParam<std::string (*)(std::size_t)> {
 protected:
  static PublishedState StateOf(const std::string& text) {
    Result<RoutingState> routing = platform::DocumentFormat().Read(text);
    EXPECT_TRUE(IsOk(routing));
    return {1, IsOk(routing) ? ValueOf(routing) : RoutingState{}, {}};
  }
};

// Guards against a stage whose limit lies below that of the stage before: a document that was accepted would be lost
// there. The largest document passes the log entry, the snapshot, and the message to balancers, whole and as a
// difference that replaces every route.
TEST_P(DocumentLimitTest, LargestDocumentFitsEveryStage) {
  const std::string text = MakeDocument(kMaxDocumentBytes, GetParam());
  ASSERT_EQ(text.size(), kMaxDocumentBytes);
  const std::string command = EncodeRoutingCommand(DocumentCommand{7, text});
  EXPECT_LE(command.size(), kMaxEntryPayloadBytes);
  const platform::DocumentFormat reader;
  RoutingLog log(&reader);
  const Result<RoutingCommand> decoded = DecodeRoutingCommand(command);
  ASSERT_TRUE(IsOk(decoded));
  ASSERT_TRUE(IsOk(log.Apply(1, ValueOf(decoded))));
  RoutingLog restored(&reader);
  const std::string snapshot = log.EncodeSnapshot();
  ASSERT_TRUE(IsOk(restored.Restore(std::as_bytes(std::span(snapshot)))));
  EXPECT_EQ(restored.Document(), text);

  SyncReply reply;
  reply.m_update = log.UpdateFrom({});
  const std::vector<std::byte> whole = EncodeSyncReply(reply);
  EXPECT_LE(whole.size(), io::PlainMessageSocket::kMaxPayloadBytes);
  const Result<SyncReply> received = DecodeSyncReply(whole);
  ASSERT_TRUE(IsOk(received));
  EXPECT_EQ(ValueOf(received).m_update, reply.m_update);

  PublishedState other = StateOf(text);
  for (auto& [address, route] : other.m_routing.m_routes) route.m_priority = 9;
  reply.m_update = MakeUpdate(other, StateOf(text));
  EXPECT_LE(EncodeSyncReply(reply).size(), io::PlainMessageSocket::kMaxPayloadBytes);
}

INSTANTIATE_TEST_SUITE_P(Routes, DocumentLimitTest, testing::Values(ShortestRoute, LongSplitRoute));

std::string WithSeparators(std::size_t number) {
  std::string text = std::to_string(number);
  for (std::size_t at = text.size(); at > 3;) text.insert(at -= 3, ",");
  return text;
}

// Guards against limits that no longer follow the order in which a document passes the stages, and against a table of
// limits in docs/design.md that differs from the code.
TEST(DocumentLimitOrderTest, LimitsRiseAlongTheWayOfADocument) {
  std::ifstream page(FIGHATCH_SOURCE_DIR "/docs/design.md");
  const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
  const std::vector<std::pair<std::string, std::size_t>> rows = {
      {"kMaxDocumentBytes", kMaxDocumentBytes},
      {"kMaxEntryPayloadBytes", kMaxEntryPayloadBytes},
      {"PlainMessageSocket::kMaxPayloadBytes", io::PlainMessageSocket::kMaxPayloadBytes}};
  for (const auto& [name, bytes] : rows) {
    const std::string row = "| `" + name + "` | " + WithSeparators(bytes) + " |";
    EXPECT_NE(text.find(row), std::string::npos) << row;
  }
  EXPECT_LT(kMaxDocumentBytes, kMaxEntryPayloadBytes);
  EXPECT_LT(kMaxEntryPayloadBytes, io::PlainMessageSocket::kMaxPayloadBytes);
}

}  // namespace
}  // namespace fighatch
