#include "fighatch/routing_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fighatch/random.h"
#include "port_reader.h"

namespace fighatch {
namespace {

using testing_support::DrawDataCentreCommand;
using testing_support::DrawPorts;
using testing_support::MakeDocument;
using testing_support::PortReader;

class RoutingLogTest : public testing::Test {
 protected:
  PortReader m_reader;
  RoutingLog m_log{&m_reader};
};

// Guards against an older document, or other content with the same version, that replaces the newest document.
TEST_F(RoutingLogTest, HighestVersionIsInForce) {
  EXPECT_TRUE(ValueOf(m_log.Apply(1, MakeDocument(7, "80"))));
  EXPECT_FALSE(ValueOf(m_log.Apply(2, MakeDocument(5, "81"))));
  EXPECT_FALSE(ValueOf(m_log.Apply(3, MakeDocument(7, "82"))));
  EXPECT_TRUE(ValueOf(m_log.Apply(4, MakeDocument(9, "83"))));
  EXPECT_EQ(m_log.Document(), "9 83");
  EXPECT_EQ(m_log.Published()->m_index, 4U);
}

// Guards against a malformed document that comes into force.
TEST_F(RoutingLogTest, MalformedDocumentChangesNothing) {
  (void)m_log.Apply(1, MakeDocument(7, "80"));
  EXPECT_FALSE(IsOk(m_log.Apply(2, DocumentCommand{8, "x"})));
  EXPECT_EQ(m_log.Document(), "7 80");
}

// Guards against data centres that return to service because of a document, a snapshot or a repeated command.
TEST_F(RoutingLogTest, DataCentresOutSurviveDocumentsAndSnapshots) {
  (void)m_log.Apply(1, MakeDocument(1, "80"));
  EXPECT_TRUE(ValueOf(m_log.Apply(2, DataCentreCommand{"a", true})));
  EXPECT_FALSE(ValueOf(m_log.Apply(3, DataCentreCommand{"a", true})));
  (void)m_log.Apply(4, MakeDocument(2, "81"));
  RoutingLog restored(&m_reader);
  const std::string snapshot = m_log.EncodeSnapshot();
  ASSERT_TRUE(IsOk(restored.Restore(std::as_bytes(std::span(snapshot)))));
  EXPECT_EQ(restored.Published()->m_data_centres_out, std::set<std::string>{"a"});
  EXPECT_EQ(restored.Published()->m_index, 4U);
  EXPECT_EQ(restored.Document(), "2 81");
  EXPECT_TRUE(ValueOf(restored.Apply(5, DataCentreCommand{"a", false})));
  EXPECT_TRUE(restored.Published()->m_data_centres_out.empty());
}

// Guards against a balancer whose routes differ from those of the control hosts after it has missed updates.
RC_GTEST_PROP(RoutingLogProperty, UpdatesLeadToThePublishedState, (std::uint64_t seed)) {
  Random random(seed);
  PortReader reader;
  RoutingLog log(&reader);
  PublishedState follower;
  std::uint64_t version = 0;
  for (LogIndex index = 1; index <= 60; ++index) {
    if (random.Below(4) == 0) {
      (void)log.Apply(index, DrawDataCentreCommand(&random));
    } else {
      version += random.Below(3);
      (void)log.Apply(index, MakeDocument(version, DrawPorts(&random)));
    }
    if (random.Below(5) != 0) continue;
    const std::uint64_t before = follower.m_index;
    const bool taken = ApplyUpdate(log.UpdateFrom(follower.m_index), &follower);
    RC_ASSERT(taken == (log.Published()->m_index > before));
    RC_ASSERT(follower.m_routing == log.Published()->m_routing);
    RC_ASSERT(follower.m_data_centres_out == log.Published()->m_data_centres_out);
  }
}

// Guards against a host that replays the log at a restart and arrives at another state than the hosts that applied it
// entry by entry, also with malformed documents and with documents of equal and lower versions.
RC_GTEST_PROP(RoutingLogProperty, ReplayLeadsToTheSameState, (std::uint64_t seed)) {
  Random random(seed);
  PortReader reader;
  RoutingLog applied(&reader);
  RoutingLog replayed(&reader);
  LogIndex index = 0;
  for (int batch = 0; batch < 4; ++batch) {
    std::vector<std::pair<LogIndex, RoutingCommand>> commands;
    for (std::uint64_t count = random.Below(12); count > 0; --count) {
      const std::uint64_t version = random.Below(10);
      RoutingCommand command = DrawDataCentreCommand(&random);
      if (random.Below(4) != 0) command = MakeDocument(version, std::to_string(80 + random.Below(20)));
      if (random.Below(6) == 0) command = DocumentCommand{version, "x"};
      commands.emplace_back(++index, command);
      (void)applied.Apply(index, command);
    }
    (void)replayed.Replay(commands);
    RC_ASSERT(replayed.EncodeSnapshot() == applied.EncodeSnapshot());
    RC_ASSERT(replayed.Published()->m_index == applied.Published()->m_index);
    RC_ASSERT(replayed.Published()->m_routing == applied.Published()->m_routing);
  }
}

}  // namespace
}  // namespace fighatch
