#include "fighatch/target_monitor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/sync_client.h"
#include "steering_fixture.h"

namespace fighatch {
namespace {

using testing_support::MakeTarget;
using testing_support::milliseconds;

constexpr milliseconds kStep{50};
constexpr milliseconds kControlPollInterval{300};
constexpr milliseconds kBalancerPollInterval{500};
constexpr milliseconds kAnnouncementPeriod{1000};
// How long a target waits for the confirmation of an announcement before it turns to the next control host.
constexpr milliseconds kConfirmationTimeout{700};
constexpr std::uint32_t kTargets = 20;
constexpr HostId kBalancer{100};

class NoDocumentReader : public DocumentReader {
 public:
  [[nodiscard]] Result<RoutingState> Read(std::string_view /*text*/) const override {
    return MakeError(ErrorCode::kTicketMalformed);
  }
};

struct ControlHost {
  ControlHost(HostId self, const std::set<HostId>& all, const DocumentReader* reader)
      : m_log(reader),
        m_server(self, self.m_value * 1000, &m_directory, &m_log),
        m_client({self, SyncRole::kControl, "a", 35}),
        m_monitor(self, &m_directory, &m_server) {
    m_server.SetControlHosts(all);
    m_client.SetSeeds(all);
  }

  TargetDirectory m_directory{DirectoryOptions{milliseconds(3600), std::chrono::seconds(90)}};
  RoutingLog m_log;
  SyncServer m_server;
  SyncClient m_client;
  TargetMonitor m_monitor;
};

struct TargetProcess {
  AnnouncedTarget m_record;
  HostId m_control_host{1};
  bool m_alive = true;
  // The control host's change that awaits its confirmation, and when the target gives up.
  bool m_waits = false;
  TimePoint m_gives_up;
  TimePoint m_next_announcement;
};

// A group of control hosts, a balancer that follows them, and targets that announce themselves, in virtual time. Single
// directions between control hosts can be cut. The log's view is modelled: a leader with messages in both directions to
// a majority keeps its role, and a follower is content while it hears the leader.
class Group {
 public:
  explicit Group(std::uint32_t hosts) : m_balancer({kBalancer, SyncRole::kBalancer, "a", 3}) {
    for (std::uint32_t host = 1; host <= hosts; ++host) m_all.insert(HostId{host});
    for (const HostId host : m_all) m_hosts[host] = std::make_unique<ControlHost>(host, m_all, &m_reader);
    m_balancer.SetSeeds(m_all);
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      TargetProcess target;
      target.m_record = MakeTarget(number);
      target.m_control_host = HostId{1 + number % hosts};
      target.m_next_announcement = m_now + milliseconds(number * 47);
      m_targets.push_back(target);
    }
  }

  void Cut(HostId from, HostId to) { m_cut.emplace(from, to); }
  void CutOutbound(HostId host) {
    for (const HostId other : m_all) Cut(host, other);
  }
  void CutInbound(HostId host) {
    for (const HostId other : m_all) Cut(other, host);
  }
  void Heal() { m_cut.clear(); }
  void Crash(std::uint32_t number) { m_targets.at(number - 1).m_alive = false; }
  [[nodiscard]] HostId Leader() const { return m_leader; }
  [[nodiscard]] TimePoint Now() const { return m_now; }

  void Run(milliseconds span) {
    for (const TimePoint end = m_now + span; m_now < end; m_now += kStep) Step();
  }

