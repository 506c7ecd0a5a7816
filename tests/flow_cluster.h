#ifndef FIGHATCH_TESTS_FLOW_CLUSTER_H_
#define FIGHATCH_TESTS_FLOW_CLUSTER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "fighatch/random.h"
#include "flow_oracle.h"
#include "flow_test_support.h"

namespace fighatch {

/// The kind of a step of the state machine.
enum class StepKind : std::uint8_t { kOpen = 0, kRun = 1, kFaults = 2 };

/// A fault or change that a step injects.
enum class Fault : std::uint8_t {
  kNone = 0,
  kTargetJoin,
  kTargetDrain,
  kTargetDeath,
  kWeightChange,
  kBalancerJoin,
  kBalancerLeave,
  kBalancerDeath,
  kBalancerIsolation,
  kSlowUpdates,
  kDataCentreOut,
  kDataCentreIn,
  kShareChange,
  kCount,
};

/// One step: opens `m_first_argument` flows, runs for `m_first_argument` * 100 ms with `m_second_argument` percent of
/// loss, or injects the faults `m_first_argument` and `m_second_argument`.
struct Step {
  StepKind m_kind = StepKind::kRun;
  std::uint32_t m_first_argument = 0;
  std::uint32_t m_second_argument = 0;
  std::uint32_t m_seed = 0;

  friend std::ostream& operator<<(std::ostream& out, const Step& step) {
    return out << "{StepKind{" << static_cast<int>(step.m_kind) << "}, " << step.m_first_argument << ", "
               << step.m_second_argument << ", " << step.m_seed << "},";
  }
};

/// A simulation of several balancers in two data centres, with a coordinator, callers and a network that loses, delays
/// and duplicates messages, under virtual time in milliseconds. `FlowOracle` checks each delivery to a target.
class FlowCluster {
 public:
  FlowCluster();

  void Apply(const Step& step);
  /// Sets the share of the second data centre in the flows of the first service; that of the first one is 1.
  void SetShareOfSecondDataCentre(std::uint16_t weight) { m_changes[{1, 0}].m_wanted.at(1).m_weight = weight; }
  /// How many of the last callers stay open when new ones come.
  void SetOpenCallers(std::uint32_t callers) { m_open_callers = callers; }
  [[nodiscard]] const FlowOracle& Oracle() const { return m_oracle; }

 private:
  /// A balancer with its view of the cluster, which may be older than `m_ground_truth`.
  struct Balancer {
    std::uint32_t m_host = 0;
    std::uint16_t m_data_centre = 0;
    std::unique_ptr<FlowDecider> m_decider;
    std::shared_ptr<const ForwardingTable> m_table;
    TableFixture m_view;
    std::uint64_t m_generation = 0;
    std::uint64_t m_member_generation = 0;
    FlowContact m_contact;
    bool m_is_alive = true;
    bool m_is_leaving = false;
    bool m_has_pending_update = false;
    std::int64_t m_isolated_until = 0;
    std::int64_t m_slow_until = 0;
  };
  /// The coordinator's state for one owner table: the wanted owners, and when and with which generation it was last
  /// published.
  struct Change {
    std::vector<OwnerEntry> m_wanted;
    std::uint64_t m_generation = 0;
    std::int64_t m_published = 0;
  };
  struct Caller {
    std::uint32_t m_service = 1;
    bool m_is_udp = false;
    std::uint64_t m_target = 0;
    std::uint32_t m_attempts = 0;
    std::int64_t m_next_send = 0;
    bool m_is_closed = false;
  };

  using TableKey = std::pair<std::uint32_t, std::uint16_t>;

  void Schedule(std::int64_t delay_ms, std::function<void()> action) {
    m_events.emplace(m_now + delay_ms, std::move(action));
  }
  [[nodiscard]] bool Chance(std::uint32_t percent) { return m_random.Below(100) < percent; }
  [[nodiscard]] std::int64_t Delay(std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(m_random.Below(static_cast<std::uint64_t>(to - from)));
  }
  [[nodiscard]] Balancer* FindBalancer(std::uint32_t host);
  [[nodiscard]] std::vector<Balancer*> LiveBalancers();
  [[nodiscard]] const TargetInfo* FindTarget(std::uint64_t id) const;

  // Coordinator and membership.
  void PublishTable(OwnerTable* table);
  void Coordinate(OwnerTable* table);
  void Heartbeat(Balancer* balancer);
  void SendMembers(Balancer* balancer);
  void Rebuild(Balancer* balancer);
  void ChangeMember(std::uint32_t host, MemberState state);
  void CheckMembership(Balancer* balancer);
  [[nodiscard]] bool IsConfirmed(const Balancer& balancer) const {
    return balancer.m_isolated_until <= m_now && balancer.m_generation == m_generation;
  }

  // Faults.
  void InjectFault(Fault fault);
  void InjectTargetFault(Fault fault);
  void InjectBalancerFault(Fault fault);
  void InjectDataCentreFault(Fault fault);
  void AddBalancer(std::uint16_t data_centre, bool ready);

  // Packets.
  void SendFromCaller(std::uint32_t flow);
  void SendToFabric(const Packet& packet, std::uint32_t flow);
  void Receive(std::uint32_t host, const Packet& packet, std::uint32_t flow);
  void Deliver(const Balancer& balancer, const Decision& decision, const Packet& packet, std::uint32_t flow);
  void SendRecords(Balancer* balancer);
  void Advance();

  std::int64_t m_now = 10'000;
  std::uint32_t m_loss = 0;
  Random m_random{1};
  TableFixture m_ground_truth;
  std::uint64_t m_generation = 1;
  std::uint64_t m_member_generation = 1;
  std::map<TableKey, Change> m_changes;
  std::multimap<std::int64_t, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::map<std::uint32_t, Caller> m_callers;
  std::uint32_t m_last_target = 10;
  std::uint32_t m_last_flow = 0;
  std::uint32_t m_open_callers = 79;
  std::int64_t m_last_fault = 0;
  std::int64_t m_last_balancer_fault = 0;
  FlowOracle m_oracle;
};

}  // namespace fighatch

#include "flow_cluster_impl.h"

#endif  // FIGHATCH_TESTS_FLOW_CLUSTER_H_
