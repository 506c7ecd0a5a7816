// Counts the broken flows among 300,000 for each planned fault, compared with a stateless consistent hash over the same
// owner lists in the same run, and measures the bytes of record messages under one change of owners a minute.
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "fighatch/slot_table.h"
#include "flow_cluster.h"
#include "report.h"

namespace fighatch::bench {
namespace {

constexpr std::uint32_t kFlows = 300'000;
constexpr std::uint32_t kOpenedWhileMoving = 30'000;
constexpr std::uint32_t kTargets = 15;
constexpr std::uint32_t kBalancers = 7;

enum class PlannedFault { kTargetJoin, kTargetDrain, kWeightChange, kBalancerJoin, kBalancerLeave, kKeeperDeath };

/// The owner list after the change. Balancer faults happen during the transition for a target join.
std::vector<OwnerEntry> NextOwners(BenchCluster* cluster, PlannedFault fault) {
  std::vector<OwnerEntry> next = cluster->Table().m_current;
  if (fault == PlannedFault::kTargetDrain) {
    next.erase(next.begin() + 3);
  } else if (fault == PlannedFault::kWeightChange) {
    next[3].m_weight = 8;
  } else {
    next.push_back({cluster->Fixture().AddTarget(1, kTargets + 1).m_value, 16});
  }
  return next;
}

Member& MemberOf(BenchCluster* cluster, std::uint32_t host) { return cluster->Fixture().m_members[host - 1]; }

void JoinBalancer(BenchCluster* cluster) {
  cluster->Fixture().AddBalancer(kBalancers + 1, false);
  cluster->AddDecider();
  cluster->UpdateTables();
  while (!cluster->Decider(kBalancers + 1).HasAllRecords()) cluster->Run(10);
  MemberOf(cluster, kBalancers + 1).m_keeper_ready = true;
  cluster->UpdateTables();
}

void LeaveBalancer(BenchCluster* cluster) {
  MemberOf(cluster, 2).m_state = MemberState::kLeft;
  cluster->UpdateTables();
  cluster->Run(10);
  while (!cluster->Decider(2).IsTransferDone()) cluster->Run(10);
  cluster->Kill(2);
}

void KillKeeper(BenchCluster* cluster) {
  cluster->Kill(2);
  MemberOf(cluster, 2).m_state = MemberState::kSuspect;
  cluster->UpdateTables();
  cluster->Run(1500);
  MemberOf(cluster, 2).m_state = MemberState::kDead;
  cluster->UpdateTables();
  cluster->Run(1000);
}

std::uint32_t CountMoved(const std::vector<OwnerEntry>& before, const std::vector<OwnerEntry>& after) {
  const std::vector<std::uint16_t> old_owners = OwnersOfSlots(before, kDefaultHashSlots);
  const std::vector<std::uint16_t> new_owners = OwnersOfSlots(after, kDefaultHashSlots);
  std::uint32_t moved = 0;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    const std::uint64_t slot = PacketOf(flow, PacketKind::kLater).m_flow_hash % kDefaultHashSlots;
    moved += before[old_owners[slot]].m_id == after[new_owners[slot]].m_id ? 0 : 1;
  }
  return moved;
}

bool MeasureFault(PlannedFault fault, const std::string& name) {
  BenchCluster cluster(kTargets, kBalancers, 131072);
  std::vector<TargetId> targets(kFlows);
  const auto open = [&](std::uint32_t from, std::uint32_t to) {
    for (std::uint32_t flow = from; flow < to; ++flow) targets[flow] = cluster.Send(PacketOf(flow, PacketKind::kFirst));
  };
  open(0, kFlows - kOpenedWhileMoving);
  const std::vector<OwnerEntry> before = cluster.Table().m_current;
  if (!BeginLearning(&cluster.Table(), NextOwners(&cluster, fault))) return false;
  cluster.UpdateTables();
  cluster.Run(1000);
  BeginMoving(&cluster.Table());
  cluster.UpdateTables();
  open(kFlows - kOpenedWhileMoving, kFlows);
  cluster.Run(50);
  if (fault == PlannedFault::kBalancerJoin) JoinBalancer(&cluster);
  if (fault == PlannedFault::kBalancerLeave) LeaveBalancer(&cluster);
  if (fault == PlannedFault::kKeeperDeath) KillKeeper(&cluster);
  std::uint32_t broken = 0;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    const TargetId target = cluster.Send(PacketOf(flow, PacketKind::kLater));
    broken += target == targets[flow] && target != TargetId{} ? 0 : 1;
  }
  const std::uint32_t baseline = CountMoved(before, cluster.Table().m_current);
  return Report("flow_broken_" + name, static_cast<double>(broken), "flows", 0, static_cast<double>(baseline));
}

