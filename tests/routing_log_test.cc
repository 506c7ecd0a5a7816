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

// Guards against a difference that is made from a state which only shares its index with the one that the follower
// holds: the follower would keep routes that are gone.
TEST_F(RoutingLogTest, FollowerWithAnotherStateOfTheSameIndexGetsTheWholeState) {
  RoutingLog other(&m_reader);
  (void)other.Apply(1, MakeDocument(6, "80 81"));
  PublishedState follower = *other.Published();
  (void)m_log.Apply(1, MakeDocument(7, "80"));
  (void)m_log.Apply(2, DataCentreCommand{"a", true});
  ASSERT_EQ(ApplyUpdate(m_log.UpdateFrom(follower.Position()), &follower), UpdateOutcome::kApplied);
  EXPECT_EQ(follower.m_routing, m_log.Published()->m_routing);
  EXPECT_EQ(follower.Position(), m_log.Published()->Position());
}

// Guards against a follower that applies a difference to a state which is not its base, or one that was made wrongly.
TEST_F(RoutingLogTest, DifferenceThatDoesNotFitIsRefused) {
  (void)m_log.Apply(1, MakeDocument(7, "80 81"));
  const PublishedState base = *m_log.Published();
  (void)m_log.Apply(2, MakeDocument(8, "80"));
  const RoutingUpdate update = m_log.UpdateFrom(base.Position());
  PublishedState other = base;
  other.m_routing.m_routes.clear();
  other.m_digest = StateDigest(other);
  const PublishedState before = other;
  EXPECT_EQ(ApplyUpdate(update, &other), UpdateOutcome::kDigestMismatch);
  EXPECT_EQ(other.Position(), before.Position());
  EXPECT_EQ(other.m_routing, before.m_routing);
  RoutingUpdate incomplete = update;
  incomplete.m_removed_routes.clear();
  PublishedState follower = base;
  EXPECT_EQ(ApplyUpdate(incomplete, &follower), UpdateOutcome::kDigestMismatch);
  EXPECT_EQ(ApplyUpdate(update, &follower), UpdateOutcome::kApplied);
}

// Guards against parts of the state that its digest leaves out: a wrong state would go unnoticed.
TEST_F(RoutingLogTest, DigestCoversEveryPartOfTheState) {
  const PublishedState state = testing_support::MakeState();
  Route& (*route)(PublishedState&) = [](PublishedState& s) -> Route& { return s.m_routing.m_routes.begin()->second; };
  void (*const changes[])(PublishedState&, Route&) = {
      [](PublishedState& s, Route&) { ++s.m_routing.m_version; },
      [](PublishedState& s, Route&) { s.m_routing.m_routes.clear(); },
      [](PublishedState& s, Route&) {
        s.m_routing.m_services["other"] = {"other", 0};
      },
      [](PublishedState& s, Route&) { s.m_routing.m_services.begin()->second.m_cold_flows_per_second = 0.5; },
      [](PublishedState& s, Route&) { s.m_data_centres_out.insert("a"); },
      [](PublishedState&, Route& r) { ++r.m_address.m_port; },
      [](PublishedState&, Route& r) { ++r.m_address.m_address.m_bytes[15]; },
      [](PublishedState&, Route& r) { r.m_services[0].m_service = "other"; },
      [](PublishedState&, Route& r) { ++r.m_services[0].m_weight; },
      [](PublishedState&, Route& r) {
        r.m_services.push_back({"other", 1});
      },
      [](PublishedState&, Route& r) { ++r.m_priority; },
      [](PublishedState&, Route& r) { ++r.m_objective_ms; }};
  std::set<std::uint64_t> digests{StateDigest(state)};
  for (const auto change : changes) {
    PublishedState changed = state;
    change(changed, route(changed));
    EXPECT_TRUE(digests.insert(StateDigest(changed)).second) << "change " << digests.size();
  }
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
    const UpdateOutcome outcome = ApplyUpdate(log.UpdateFrom(follower.Position()), &follower);
    RC_ASSERT((outcome == UpdateOutcome::kApplied) == (log.Published()->m_index > before));
    RC_ASSERT(follower.m_index == 0 || follower.m_digest == StateDigest(follower));
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
