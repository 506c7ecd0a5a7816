// Measures the control traffic in bytes per second for leases, tables and target facts, and the processor time of lease
// rounds and coordinator ticks.
#include <algorithm>
#include <cstring>

#include "fighatch/coordinator.h"
#include "target_bench.h"

namespace fighatch::bench {
namespace {

constexpr double kMaxBytesPerSecond = 6000;
constexpr int kSeconds = 60;
constexpr std::uint32_t kSlots = 2;
constexpr double kNewFlowsPerSecond = 3000;

TargetInfo MakeTarget(std::uint32_t index) {
  TargetInfo info;
  info.m_id = {0x9E3779B97F4A7C15ULL * (index + 1)};
  info.m_service = {1 + index / LeaseCluster::kTargetsPerService};
  info.m_data_centre = {1};
  info.m_incarnation = {1ULL << 40U};
  info.m_state = TargetState::kServing;
  info.m_slots = kSlots;
  info.m_http_endpoint.m_port = static_cast<std::uint16_t>(index + 1);
  info.m_gue_endpoint = info.m_http_endpoint;
  info.m_gue_endpoint.m_address.m_bytes[0] = 1;
  return info;
}

/// One data centre: the coordinator is host 1; every balancer receives announcements and acknowledges tables.
class ControlPlane {
 public:
  ControlPlane(std::uint32_t hosts, std::uint32_t targets)
      : m_random(3), m_coordinator({HostId{1}, {1}, {1}}, &m_random) {
    StateDocument state;
    state.m_data_centres["d"].m_id = {1};
    for (std::uint32_t index = 0; index < targets; ++index) {
      TargetFact& fact = m_facts.emplace_back();
      fact.m_info = MakeTarget(index);
      Service& service = state.m_services["s" + std::to_string(fact.m_info.m_service.m_value)];
      service.m_id = fact.m_info.m_service;
    }
    std::vector<Member> members;
    for (std::uint32_t id = 1; id <= hosts; ++id) {
      members.emplace_back().m_host = {id};
      members.back().m_data_centre = {1};
      m_registries.emplace_back(DataCentreId{1});
    }
    m_coordinator.SetState(state, m_now);
    m_coordinator.SetMembers(members, m_now);
  }

  void Run(Duration span) {
    for (const TimePoint end = m_now + span; m_now < end; m_now += std::chrono::milliseconds(50)) Step();
  }

  /// Restarts the first target under a new incarnation.
  void RestartTarget() {
    ++m_facts[0].m_info.m_incarnation.m_value;
    m_facts[0].m_sequence = 0;
  }

  std::uint64_t m_table_bytes = 0;
  std::uint64_t m_fact_bytes = 0;
  std::uint64_t m_updates = 0;
  double m_tick_seconds = 0;
  std::uint64_t m_ticks = 0;

 private:
  void Step() {
    const auto elapsed = m_now.time_since_epoch();
    if (elapsed % std::chrono::milliseconds(500) == Duration{}) Announce();
    if (elapsed % std::chrono::seconds(1) == Duration{}) SendFacts();
    m_registries[0].Tick(m_now);
    const double before = CpuSeconds();
    const CoordinatorActions actions = m_coordinator.Tick(m_registries[0], m_now);
    m_tick_seconds += CpuSeconds() - before;
    ++m_ticks;
    for (const TableSend& send : actions.m_updates) Acknowledge(send);
  }

  void Acknowledge(const TableSend& send) {
    const OwnerTable& table = send.m_update.m_table;
    const TableAck ack{send.m_to, table.m_service, table.m_data_centre, table.m_version, 0};
    m_coordinator.OnAck(ack, m_now);
    ++m_updates;
    if (send.m_to == HostId{1}) return;
    m_table_bytes += wire::Encode(send.m_update).size() + wire::Encode(ack).size() + 2 * kEnvelopeBytes;
  }

  void Announce() {
    for (TargetFact& fact : m_facts) {
      ++fact.m_sequence;
      TargetRegistry& registry = m_registries[m_random.Below(m_registries.size())];
      (void)registry.Record(fact, m_now);
      registry.OnHealthCheck(fact.m_info.m_id, fact.m_info.m_incarnation, true);
    }
  }

  void SendFacts() {
    for (std::size_t index = 0; index < m_registries.size(); ++index) {
      const TargetFacts facts = m_registries[index].TakeFacts({static_cast<std::uint32_t>(index + 1)}, m_now);
      if (index == 0 || (facts.m_facts.empty() && facts.m_refreshes.empty())) continue;
      m_fact_bytes += wire::Encode(facts).size() + kEnvelopeBytes;
      m_registries[0].Merge(facts, m_now);
    }
  }

