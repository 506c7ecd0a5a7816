#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

#include "fighatch/sync_client.h"
#include "fighatch/sync_server.h"
#include "port_reader.h"
#include "steering_fixture.h"

namespace fighatch {
namespace {

using testing_support::MakeTarget;
using testing_support::milliseconds;

class RejectingDocumentReader : public DocumentReader {
 public:
  [[nodiscard]] Result<RoutingState> Read(std::string_view /*text*/) const override {
    return MakeError(ErrorCode::kTicketMalformed);
  }
};

// A control host with its own directory, log and sync server.
struct ControlHost {
  explicit ControlHost(std::uint32_t host, const DocumentReader* reader)
      : m_log(reader), m_server(HostId{host}, host * 1000, &m_directory, &m_log) {}
  TargetDirectory m_directory;
  RoutingLog m_log;
  SyncServer m_server;
  bool m_has_quorum = true;
  bool m_reachable = true;
};

// Control hosts 1 to 3 and one balancer over a network that may lose messages.
class SyncTest : public testing::Test {
 protected:
  SyncTest() : m_client({HostId{100}, SyncRole::kBalancer, "a", 3}) {
    for (std::uint32_t host = 1; host <= 3; ++host) {
      m_controls.emplace(HostId{host}, std::make_unique<ControlHost>(host, &m_reader));
    }
    for (auto& [host, control] : m_controls) {
      control->m_server.SetControlHosts({HostId{1}, HostId{2}, HostId{3}});
    }
    m_client.SetSeeds({HostId{1}});
  }

  void Run(int intervals, std::uint64_t loss_percent = 0) {
    for (int interval = 0; interval < intervals; ++interval) {
      m_now += milliseconds(500);
      for (const auto& [host, request] : m_client.Tick(m_now, {})) {
        ControlHost& control = *m_controls.at(host);
        if (!control.m_reachable || IsLost(loss_percent)) continue;
        Deliver(control.m_server.Answer(m_now, request, control.m_has_quorum), loss_percent);
      }
      Push(loss_percent);
    }
  }

  void Push(std::uint64_t loss_percent = 0) {
    for (auto& [host, control] : m_controls) {
      for (const auto& [follower, reply] : control->m_server.Push(m_now, control->m_has_quorum)) {
        if (control->m_reachable) Deliver(reply, loss_percent);
      }
    }
  }

  void Deliver(const SyncReply& reply, std::uint64_t loss_percent) {
    if (IsLost(loss_percent)) return;
    (void)m_client.Receive(m_now, reply);
    for (const TargetObservation& observation : reply.m_targets) (void)m_table.Merge(m_now, observation.m_record);
  }

  bool IsLost(std::uint64_t percent) { return m_random.Below(100) < percent; }

