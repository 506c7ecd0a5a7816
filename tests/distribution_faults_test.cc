#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "../bench/distribution_node.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Bytes = std::vector<std::byte>;

enum class Fault : std::uint8_t {
  kLoss,
  kReorder,
  kCutOneWay,
  kIsolate,
  kRestartWithOldState,
  kRestartWithoutState,
  kPause,
  kCrash,
  kCutTreeRoot
};

// Two faults that act at the same time, followed by some changes of the state.
struct FaultPair {
  Fault m_first;
  Fault m_second;
  // Selects the hosts that the faults hit, and the length of a pause.
  std::uint64_t m_choice;
  int m_changes;
};

std::ostream& operator<<(std::ostream& out, const FaultPair& pair) {
  return out << "{" << int(pair.m_first) << "," << int(pair.m_second) << "," << pair.m_choice << "," << pair.m_changes
             << "}";
}

rc::Gen<FaultPair> AnyFaults() {
  const auto fault = rc::gen::map(rc::gen::inRange(0, 9), [](int number) { return static_cast<Fault>(number); });
  return rc::gen::construct<FaultPair>(fault, fault, rc::gen::arbitrary<std::uint64_t>(), rc::gen::inRange(0, 12));
}

// Runs a cluster under faults and checks its invariants: the version of a running host never goes down and never
// exceeds that of the control hosts; hosts at equal versions have equal content; within 5 s after the faults have ended
// every host has the last version, and 8 s later the leader's report shows it.
class FaultHarness {
 public:
  explicit FaultHarness(std::uint64_t seed) : m_random(seed), m_cluster(kHosts, 2, 3, {}, seed) {
    Network().RunFor(seconds(3));
  }

  bench::VirtualNetwork<bench::DistributionNode>& Network() { return m_cluster.Network(); }

  void Restart(HostId host, bool from_old_state) {
    bench::DistributionNode* node = Network().Find(host);
    const Bytes old_snapshot = node != nullptr ? m_saved_states[host].second : Bytes();
    const Version old_version = node != nullptr ? m_saved_states[host].first : Version{};
    m_cluster.Start(host, false);
    if (from_old_state && old_version != Version{}) Network().Find(host)->Restore(old_version, old_snapshot);
    m_cluster.UpdateNeighbours();
    m_last_seen_versions.erase(host);
  }

  void Apply(Fault fault, std::uint64_t choice) {
    const HostId host{static_cast<std::uint32_t>(1001 + choice % kHosts)};
    const HostId other{static_cast<std::uint32_t>(1001 + choice / kHosts % kHosts)};
    if (fault == Fault::kLoss) Network().Links().m_loss = 0.4;
    if (fault == Fault::kReorder)
      Network().Links() = {Network().Links().m_loss, 0.3, milliseconds(1), milliseconds(150)};
    if (fault == Fault::kCutOneWay) Network().Cut(host, other);
    if (fault == Fault::kIsolate)
      for (const HostId from : Network().Hosts()) Network().Cut(from, host);
    if (fault == Fault::kRestartWithOldState) Restart(host, true);
    if (fault == Fault::kRestartWithoutState) Restart(host, false);
    if (fault == Fault::kPause && Network().Find(host) != nullptr) Network().Pause(host, milliseconds(choice % 6000));
    if (fault == Fault::kCrash) Network().Remove(host);
    if (fault == Fault::kCutTreeRoot)
      for (std::uint32_t control = 1; control <= 3; ++control) Network().Cut({control}, {1001});
  }

  void RunWithFaults(const FaultPair& faults) {
    SaveStates();
    Apply(faults.m_first, faults.m_choice);
    Apply(faults.m_second, faults.m_choice / 256);
    for (int change = 0; change < faults.m_changes; ++change) {
      const int repeats = m_random.Below(5) == 0 ? 70 : 1;
      for (int repeat = 0; repeat < repeats; ++repeat) (void)m_cluster.Change(m_random.Below(2500));
      Network().RunFor(milliseconds(m_random.Below(900)));
      CheckInvariants();
    }
    Network().RestoreLinks();
    Network().Links() = {};
  }

  void CheckConvergence() {
    for (std::uint32_t index = 0; index < kHosts; ++index)
      if (Network().Find({1001 + index}) == nullptr) Restart({1001 + index}, false);
    (void)m_cluster.Change(10);
    Network().RunFor(seconds(5));
    CheckInvariants();
    for (const HostId host : m_cluster.Balancers()) {
      const auto& history = Network().Find(host)->History();
      if (history.CurrentVersion() != m_cluster.CurrentVersion())
        RC_FAIL("host without the last version: " + std::to_string(host.m_value));
      RC_ASSERT(!Network().Find(host)->Receiver().IsStale(Network().Now()));
    }
    Network().RunFor(seconds(8));
    const InForceReport report = Network().Find({1})->Distributor().InForce(Network().Now());
    RC_ASSERT(report.m_hosts == kHosts + 3);
    RC_ASSERT(report.m_lagging_count == 0U);
  }

 private:
  static constexpr std::uint32_t kHosts = 16;

  void SaveStates() {
    for (const HostId host : m_cluster.Balancers()) {
      const auto& history = Network().Find(host)->History();
      m_saved_states[host] = {history.CurrentVersion(), history.Snapshot()};
    }
  }

  void CheckInvariants() {
    m_digests[m_cluster.CurrentVersion()] = Network().Find({1})->History().CurrentDigest();
    for (const HostId host : m_cluster.Balancers()) {
      const auto& history = Network().Find(host)->History();
      RC_ASSERT(history.CurrentVersion() >= m_last_seen_versions[host]);
      RC_ASSERT(history.CurrentVersion() <= m_cluster.CurrentVersion());
      m_last_seen_versions[host] = history.CurrentVersion();
      const auto expected = m_digests.find(history.CurrentVersion());
      if (expected != m_digests.end()) RC_ASSERT(history.CurrentDigest() == expected->second);
    }
  }

  Random m_random;
  bench::DistributionCluster m_cluster;
  std::map<HostId, Version> m_last_seen_versions;
  std::map<HostId, std::pair<Version, Bytes>> m_saved_states;
  std::map<Version, std::uint64_t> m_digests;
};

// Guards against versions that go down, states that differ at the same version and hosts that never catch up, after
// pairs of faults at the same time.
RC_GTEST_PROP(DistributionFaultsTest, AllHaveTheLastVersionAfterFaultsEnd, ()) {
  const auto faults = *rc::gen::resize(6, rc::gen::container<std::vector<FaultPair>>(AnyFaults()));
  FaultHarness harness(*rc::gen::arbitrary<std::uint64_t>());
  for (const FaultPair& pair : faults) harness.RunWithFaults(pair);
  harness.CheckConvergence();
}

}  // namespace
}  // namespace fighatch