  TimePoint m_now{std::chrono::seconds(1000)};
  Random m_random;
  Coordinator m_coordinator;
  std::vector<TargetRegistry> m_registries;
  std::vector<TargetFact> m_facts;
};

/// Bytes of lease messages in a minute, with demand for every slot: each balancer reports a random number of new flows
/// as waiting requests.
std::uint64_t LeaseBytes(std::uint32_t hosts, std::uint32_t targets) {
  LeaseCluster cluster(hosts, targets, kSlots);
  cluster.Run(std::chrono::seconds(5));
  cluster.m_request_bytes = 0;
  cluster.m_grant_bytes = 0;
  Random random(5);
  for (int step = 0; step < kSeconds * 50; ++step) {
    for (auto& holder : cluster.m_holders) {
      const double per_step = kNewFlowsPerSecond / 50;
      const auto waiting = static_cast<std::uint32_t>(random.Below(static_cast<std::uint64_t>(per_step)));
      holder->ReportDemand(ServiceId{1}, waiting, cluster.m_now);
    }
    cluster.Step();
  }
  return cluster.m_request_bytes + cluster.m_grant_bytes;
}

void ControlBytes(std::uint32_t hosts, std::uint32_t targets) {
  ControlPlane plane(hosts, targets);
  plane.Run(std::chrono::seconds(30));
  plane.m_table_bytes = 0;
  plane.m_fact_bytes = 0;
  plane.RestartTarget();
  plane.Run(std::chrono::seconds(kSeconds));
  const double leases = static_cast<double>(LeaseBytes(hosts, targets));
  const double total = leases + static_cast<double>(plane.m_table_bytes + plane.m_fact_bytes);
  const std::string suffix = ".hosts_" + std::to_string(hosts) + ".targets_" + std::to_string(targets);
  const double others = hosts - 1;
  Print("control_bytes.leases_per_host" + suffix, leases / hosts / kSeconds, "B/s", std::nullopt, std::nullopt);
  Print("control_bytes.tables_per_host" + suffix, static_cast<double>(plane.m_table_bytes) / others / kSeconds, "B/s",
        std::nullopt, std::nullopt);
  Print("control_bytes.facts_per_host" + suffix, static_cast<double>(plane.m_fact_bytes) / others / kSeconds, "B/s",
        std::nullopt, std::nullopt);
  Print("control_bytes.balancer" + suffix, total / hosts / kSeconds, "B/s", kMaxBytesPerSecond, std::nullopt);
  Print("control_bytes.coordinator" + suffix, total * others / hosts / kSeconds, "B/s", kMaxBytesPerSecond,
        std::nullopt);
}

void LeaseTime(std::uint32_t hosts, std::uint32_t targets) {
  LeaseCluster cluster(hosts, targets, kSlots);
  cluster.Run(std::chrono::seconds(2));
  cluster.m_rounds = 0;
  const double before = CpuSeconds();
  cluster.Run(std::chrono::seconds(2));
  const double spent = (CpuSeconds() - before) * 1e6 / static_cast<double>(cluster.m_rounds);
  Print("lease_round.hosts_" + std::to_string(hosts) + ".targets_" + std::to_string(targets), spent, "us CPU",
        std::nullopt, std::nullopt);
}

void TableTime(std::uint32_t hosts, std::uint32_t targets) {
  ControlPlane plane(hosts, targets);
  plane.Run(std::chrono::seconds(12));
  plane.m_tick_seconds = 0;
  plane.m_ticks = 0;
  plane.RestartTarget();
  plane.Run(std::chrono::seconds(5));
  const double spent = plane.m_tick_seconds * 1e6 / static_cast<double>(plane.m_ticks);
  Print("coordinator_tick.hosts_" + std::to_string(hosts) + ".targets_" + std::to_string(targets), spent, "us CPU",
        std::nullopt, std::nullopt);
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace)
  for (const std::uint32_t hosts : {7U, 50U}) ControlBytes(hosts, std::max(15U, hosts * 2));
  // A quick run ends here because runs with 500 balancers exceed its time limit.
  if (argc > 1 && std::strcmp(argv[1], "--quick") == 0) return 0;
  ControlBytes(500, 1000);
  // Planned deployments have 9 targets per balancer; these runs have 4, 7 and 10.
  for (const std::uint32_t targets : {200U, 350U, 500U}) ControlBytes(50, targets);
  for (const std::uint32_t hosts : {7U, 50U, 500U}) LeaseTime(hosts, 60);
  for (const std::uint32_t targets : {15U, 150U, 1500U}) LeaseTime(50, targets);
  for (const std::uint32_t hosts : {7U, 50U, 500U}) TableTime(hosts, 60);
  for (const std::uint32_t targets : {15U, 150U, 1500U}) TableTime(50, targets);
  return 0;
}
