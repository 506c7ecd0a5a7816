#ifndef FIGHATCH_BALANCER_CONTROL_LOOP_H_
#define FIGHATCH_BALANCER_CONTROL_LOOP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancer/coordinator_resync.h"
#include "balancer/data_plane.h"
#include "balancer/reachability.h"
#include "balancer/request_driver.h"
#include "daemon/peer_links.h"
#include "fighatch/allowance_holder.h"
#include "fighatch/coordinator.h"
#include "fighatch/membership.h"
#include "fighatch/target_registry.h"

namespace fighatch::daemon {

/// Settings of the control loop of a balancer.
struct ControlLoopOptions {
  /// This balancer, as it announces itself to the other members.
  Member m_self;
  /// Control endpoints through which a starting balancer finds the other members.
  std::vector<Endpoint> m_seeds;
  /// Keys that verify the announcements of targets.
  std::vector<TargetKey> m_target_keys;
  /// Seed of the random numbers of membership and coordination.
  std::uint64_t m_seed = 1;
};

/// Objects that the control loop uses. They must outlive it.
struct ControlLoopDependencies {
  DataPlane* m_data_plane = nullptr;
  PeerLinks* m_links = nullptr;
};

/// Runs the coordination of a balancer: membership, target facts, owner tables, token leases and flow records. It
/// passes time and received messages to the state machines of the core, sends the messages that they return, and builds
/// the forwarding table for the data plane and the target lists for the request engine. Messages that do not decode are
/// logged and dropped. All calls must come from the thread of the control fibers.
class ControlLoop {
 public:
  ControlLoop(const ControlLoopOptions& options, const ControlLoopDependencies& dependencies,
              const StateDocument& state);

  /// Does the periodic work that is due. To be called every 10 ms.
  void Tick();
  /// Applies a newer state document.
  void OnState(const StateDocument& state);
  /// Handles a message of another daemon. Returns false if the control loop has no handler for its type.
  bool OnMessage(const Envelope& message, const Endpoint& source);
  /// Handles an announcement of a target and returns the target's id. Errors: those of `TargetRegistry::Announce`.
  [[nodiscard]] Result<TargetId> OnAnnouncement(std::string_view body, std::string_view signature);
  /// Records the result of an exchange with a target for target health and token leases.
  void OnExchangeEnd(const ReportExchange& report);

  /// Sets the driver that receives the events for the request engine, and sends it the present services.
  void SetRequestDriver(RequestDriver* request_driver);

  /// Starts a planned leave: this balancer stops being a keeper, and its flow records are transferred to other keepers.
  void StartLeave();
  /// Completes a planned leave; to be called until it returns true. The leave notice is sent once `requests_ended` is
  /// true and the record transfer is done, and the leave is complete when the notice has had time to spread.
  [[nodiscard]] bool HasLeft(bool requests_ended);
  /// The balancer that takes over the request ids of this one, preferably in the same data centre; host 0 if no other
  /// balancer is live.
  [[nodiscard]] HostId Successor() const;

  /// Live balancers of the region except this one.
  [[nodiscard]] std::vector<HostId> OtherBalancers() const;
  /// Control endpoint of a member; empty if the host is unknown.
  [[nodiscard]] std::optional<Endpoint> FindEndpoint(HostId host) const;
  /// True once this balancer has had an owner table of its data centre for every service; it then stays true. Before
  /// that the balancer drops packets, so the fabric must not send it any.
  [[nodiscard]] bool IsReady() const noexcept { return m_ready; }
  /// True if no message of another daemon has arrived for 3 s; always false without seeds.
  [[nodiscard]] bool IsIsolated() const;

  [[nodiscard]] AllowanceHolder& Allowance() noexcept { return m_allowance; }
  [[nodiscard]] const Membership& Members() const noexcept { return m_membership; }
  [[nodiscard]] const TargetRegistry& Registry() const noexcept { return m_registry; }
  [[nodiscard]] const Coordinator& GetCoordinator() const noexcept { return m_coordinator; }
  [[nodiscard]] const StateDocument& State() const noexcept { return m_state; }
  /// The newest owner tables of the region, which the data plane uses.
  [[nodiscard]] std::vector<OwnerTable> Tables() const;

 private:
  using Handler = void (ControlLoop::*)(const Envelope& message);
  struct HandlerEntry {
    MessageType m_type;
    Handler m_handler;
  };
  using TableKey = std::pair<ServiceId, DataCentreId>;

  void TickMembership(TimePoint now);
  /// True if this balancer holds all records that a keeper needs, or is the first keeper of its data centre.
  [[nodiscard]] bool CanBecomeKeeper(TimePoint now);
  void TickCoordination(TimePoint now);
  void TickLeases(TimePoint now);
  /// Sends new target facts to the coordinator.
  void TickTargetFacts(TimePoint now);
  /// Sends the owner tables and target facts of this balancer to a new coordinator.
  void TickCoordinatorResync(TimePoint now);
  void TickHealthChecks(TimePoint now);
  void CheckTarget(TargetId target, Incarnation incarnation, const Endpoint& endpoint);
  void TickFlowRecords();
  /// Tells the data plane when the coordinator and the other members were last heard from.
  void TickPeerContact(TimePoint now);
  /// Repeats the acknowledgements of tables in transition.
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
  /// Builds the forwarding table and everything else that depends on tables, members and state.
  void RebuildForwardingTable(TimePoint now);
  /// True if there is an owner table of this data centre for every service.
  [[nodiscard]] bool HasLocalTables() const;
  /// Sends changed target lists of services in request mode to the request engine.
  void UpdateRequestTargets();
  /// Sets, for services without usable targets in this data centre, the balancers that can serve their requests.
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
  /// Where the acknowledgements of a table go.
  std::map<TableKey, HostId> m_table_senders;
  std::shared_ptr<const ForwardingTable> m_forwarding_table;
  std::map<ServiceId, std::vector<TargetInfo>> m_request_targets;
  bool m_tables_changed = true;
  Reachability m_reachability;
  CoordinatorResync m_coordinator_resync;

  /// When the coordinator last confirmed the tables.
  TimePoint m_table_confirmed;
  /// When a message of another daemon last arrived.
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

#endif  // FIGHATCH_BALANCER_CONTROL_LOOP_H_
