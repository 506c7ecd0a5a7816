#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "../bench/membership_node.h"

namespace fighatch {
namespace {

using bench::MembershipNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Fault : std::uint8_t {
  kLoss,
  kDuplicates,
  kOneWayCut,
  kPartition,
  kCrash,
  kRestart,
  kPause,
  kReceiveNothing,
  kKeeperReadiness
};

// Two faults that are active at the same time; the selector chooses hosts, the length of a pause and the like.
struct ConcurrentFaults {
  Fault m_first;
  Fault m_second;
  std::uint64_t m_selector;
  int m_duration_ms;
};

std::ostream& operator<<(std::ostream& out, const ConcurrentFaults& faults) {
  return out << "{" << int(faults.m_first) << "," << int(faults.m_second) << "," << faults.m_selector << ","
             << faults.m_duration_ms << "}";
}

rc::Gen<ConcurrentFaults> ArbitraryFaults() {
  const auto fault = rc::gen::map(rc::gen::inRange(0, 9), [](int number) { return static_cast<Fault>(number); });
  return rc::gen::construct<ConcurrentFaults>(fault, fault, rc::gen::arbitrary<std::uint64_t>(),
                                              rc::gen::inRange(50, 6000));
}

// Two data centres on a virtual network with faults. Invariants: the incarnation that a running host knows of another
// never decreases; once faults have ended, all running hosts agree on the live members; a failed member is declared
// dead within 2 s, and no live one is.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::uint64_t seed, std::uint32_t hosts = 8)
      : m_hosts(hosts), m_random(seed), m_network({}, seed) {
    for (std::uint32_t host = 1; host <= m_hosts; ++host) Start(host);
    m_network.RunFor(seconds(8));
  }

  static std::uint16_t DataCentreOf(std::uint32_t host) { return host % 4 == 0 ? 2 : 1; }

  void Start(std::uint32_t host) {
    const bool second = DataCentreOf(host) == 2;
    const std::vector<HostId> seeds = second ? std::vector<HostId>{{4}, {8}} : std::vector<HostId>{{1}, {2}, {3}};
    const std::vector<HostId> remote_seeds = second ? std::vector<HostId>{{1}, {2}} : std::vector<HostId>{{4}};
    const auto settings =
        bench::MembershipSettingsOf(host, DataCentreOf(host), ++m_incarnations[host] + 10, seeds, remote_seeds);
    m_network.Add({host}, std::make_unique<MembershipNode>(settings, m_random()));
    m_highest_known.erase(host);
  }
  void Stop(std::uint32_t host) { m_network.Remove({host}); }

  void Apply(Fault fault, std::uint64_t selector) {
    const auto host = static_cast<std::uint32_t>(1 + selector % m_hosts);
    const auto other = static_cast<std::uint32_t>(1 + selector / m_hosts % m_hosts);
    MembershipNode* node = m_network.Find({host});
    if (fault == Fault::kLoss) m_network.Links().m_loss = 0.3;
    if (fault == Fault::kDuplicates)
      m_network.Links() = {m_network.Links().m_loss, 0.5, milliseconds(1), milliseconds(80)};
    if (fault == Fault::kOneWayCut) m_network.Cut({host}, {other});
    if (fault == Fault::kPartition) CutIf([host](auto from, auto to) { return (from > host) != (to > host); });
    if (fault == Fault::kReceiveNothing) CutIf([host](auto, auto to) { return to == host; });
    if (fault == Fault::kCrash) Stop(host);
    if (fault == Fault::kRestart) Start(host);
    if (fault == Fault::kPause && node != nullptr) m_network.Pause({host}, milliseconds(selector % 5000));
    if (fault == Fault::kKeeperReadiness && node != nullptr)
      m_network.Send(
          {host}, node->CollectEvents(m_network.Now(), node->Get().SetKeeperReady(m_network.Now(), selector % 2 == 0)));
  }

  template <typename Predicate>
  void CutIf(Predicate predicate) {
    for (std::uint32_t from = 1; from <= m_hosts; ++from)
      for (std::uint32_t to = 1; to <= m_hosts; ++to)
        if (from != to && predicate(from, to)) m_network.Cut({from}, {to});
  }