  // How many live targets the balancer holds as not ready.
  [[nodiscard]] std::size_t LiveTargetsSetAside() {
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [this](const auto& target) {
      const SteeringTarget* known = m_table.Find(target.m_record.m_id);
      return target.m_alive && (known == nullptr || known->m_record.m_state != RecordState::kReady);
    }));
  }
  [[nodiscard]] bool IsSetAside(std::uint32_t number) {
    const SteeringTarget* known = m_table.Find(MakeTarget(number).m_id);
    return known != nullptr && known->m_record.m_state == RecordState::kSilent;
  }

 private:
  [[nodiscard]] bool Reaches(HostId from, HostId to) const { return !m_cut.contains({from, to}); }

  [[nodiscard]] bool HasMajorityBothWays(HostId host) const {
    const auto reached = std::count_if(m_all.begin(), m_all.end(), [&](HostId other) {
      return other == host || (Reaches(host, other) && Reaches(other, host));
    });
    return static_cast<std::size_t>(reached) > m_all.size() / 2;
  }

  void Step() {
    if (!HasMajorityBothWays(m_leader)) {
      for (const HostId host : m_all) {
        if (HasMajorityBothWays(host)) m_leader = host;
      }
    }
    if ((m_now.time_since_epoch() / kStep) % (kControlPollInterval / kStep) == 0) PollControlHosts();
    if ((m_now.time_since_epoch() / kStep) % (kBalancerPollInterval / kStep) == 0) PollAsBalancer();
    for (TargetProcess& target : m_targets) RunTarget(&target);
  }

  void PollControlHosts() {
    for (const auto& [self, host] : m_hosts) {
      const bool has_quorum = self == m_leader ? HasMajorityBothWays(self) : Reaches(m_leader, self);
      (void)host->m_monitor.Tick(m_now, m_all, has_quorum);
      for (const auto& [to, request] : host->m_client.Tick(m_now, {})) Request(self, to, request);
    }
    for (const auto& [self, host] : m_hosts) Push(self);
  }

  void Request(HostId from, HostId to, const SyncRequest& request) {
    if (!Reaches(from, to)) return;
    ControlHost& server = *m_hosts.at(to);
    Deliver(to, from, server.m_server.Answer(m_now, request, server.m_monitor.HasMajority(m_now)));
  }

  void Push(HostId self) {
    ControlHost& host = *m_hosts.at(self);
    for (const auto& [to, reply] : host.m_server.Push(m_now, host.m_monitor.HasMajority(m_now))) {
      Deliver(self, to, reply);
    }
  }

  void Deliver(HostId from, HostId to, const SyncReply& reply) {
    if (to == kBalancer) {
      (void)m_balancer.Receive(m_now, reply);
      for (const TargetObservation& target : reply.m_targets) (void)m_table.Merge(m_now, target.m_record);
      return;
    }
    if (!Reaches(from, to)) return;
    ControlHost& host = *m_hosts.at(to);
    const bool must_confirm = host.m_client.Receive(m_now, reply);
    for (const TargetObservation& target : reply.m_targets) (void)host.m_directory.Merge(m_now, target);
    if (must_confirm) Request(to, from, host.m_client.RequestTo(from, {}));
  }

  void PollAsBalancer() {
    for (const auto& [to, request] : m_balancer.Tick(m_now, {})) {
      ControlHost& server = *m_hosts.at(to);
      Deliver(to, kBalancer, server.m_server.Answer(m_now, request, server.m_monitor.HasMajority(m_now)));
    }
  }

  void RunTarget(TargetProcess* target) {
    if (!target->m_alive) return;
    ControlHost& host = *m_hosts.at(target->m_control_host);
    if (target->m_waits && host.m_monitor.IsConfirmed(m_now, host.m_directory.SequenceOf(target->m_record.m_id))) {
      target->m_waits = false;
    }
    if (target->m_waits && m_now >= target->m_gives_up) {
      target->m_control_host = HostId{1 + target->m_control_host.m_value % static_cast<std::uint32_t>(m_all.size())};
      Announce(target);
    }
    if (!target->m_waits && m_now >= target->m_next_announcement) Announce(target);
  }

  void Announce(TargetProcess* target) {
    ++target->m_record.m_sequence;
    target->m_waits = true;
    target->m_gives_up = m_now + kConfirmationTimeout;
    target->m_next_announcement = m_now + kAnnouncementPeriod;
    TargetDirectory& directory = m_hosts.at(target->m_control_host)->m_directory;
    if (directory.Announce(m_now, target->m_record) == AnnounceOutcome::kChanged) Push(target->m_control_host);
  }

  NoDocumentReader m_reader;
  TimePoint m_now{std::chrono::seconds(10)};
  std::set<HostId> m_all;
  HostId m_leader{1};
  std::map<HostId, std::unique_ptr<ControlHost>> m_hosts;
  std::set<std::pair<HostId, HostId>> m_cut;
  SyncClient m_balancer;
  TargetTable m_table;
  std::vector<TargetProcess> m_targets;
};

enum class CutDirection : std::uint8_t { kOutbound, kInbound, kBoth };

struct CutCase {
  std::uint32_t m_hosts;
  bool m_leader;
  CutDirection m_direction;
};

class PartialViewTest : public testing::TestWithParam<CutCase> {
 protected:
  void Cut(Group* group, HostId host) const {
    if (GetParam().m_direction != CutDirection::kInbound) group->CutOutbound(host);
    if (GetParam().m_direction != CutDirection::kOutbound) group->CutInbound(host);
  }
};

// Guards against an outage of all targets while one control host hears the leader but gets neither announcements nor
// replies: it declared every target silent, and balancers took its word. The cut lasts 8 s and comes again.
TEST_P(PartialViewTest, SetsNoLiveTargetAside) {
  Group group(GetParam().m_hosts);
  group.Run(milliseconds(6000));
  ASSERT_EQ(group.LiveTargetsSetAside(), 0U);
  for (int round = 0; round < 2; ++round) {
    const HostId leader = group.Leader();
    const HostId follower{1 + leader.m_value % GetParam().m_hosts};
    Cut(&group, GetParam().m_leader ? leader : follower);
    for (int step = 0; step < 80; ++step) {
      group.Run(milliseconds(100));
      ASSERT_EQ(group.LiveTargetsSetAside(), 0U) << "cut " << round << ", " << step * 100 << " ms";
    }
    group.Heal();
    for (int step = 0; step < 60; ++step) {
      group.Run(milliseconds(100));
      ASSERT_EQ(group.LiveTargetsSetAside(), 0U) << "healed " << round << ", " << step * 100 << " ms";
    }
  }
}

// Guards against a real crash that goes unnoticed during a cut, and against a slower detection without one.
TEST_P(PartialViewTest, FindsCrashedTarget) {
  Group group(GetParam().m_hosts);
  group.Run(milliseconds(6000));
  group.Crash(3);
  group.Run(milliseconds(4900));
  EXPECT_TRUE(group.IsSetAside(3));
  Cut(&group, GetParam().m_leader ? group.Leader() : HostId{1 + group.Leader().m_value % GetParam().m_hosts});
  group.Run(milliseconds(2000));
  group.Crash(4);
  group.Run(milliseconds(6500));
  EXPECT_TRUE(group.IsSetAside(4));
  EXPECT_EQ(group.LiveTargetsSetAside(), 0U);
}

std::vector<CutCase> AllCuts() {
  std::vector<CutCase> cases;
  for (const std::uint32_t hosts : {3U, 5U, 6U}) {
    for (const bool leader : {true, false}) {
      for (const auto direction : {CutDirection::kOutbound, CutDirection::kInbound, CutDirection::kBoth}) {
        cases.push_back({hosts, leader, direction});
      }
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Cuts, PartialViewTest, testing::ValuesIn(AllCuts()));

}  // namespace
}  // namespace fighatch
