#include "fighatch/membership.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "../bench/membership_node.h"

namespace fighatch {
namespace {

using bench::MembershipNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipTest : public ::testing::Test {
 protected:
  void Start(std::uint32_t host, std::uint64_t incarnation = 1, std::uint16_t data_centre = 1) {
    const std::vector<HostId> remote_seeds = data_centre == 1 ? std::vector<HostId>{{9}} : std::vector<HostId>{{1}};
    const auto settings = bench::MembershipSettingsOf(host, data_centre, incarnation, {{1}, {2}, {9}}, remote_seeds);
    m_network.Add({host}, std::make_unique<MembershipNode>(settings, host));
  }
  void StartFour() {
    for (std::uint32_t host = 1; host <= 4; ++host) Start(host);
    m_network.RunFor(seconds(5));
  }
  Membership& At(std::uint32_t host) { return m_network.Find({host})->Get(); }
  std::size_t LiveAt(std::uint32_t host) { return At(host).LiveMembers().size(); }
  bool HasEvent(std::uint32_t at, MembershipEventKind kind, std::uint32_t about) {
    const auto& events = m_network.Find({at})->Events();
    return std::any_of(events.begin(), events.end(), [&](const auto& event) {
      return event.m_event.m_kind == kind && event.m_event.m_member.m_host == HostId{about};
    });
  }

  bench::VirtualNetwork<MembershipNode> m_network{{}, 1};
};

// Guards against a coordinator that is not replaced after its death.
TEST_F(MembershipTest, ReplacesADeadCoordinatorWithinTwoSeconds) {
  StartFour();
  EXPECT_EQ(At(4).Coordinator()->m_host, HostId{1});
  m_network.Remove({1});
  m_network.RunFor(seconds(2));
  for (const std::uint32_t host : {2U, 3U, 4U}) {
    EXPECT_EQ(At(host).Coordinator()->m_host, HostId{2});
    EXPECT_TRUE(HasEvent(host, MembershipEventKind::kCoordinatorChanged, 2));
  }
}

// Guards against a one-way link failure between two members that makes all members declare one of them dead.
TEST_F(MembershipTest, KeepsAMemberThatOnePeerCannotReach) {
  StartFour();
  m_network.Cut({1}, {2});
  m_network.RunFor(seconds(20));
  for (std::uint32_t host = 1; host <= 4; ++host) {
    EXPECT_EQ(LiveAt(host), 4U);
    for (std::uint32_t about = 1; about <= 4; ++about) EXPECT_FALSE(HasEvent(host, MembershipEventKind::kDied, about));
  }
}

// Guards against a host that can send but not receive, and whose death reports the others believe.
TEST_F(MembershipTest, IgnoresDeathReportsFromAHostThatReceivesNothing) {
  StartFour();
  for (const std::uint32_t from : {1U, 2U, 3U}) m_network.Cut({from}, {4});
  m_network.RunFor(seconds(10));
  for (const std::uint32_t host : {1U, 2U, 3U}) {
    EXPECT_EQ(LiveAt(host), 3U);
    for (const std::uint32_t about : {1U, 2U, 3U}) EXPECT_FALSE(HasEvent(host, MembershipEventKind::kDied, about));
  }
  m_network.RestoreLinks();
  m_network.RunFor(seconds(5));
  for (std::uint32_t host = 1; host <= 4; ++host) EXPECT_EQ(LiveAt(host), 4U);
}

// Guards against deaths that a process declares because it was itself paused.
TEST_F(MembershipTest, DeclaresNoDeathAfterItsOwnPause) {
  StartFour();
  m_network.Find({3})->Events().clear();
  m_network.Pause({3}, milliseconds(900));
  m_network.RunFor(milliseconds(900));
  m_network.Pause({3}, seconds(30));
  m_network.RunFor(seconds(33));
  for (const std::uint32_t about : {1U, 2U, 4U}) EXPECT_FALSE(HasEvent(3, MembershipEventKind::kDied, about));
  for (std::uint32_t host = 1; host <= 4; ++host) EXPECT_EQ(LiveAt(host), 4U);
}

// Guards against a planned leave that is reported as a death or detected only by probing.
TEST_F(MembershipTest, AnnouncesALeaveImmediately) {
  StartFour();
  m_network.Send({4}, m_network.Find({4})->CollectEvents(m_network.Now(), At(4).Leave(m_network.Now())));
  m_network.RunFor(milliseconds(100));
  for (const std::uint32_t host : {1U, 2U, 3U}) {
    EXPECT_TRUE(HasEvent(host, MembershipEventKind::kLeft, 4));
    EXPECT_EQ(LiveAt(host), 3U);
  }
}

// Guards against changes of `m_keeper_ready` that are lost or undone by older updates.
TEST_F(MembershipTest, DisseminatesKeeperReadiness) {
  StartFour();
  m_network.Send({2}, m_network.Find({2})->CollectEvents(m_network.Now(), At(2).SetKeeperReady(m_network.Now(), true)));
  m_network.RunFor(milliseconds(500));
  for (std::uint32_t host = 1; host <= 4; ++host) EXPECT_TRUE(At(host).Find({2})->m_keeper_ready);
}

// Guards against a restarted process that is taken for its earlier incarnation.
TEST_F(MembershipTest, DetectsARestartByItsIncarnation) {
  StartFour();
  Start(3, 2);
  m_network.RunFor(seconds(2));
  EXPECT_TRUE(HasEvent(1, MembershipEventKind::kRestarted, 3));
  EXPECT_EQ(At(1).Find({3})->m_incarnation, Incarnation{2});
}

// Guards against an undetected second process with the same host id.
TEST_F(MembershipTest, ReportsANewerProcessWithItsOwnHostId) {
  StartFour();
  Member later = At(3).Self();
  later.m_incarnation = {50};
  m_network.Remove({3});
  Start(3, 50);
  m_network.RunFor(seconds(3));
  Start(3, 1);
  m_network.RunFor(seconds(5));
  EXPECT_TRUE(HasEvent(3, MembershipEventKind::kSuperseded, 3));
}

// Guards against lists of other data centres that stay empty or keep members that have died there.
TEST_F(MembershipTest, ListsTheMembersOfAnotherDataCentre) {
  StartFour();
  Start(9, 1, 2);
  Start(10, 1, 2);
  Start(11, 1, 2);
  m_network.RunFor(seconds(10));
  for (std::uint32_t host = 1; host <= 4; ++host) EXPECT_EQ(At(host).LiveMembersOf({2}).size(), 3U);
  m_network.Remove({9});
  m_network.RunFor(seconds(6));
  for (std::uint32_t host = 1; host <= 4; ++host) {
    EXPECT_EQ(At(host).LiveMembersOf({2}).size(), 2U);
    EXPECT_EQ(At(host).CoordinatorOf({2})->m_host, HostId{10});
  }
  EXPECT_LT(m_network.Now() - *At(1).LastHeardFrom({2}), seconds(3));
}

// Regression: with only one other local member, messages from another data centre reverted each detection of its death.
TEST_F(MembershipTest, DetectsTheDeathOfTheOnlyOtherMember) {
  StartFour();
  Start(9, 1, 2);
  Start(10, 1, 2);
  m_network.RunFor(seconds(10));
  m_network.Remove({9});
  m_network.RunFor(seconds(2));
  EXPECT_EQ(LiveAt(10), 1U);
}

// Regression: groups that formed around different seeds never merged, because a host stopped probing seeds once it knew
// one.
TEST_F(MembershipTest, MergesGroupsThatStartedSeparately) {
  for (std::uint32_t host = 1; host <= 4; ++host)
    for (std::uint32_t other = 1; other <= 4; ++other)
      if ((host <= 2) != (other <= 2)) m_network.Cut({host}, {other});
  for (const std::uint32_t host : {1U, 2U, 3U, 4U}) Start(host);
  m_network.RunFor(seconds(10));
  m_network.RestoreLinks();
  m_network.RunFor(seconds(10));
  for (std::uint32_t host = 1; host <= 4; ++host) EXPECT_EQ(LiveAt(host), 4U);
}

// Regression: a host that missed the update about a death in another data centre listed the dead member as live
// forever, because the lists exchanged inside a data centre left out dead members.
TEST_F(MembershipTest, RepairsAMissedDeathInAnotherDataCentre) {
  StartFour();
  Start(9, 1, 2);
  Start(10, 1, 2);
  m_network.RunFor(seconds(10));
  for (const std::uint32_t from : {1U, 2U, 3U}) m_network.Cut({from}, {4});
  m_network.Remove({9});
  m_network.RunFor(seconds(20));
  m_network.RestoreLinks();
  m_network.RunFor(seconds(8));
  EXPECT_EQ(At(4).LiveMembersOf({2}).size(), 1U);
}

// Guards against malformed messages that change state before they are rejected.
TEST_F(MembershipTest, RejectsMalformedMessages) {
  StartFour();
  const auto before = At(1).AllMembers();
  auto probes = At(2).Tick(m_network.Now() + milliseconds(250)).m_messages;
  ASSERT_FALSE(probes.empty());
  std::vector<std::byte> payload = probes[0].m_payload;
  for (std::size_t size = 0; size < payload.size(); ++size) {
    const auto result = At(1).Receive(m_network.Now(), {2}, {}, probes[0].m_type, std::span(payload).first(size));
    ASSERT_FALSE(IsOk(result));
    EXPECT_EQ(ErrorOf(result).m_code, ErrorCode::kMessageMalformed);
  }
  payload.push_back(std::byte{0});
  EXPECT_FALSE(IsOk(At(1).Receive(m_network.Now(), {2}, {}, probes[0].m_type, payload)));
  EXPECT_EQ(At(1).AllMembers(), before);
}

}  // namespace
}  // namespace fighatch