  void Run(const ConcurrentFaults& faults) {
    Apply(faults.m_first, faults.m_selector);
    Apply(faults.m_second, faults.m_selector / 64);
    for (int elapsed_ms = 0; elapsed_ms < faults.m_duration_ms; elapsed_ms += 50) {
      m_network.RunFor(milliseconds(50));
      CheckIncarnationsNeverDecrease();
    }
    m_network.RestoreLinks();
    m_network.Links() = {};
  }

  void CheckIncarnationsNeverDecrease() {
    for (const HostId at : m_network.Hosts()) {
      for (const Member& member : m_network.Find(at)->Get().AllMembers()) {
        Incarnation& known = m_highest_known[at.m_value][member.m_host.m_value];
        RC_ASSERT(member.m_incarnation >= known);
        known = member.m_incarnation;
      }
    }
  }

  void CheckAgreement() {
    for (const HostId at : m_network.Hosts()) {
      Membership& membership = m_network.Find(at)->Get();
      for (const std::uint16_t data_centre : {1, 2}) {
        std::vector<Member> expected;
        for (const HostId host : m_network.Hosts())
          if (DataCentreOf(host.m_value) == data_centre) expected.push_back(m_network.Find(host)->Get().Self());
        std::vector<Member> seen = membership.LiveMembersOf({data_centre});
        for (Member& member : seen) member.m_state = MemberState::kAlive;
        if (seen != expected) {
          std::string text = "host " + std::to_string(at.m_value) + " dc " + std::to_string(data_centre) + " sees";
          for (const Member& member : seen) text += " " + std::to_string(member.m_host.m_value);
          text += " expected";
          for (const Member& member : expected) text += " " + std::to_string(member.m_host.m_value);
          RC_FAIL(text);
        }
        const auto coordinator = membership.CoordinatorOf({data_centre});
        RC_ASSERT(coordinator.has_value() == !expected.empty());
        if (coordinator) RC_ASSERT(coordinator->m_host == expected.front().m_host);
      }
    }
  }

  void CheckDeathIsDetected(std::uint32_t victim) {
    if (m_network.Find({victim}) == nullptr) return;
    for (const HostId at : m_network.Hosts()) m_network.Find(at)->Events().clear();
    Stop(victim);
    m_network.RunFor(seconds(2));
    for (const HostId at : m_network.Hosts()) {
      for (const auto& event : m_network.Find(at)->Events())
        if (event.m_event.m_kind == MembershipEventKind::kDied)
          RC_ASSERT(event.m_event.m_member.m_host == HostId{victim});
      if (DataCentreOf(at.m_value) != DataCentreOf(victim)) continue;
      for (const Member& member : m_network.Find(at)->Get().LiveMembers()) RC_ASSERT(member.m_host != HostId{victim});
    }
  }

  void WaitAndCheckAgreement() {
    m_network.RunFor(seconds(20));
    CheckIncarnationsNeverDecrease();
    CheckAgreement();
  }

 private:
  std::uint32_t m_hosts;
  Random m_random;
  bench::VirtualNetwork<MembershipNode> m_network;
  std::map<std::uint32_t, std::uint64_t> m_incarnations;
  std::map<std::uint32_t, std::map<std::uint32_t, Incarnation>> m_highest_known;
};

// Guards against member lists that stay different, deaths that are not detected and live members that stay dead, after
// sequences of two faults at a time.
RC_GTEST_PROP(MembershipFaultsTest, AgreesAfterFaultsEnd, ()) {
  const auto all_faults = *rc::gen::resize(6, rc::gen::container<std::vector<ConcurrentFaults>>(ArbitraryFaults()));
  SimulatedCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
  cluster.CheckAgreement();
  for (const ConcurrentFaults& faults : all_faults) cluster.Run(faults);
  cluster.WaitAndCheckAgreement();
  cluster.CheckDeathIsDetected(*rc::gen::inRange<std::uint32_t>(1, 9));
  cluster.WaitAndCheckAgreement();
}

}  // namespace
}  // namespace fighatch
