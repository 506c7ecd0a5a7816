#ifndef FIGHATCH_DAEMON_CONTROL_LOOP_H_
#define FIGHATCH_DAEMON_CONTROL_LOOP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/coordinator_resync.h"
#include "daemon/data_plane.h"
#include "daemon/peer_links.h"
#include "daemon/reachability.h"
#include "daemon/request_driver.h"
#include "fighatch/allowance_holder.h"
#include "fighatch/coordinator.h"
#include "fighatch/membership.h"
#include "fighatch/target_registry.h"

namespace fighatch::daemon {

/// How the control loop of a balancer is set up.
struct ControlLoopOptions {
  /// This balancer as the others see it.
  Member m_self;
  std::vector<Endpoint> m_seeds;
  std::vector<TargetKey> m_target_keys;
  std::uint64_t m_seed = 1;
};

/// What the control loop works with; all must outlive it.
struct ControlLoopDependencies {
  DataPlane* m_data_plane = nullptr;
  PeerLinks* m_links = nullptr;
};

/// Runs the coordination of a balancer: membership, target facts, tables, leases and flow records. It feeds the core's
/// state machines with time and messages, sends what they return, and builds the forwarding tables. It belongs to the
/// thread of the control fibers.
class ControlLoop {
 public:
  ControlLoop(const ControlLoopOptions& options, const ControlLoopDependencies& dependencies,
              const StateDocument& state);

  /// Does what is due; to be called every 10 ms.
  void Tick();
  /// Takes a newer state document.
  void OnState(const StateDocument& state);
  /// Takes a message of another daemon; false if it is not for the control loop.
  bool OnMessage(const Envelope& message, const Endpoint& source);
  /// Takes an announcement of a target.
  [[nodiscard]] Result<TargetId> OnAnnouncement(std::string_view body, std::string_view signature);
  /// Takes how an exchange with a target ended.
  void OnExchangeEnd(const ReportExchange& report);

  /// Sets where events for the request engine go.
  void SetRequestDriver(RequestDriver* request_driver);

  /// Starts a planned leave: records and keeper duty go to others first.
  void StartLeave();
  /// True once the leave is complete.
  [[nodiscard]] bool HasLeft(bool requests_ended);
  /// A balancer that takes over the request ids of this one; host 0 if there is none.
  [[nodiscard]] HostId Successor() const;

  /// Live balancers of the region but this one.
  [[nodiscard]] std::vector<HostId> OtherBalancers() const;
  [[nodiscard]] std::optional<Endpoint> FindEndpoint(HostId host) const;
  /// True once this balancer has had a table of its data centre for every service of its first state. Before that it
  /// drops packets, so the fabric must not send it any.
  [[nodiscard]] bool IsReady() const noexcept { return m_ready; }
  /// True if no other member was heard for the isolation time.
  [[nodiscard]] bool IsIsolated() const;

  [[nodiscard]] AllowanceHolder& Allowance() noexcept { return m_allowance; }
  [[nodiscard]] const Membership& Members() const noexcept { return m_membership; }
  [[nodiscard]] const TargetRegistry& Registry() const noexcept { return m_registry; }
  [[nodiscard]] const Coordinator& GetCoordinator() const noexcept { return m_coordinator; }
  [[nodiscard]] const StateDocument& State() const noexcept { return m_state; }
  /// The newest owner tables of the region, in use by the data plane.
  [[nodiscard]] std::vector<OwnerTable> Tables() const;

 private:
  using Handler = void (ControlLoop::*)(const Envelope& message);
  struct HandlerEntry {
    MessageType m_type;
    Handler m_handler;
  };
  using TableKey = std::pair<ServiceId, DataCentreId>;

  void TickMembership(TimePoint now);
  [[nodiscard]] bool CanBecomeKeeper(TimePoint now);
  void TickCoordination(TimePoint now);
  void TickLeases(TimePoint now);
  void TickTargetFacts(TimePoint now);
  /// Tells a new coordinator the tables and target facts held here.
  void TickCoordinatorResync(TimePoint now);
  void TickHealthChecks(TimePoint now);
  void CheckTarget(TargetId target, Incarnation incarnation, const Endpoint& endpoint);
  void TickFlowRecords();
  void TickPeerContact(TimePoint now);
  void TickTableAcks(TimePoint now);

  void Execute(const MembershipActions& actions, TimePoint now);
  void OnMembershipEvent(const MembershipEvent& event);
  void OnMembersChanged(TimePoint now);
  void TickReachability(TimePoint now);

  void OnTableUpdateMessage(const Envelope& message);
  void OnTableAckMessage(const Envelope& message);
  void OnTargetFactsMessage(const Envelope& message);
  void OnLeaseRequestMessage(const Envelope& message);
  void OnLeaseGrantMessage(const Envelope& message);
  void OnFlowRecordsMessage(const Envelope& message);
  void OnFlowRecordsAckMessage(const Envelope& message);
  void OnRequestForwardMessage(const Envelope& message);
  void OnRequestAnswerMessage(const Envelope& message);
  void OnHandoverMessage(const Envelope& message);
  void OnHandoverAckMessage(const Envelope& message);
  void OnSuccessorMessage(const Envelope& message);
  static const HandlerEntry kHandlers[];

  void ApplyTableUpdate(const TableUpdate& update, HostId from);
  void SendAck(const TableKey& key, HostId to);
  void RebuildForwardingTable(TimePoint now);
  [[nodiscard]] bool HasLocalTables() const;
  void UpdateRequestTargets();
  void UpdateRequestFallbacks();
  [[nodiscard]] std::vector<TargetInfo> AllTargets() const;

  ControlLoopOptions m_options;
  ControlLoopDependencies m_dependencies;
  StateDocument m_state;
  Random m_random;
  Membership m_membership;
  TargetRegistry m_registry;
  Coordinator m_coordinator;
  AllowanceHolder m_allowance;
  RequestDriver* m_request_driver = nullptr;

  std::map<TableKey, TableUpdate> m_tables;
  std::map<TableKey, HostId> m_table_senders;
  std::shared_ptr<const ForwardingTable> m_forwarding_table;
  std::map<ServiceId, std::vector<TargetInfo>> m_request_targets;
  bool m_tables_changed = true;
  Reachability m_reachability;
  CoordinatorResync m_coordinator_resync;

  TimePoint m_table_confirmed;
  TimePoint m_peer_heard;
  TimePoint m_next_coordination;
  TimePoint m_next_target_facts;
  TimePoint m_next_health_check;
  TimePoint m_next_table_acks;
  TimePoint m_started;
  bool m_ready = false;
  bool m_keeper_ready = false;
  bool m_leaving = false;
  bool m_leave_sent = false;
  TimePoint m_leave_sent_at;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CONTROL_LOOP_H_