  RejectingDocumentReader m_reader;
  Random m_random{7};
  TimePoint m_now{std::chrono::seconds(10)};
  std::map<HostId, std::unique_ptr<ControlHost>> m_controls;
  SyncClient m_client;
  TargetTable m_table;
};

// Guards against balancers that do not discover the control hosts beyond their seeds.
TEST_F(SyncTest, OneSeedLeadsToAllControlHosts) {
  Run(3);
  EXPECT_EQ(m_client.Contacts().size(), 3U);
  EXPECT_TRUE(m_client.IsCurrent(m_now));
}

// Guards against a change that reaches a follower only after its next request.
TEST_F(SyncTest, ChangeIsPushedAtOnce) {
  Run(3);
  (void)m_controls.at(HostId{2})->m_directory.Announce(m_now, MakeTarget(1));
  Push();
  EXPECT_NE(m_table.Find(MakeTarget(1).m_id), nullptr);
}

// Guards against a lost message whose changes never reach the follower.
TEST_F(SyncTest, LostMessagesAreRecovered) {
  Run(3);
  for (std::uint32_t number = 1; number <= 40; ++number) {
    (void)m_controls.at(HostId{1 + number % 3})->m_directory.Announce(m_now, MakeTarget(number));
    Push(60);
    Run(1, 60);
  }
  Run(4);
  for (std::uint32_t number = 1; number <= 40; ++number) EXPECT_NE(m_table.Find(MakeTarget(number).m_id), nullptr);
}

// Guards against a balancer that keeps following a control host which is partitioned from the others.
TEST_F(SyncTest, HostWithoutQuorumIsNotCurrent) {
  Run(3);
  for (auto& [host, control] : m_controls) control->m_has_quorum = false;
  Run(3);
  EXPECT_FALSE(m_client.IsCurrent(m_now));
  EXPECT_TRUE(m_client.HasRecentReply(m_now));
  m_controls.at(HostId{3})->m_has_quorum = true;
  Run(2);
  EXPECT_TRUE(m_client.IsCurrent(m_now));
}

// Guards against a control host whose changes are ignored after a restart because their numbers start again from 0.
TEST_F(SyncTest, RestartedControlHostIsFollowedFromTheBeginning) {
  Run(2);
  for (std::uint32_t number = 1; number <= 10; ++number) {
    (void)m_controls.at(HostId{1})->m_directory.Announce(m_now, MakeTarget(number));
  }
  Run(2);
  m_controls[HostId{1}] = std::make_unique<ControlHost>(9, &m_reader);
  auto fresh = std::make_unique<ControlHost>(1, &m_reader);
  fresh->m_server = SyncServer(HostId{1}, 777, &fresh->m_directory, &fresh->m_log);
  m_controls[HostId{1}] = std::move(fresh);
  (void)m_controls.at(HostId{1})->m_directory.Announce(m_now, MakeTarget(50));
  Run(3);
  EXPECT_NE(m_table.Find(MakeTarget(50).m_id), nullptr);
}

// Guards against control hosts that exchange refreshes as fast as the network allows: each confirmation was answered
// with the announcements of the last few milliseconds, which were confirmed at once in turn.
TEST_F(SyncTest, RefreshesAreExchangedAtABoundedRate) {
  constexpr milliseconds kRoundTrip{3};
  constexpr std::uint32_t kTargets = 300;
  TargetDirectory directory;
  RoutingLog log(&m_reader);
  SyncServer server(HostId{1}, 5, &directory, &log);
  SyncClient follower({HostId{2}, SyncRole::kControl, "a", 35});
  follower.SetSeeds({HostId{1}});
  for (std::uint32_t number = 1; number <= kTargets; ++number) (void)directory.Announce(m_now, MakeTarget(number));
  std::size_t replies = 0;
  std::uint64_t sequence = 1;
  const TimePoint start = m_now;
  TimePoint next_poll = m_now;
  bool must_confirm = false;
  for (; m_now < start + milliseconds(3000); m_now += kRoundTrip) {
    AnnouncedTarget refreshed = MakeTarget(1 + static_cast<std::uint32_t>(++sequence % kTargets));
    refreshed.m_sequence = sequence;
    (void)directory.Announce(m_now, refreshed);
    if (m_now >= next_poll) {
      (void)follower.Tick(m_now, {});
      next_poll = m_now + milliseconds(300);
      must_confirm = true;
    }
    if (!must_confirm) continue;
    must_confirm = follower.Receive(m_now, server.Answer(m_now, follower.RequestTo(HostId{1}, {}), true));
    ++replies;
  }
  EXPECT_LE(replies, 60U);
  // Every refresh is confirmed within two polls.
  EXPECT_GE(server.CountConfirmedBy(directory.Sequence() - 200, {HostId{2}}), 1U);
}

// Guards against a count of confirmations that includes hosts which have not confirmed the change, or which confirmed
// it to an earlier process.
TEST_F(SyncTest, ConfirmationsAreCounted) {
  TargetDirectory directory;
  RoutingLog log(&m_reader);
  SyncServer server(HostId{1}, 5, &directory, &log);
  (void)directory.Announce(m_now, MakeTarget(1));
  SyncRequest request;
  request.m_from = HostId{2};
  request.m_role = SyncRole::kControl;
  (void)server.Answer(m_now, request, true);
  const std::set<HostId> others{HostId{2}, HostId{3}};
  EXPECT_EQ(server.CountConfirmedBy(directory.Sequence(), others), 0U);
  request.m_position = {5, directory.Sequence()};
  (void)server.Answer(m_now, request, true);
  EXPECT_EQ(server.CountConfirmedBy(directory.Sequence(), others), 1U);
  request.m_position.m_incarnation = 4;
  (void)server.Answer(m_now, request, true);
  EXPECT_EQ(server.CountConfirmedBy(directory.Sequence(), others), 0U);
}

// Guards against a balancer that holds a wrong state without anybody who could see it.
TEST_F(SyncTest, FollowerWithAnotherStateOfTheSameIndexIsCounted) {
  const testing_support::PortReader reader;
  TargetDirectory directory;
  RoutingLog log(&reader);
  SyncServer server(HostId{1}, 5, &directory, &log);
  (void)log.Apply(4, testing_support::MakeDocument(7, "80"));
  SyncRequest request;
  request.m_from = HostId{2};
  request.m_state = log.Published()->Position();
  (void)server.Answer(m_now, request, true);
  EXPECT_EQ(server.CountDivergent(), 0U);
  ++request.m_state.m_digest;
  (void)server.Answer(m_now, request, true);
  EXPECT_EQ(server.CountDivergent(), 1U);
  request.m_state = {3, 1};
  (void)server.Answer(m_now, request, true);
  EXPECT_EQ(server.CountDivergent(), 0U);
}

// Guards against a lost or late message that leaves a balancer with a state which mixes two published ones: the sender
// counts on the update that was lost, and makes the next difference from it.
RC_GTEST_PROP(SyncStateProperty, LostAndLateUpdatesLeadToThePublishedState, (std::uint64_t seed)) {
  Random random(seed);
  const testing_support::PortReader reader;
  std::vector<std::unique_ptr<ControlHost>> hosts;
  for (std::uint32_t host = 1; host <= 3; ++host) hosts.push_back(std::make_unique<ControlHost>(host, &reader));
  SyncClient client({HostId{100}, SyncRole::kBalancer, "a", 3});
  client.SetSeeds({HostId{1}, HostId{2}, HostId{3}});
  PublishedState state;
  std::vector<SyncReply> in_flight;
  TimePoint now{std::chrono::seconds(10)};
  const auto deliver = [&](const SyncReply& reply) {
    (void)client.Receive(now, reply);
    const UpdateOutcome outcome = reply.m_update ? ApplyUpdate(*reply.m_update, &state) : UpdateOutcome::kNotNewer;
    RC_ASSERT(outcome != UpdateOutcome::kDigestMismatch);
    RC_ASSERT(state.m_index == 0 || state.m_digest == StateDigest(state));
  };
  for (LogIndex index = 1; index <= 80; ++index) {
    RoutingCommand command = testing_support::DrawDataCentreCommand(&random);
    if (random.Below(2) == 0) command = testing_support::MakeDocument(index, testing_support::DrawPorts(&random));
    for (const auto& host : hosts) (void)host->m_log.Apply(index, command);
    for (const auto& host : hosts) {
      for (auto& [to, reply] : host->m_server.Push(now, true)) in_flight.push_back(std::move(reply));
    }
    for (const auto& [to, request] : client.Tick(now, state.Position())) {
      if (random.Below(2) == 0) in_flight.push_back(hosts[to.m_value - 1]->m_server.Answer(now, request, true));
    }
    while (!in_flight.empty() && random.Below(4) != 0) {
      const auto chosen = in_flight.begin() + static_cast<std::ptrdiff_t>(random.Below(in_flight.size()));
      if (random.Below(2) == 0) deliver(*chosen);
      in_flight.erase(chosen);
    }
    now += milliseconds(100);
  }
  for (const auto& [to, request] : client.Tick(now, state.Position())) {
    deliver(hosts[to.m_value - 1]->m_server.Answer(now, request, true));
  }
  RC_ASSERT(state.Position() == hosts[0]->m_log.Published()->Position());
}

// Guards against decoders that trust the lengths in a truncated message.
TEST(SyncMessageTest, EveryTruncationIsRefused) {
  SyncReply reply;
  reply.m_targets.push_back({MakeTarget(1), 3});
  reply.m_update = MakeUpdate({}, testing_support::MakeState());
  reply.m_balancers.push_back({HostId{4}, "a"});
  const std::vector<std::byte> bytes = EncodeSyncReply(reply);
  ASSERT_TRUE(IsOk(DecodeSyncReply(bytes)));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeSyncReply(std::span(bytes).first(size)))) << size;
  }
}

}  // namespace
}  // namespace fighatch