/// Measures the bytes of record messages under a rolling restart: every other minute a target drains and is removed
/// after 30 s; in the next minute it is back.
bool MeasureControlBytes(std::int64_t minutes, std::uint32_t new_flows_per_10_ms) {
  BenchCluster cluster(kTargets, kBalancers, 524288);
  const std::vector<TargetInfo> all = cluster.Fixture().m_targets;
  const std::vector<OwnerEntry> full = cluster.Table().m_current;
  std::uint32_t flow = 0;
  const auto run = [&](std::int64_t milliseconds) {
    for (std::int64_t ms = 0; ms < milliseconds; ms += 10) {
      for (std::uint32_t count = 0; count < new_flows_per_10_ms; ++count) {
        static_cast<void>(cluster.Send(PacketOf(flow++, PacketKind::kFirst)));
      }
      cluster.Run(10);
    }
  };
  for (std::int64_t minute = 0; minute < minutes; ++minute) {
    const std::size_t index = static_cast<std::size_t>(minute) / 2;
    std::vector<OwnerEntry> next = full;
    cluster.Fixture().m_targets = all;
    if (minute % 2 == 0) next.erase(next.begin() + static_cast<std::ptrdiff_t>(index));
    if (!BeginLearning(&cluster.Table(), next)) return false;
    cluster.UpdateTables();
    run(1000);
    BeginMoving(&cluster.Table());
    cluster.UpdateTables();
    run(29'000);
    if (minute % 2 == 0) {
      auto& targets = cluster.Fixture().m_targets;
      targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(index));
      RemoveOwner(&cluster.Table(), full[index].m_id);
      cluster.UpdateTables();
    }
    run(30'000);
  }
  const double total = static_cast<double>(cluster.Bytes()) / (60.0 * static_cast<double>(minutes));
  const std::string suffix = "_" + std::to_string(100 * new_flows_per_10_ms) + "_new_flows";
  bool pass = Report("flow_record_bytes_all_7_balancers" + suffix, total, "B/s");
  pass &= Report("flow_record_bytes_each_balancer" + suffix, total / kBalancers, "B/s", 6000);
  const double records = static_cast<double>(cluster.RecordsSent()) / (60.0 * static_cast<double>(minutes));
  return Report("flow_records_sent" + suffix, records, "1/s") && pass;
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace): the program's own namespace.
  bool pass = MeasureFault(PlannedFault::kTargetJoin, "target_join");
  pass &= MeasureFault(PlannedFault::kTargetDrain, "target_drain");
  pass &= MeasureFault(PlannedFault::kWeightChange, "weight_change");
  pass &= MeasureFault(PlannedFault::kBalancerJoin, "balancer_join");
  pass &= MeasureFault(PlannedFault::kBalancerLeave, "balancer_leave");
  pass &= MeasureFault(PlannedFault::kKeeperDeath, "keeper_death_in_transition");
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  if (!quick) {
    for (const std::uint32_t flows : {3U, 10U}) pass &= MeasureControlBytes(10, flows);
  }
  pass &= MeasureControlBytes(quick ? 2 : 10, 30);
  return pass ? 0 : 1;
}
