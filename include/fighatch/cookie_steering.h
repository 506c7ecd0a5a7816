#ifndef FIGHATCH_COOKIE_STEERING_H_
#define FIGHATCH_COOKIE_STEERING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/admission_queue.h"
#include "fighatch/cookie_packet.h"
#include "fighatch/error.h"
#include "fighatch/load_summary.h"
#include "fighatch/load_view.h"
#include "fighatch/offered_load.h"
#include "fighatch/offered_rate_meter.h"
#include "fighatch/placed_flow_table.h"
#include "fighatch/priority_shares.h"
#include "fighatch/random.h"
#include "fighatch/routing_state.h"
#include "fighatch/sync_message.h"
#include "fighatch/target_choice.h"
#include "fighatch/target_table.h"
#include "fighatch/work_estimator.h"

namespace fighatch {

/// What to do with a packet.
enum class SteeringAction : std::uint8_t {
  /// Send it to the target, together with the target's cookie.
  kForward = 0,
  /// Answer the client with a reset: the flow cannot be opened, or its target has ended.
  kReset = 1,
  kDrop = 2,
  /// Hold the opening packet: targets are not known yet, or all of them are full.
  kHold = 3,
};

/// Where a packet goes and why.
struct SteeringDecision {
  SteeringAction m_action = SteeringAction::kDrop;
  /// Set unless the action is `kForward`.
  ErrorCode m_reason = ErrorCode::kOk;
  TargetId m_target;
  Endpoint m_endpoint;
  std::uint32_t m_cookie = 0;
  /// For logs: flows known at the target before the new flow was placed there, and the number of targets to choose
  /// from.
  std::uint32_t m_flows_at_target = 0;
  std::uint32_t m_candidates = 0;
  /// The expected time to finish in milliseconds that decided, if the strategy needs work estimates.
  std::optional<double> m_expected_ms;
  /// For packets to hold: priority of the packet's route, and until when an answer meets the route's latency objective;
  /// unset if the route has no objective or is not known yet.
  std::uint32_t m_priority = 0;
  std::optional<TimePoint> m_objective_deadline;
  /// True if this decision placed a new flow.
  bool m_placed = false;
  /// Set on the first packet that shows that the target accepted the flow: the time since the flow was placed.
  std::optional<Duration> m_opened_after;
  /// Set on the client's last packet of a flow: the time since the flow was placed.
  std::optional<Duration> m_closed_after;
};

/// Settings of a `CookieSteering`.
struct SteeringOptions {
  HostId m_self;
  std::string m_data_centre;
  /// A flow without a packet for this long is removed from the table of placed flows.
  Duration m_idle_timeout = std::chrono::milliseconds(2500);
  /// A flow counts as load for this long after its last packet: clients that give up do not always close the flow.
  Duration m_load_timeout = std::chrono::milliseconds(400);
  /// The same for a flow whose target has not answered yet.
  Duration m_opening_load_timeout = std::chrono::milliseconds(100);
  /// A load report expires this long after it was received.
  Duration m_report_lifetime = std::chrono::milliseconds(600);
  /// How old the latest load reports of the other balancers may be.
  Duration m_report_lag = std::chrono::milliseconds(40);
  /// For this long after the first state has arrived, targets may still be unknown here: opening packets without a
  /// target are held rather than refused.
  Duration m_learning_period = std::chrono::milliseconds(1500);
  /// Divides the room of a service among balancers and priorities while the service is short of it.
  bool m_rate_shares = false;
};

/// A packet that waited, and what to do with it.
struct ReleasedPacket {
  WaitingPacket m_packet;
  SteeringDecision m_decision;
};

/// Decides for a balancer where each client packet goes, on a transport whose endpoints echo a cookie. A new flow is
/// placed once, by its opening packet; every later packet names its target by the cookie. So any balancer can forward
/// any packet without state for the flow, and changes of routes, targets and balancers do not move open flows. It reads
/// no clock: each call gets the time. Refusals are returned as an action with an error code.
class CookieSteering {
 public:
  CookieSteering(const SteeringOptions& options, std::unique_ptr<ChoiceStrategy> choice, Random random);

  [[nodiscard]] SteeringDecision Steer(TimePoint now, const CookiePacket& packet);
  /// Steers an opening packet that was held; `first_sent` is when the client first sent it.
  [[nodiscard]] SteeringDecision SteerWaiting(TimePoint now, const CookiePacket& packet, TimePoint first_sent) {
    return PlaceFlow(now, packet, first_sent, PacketSource::kWaiting);
  }

  /// Applies an update of the published state, see `ApplyUpdate`.
  UpdateOutcome Update(TimePoint now, const RoutingUpdate& update);
  /// What to tell control hosts of the state held here. After `UpdateOutcome::kDigestMismatch` it is no state, so that
  /// they send the whole one; the state held stays in force until then.
  [[nodiscard]] StatePosition HeldState() const noexcept {
    return m_needs_whole_state ? StatePosition{} : m_state.Position();
  }
  /// Merges a target record from a control host; true if it was newer than the known record.
  bool Merge(TimePoint now, const TargetObservation& observation);
  /// Takes what another balancer says of load; while the sender's last message has not expired, only a newer one is
  /// accepted. Returns true if it was taken.
  bool Receive(TimePoint now, const LoadReport& report);
  bool Receive(TimePoint now, const OfferedLoad& load) { return m_view.Receive(now, load); }
  bool Receive(TimePoint now, const LoadSummary& summary);
  /// All balancers, this one included; they share the targets' capacity and the rate of new flows to cold targets.
  void SetBalancers(std::vector<HostId> balancers) {
    m_balancers = std::move(balancers);
    m_shares.SetBalancers(m_balancers.size());
  }
  void SetReportLag(Duration lag) { m_options.m_report_lag = lag; }

  /// When a new flow last found targets of its service but none that seems reachable; unset if that did not happen.
  [[nodiscard]] std::optional<TimePoint> TargetsUnreachableAt() const noexcept { return m_targets_unreachable_at; }
  /// Clears the counts of unanswered opening packets, for example when the network is back.
  void ResetUnanswered();

  /// How many held packets this balancer may place now: its share of the targets' free capacity.
  [[nodiscard]] std::size_t ReleaseBudget(TimePoint now) const;
  /// How many packets may be held: as many as this balancer's share of the targets serves within
  /// `AdmissionQueue::kMaxWait`.
  [[nodiscard]] std::size_t WaitingLimit(TimePoint now) const;

  /// Replaces the demand for a service that the other balancers have reported, without that of this balancer.
  void SetDemand(TimePoint now, const std::string& service, const ServiceDemand& demand) {
    m_shares.SetDemand(now, service, demand);
  }
  /// True while a service is offered more than its targets can serve, see `PriorityShares`.
  [[nodiscard]] bool IsShortOfRoom(const std::string& service) const { return m_shares.IsShortOfRoom(service); }
  /// Takes the packets to services that are short of room from the queue, and returns those that may be placed now and
  /// those that cannot be answered in time. The others are put back.
  [[nodiscard]] std::vector<ReleasedPacket> ReleaseSharedPackets(TimePoint now, AdmissionQueue* queue);
  /// The service addresses whose packets only `ReleaseSharedPackets` releases.
  [[nodiscard]] std::set<Endpoint> AddressesShortOfRoom() const;

  /// Stops counting silent flows and expired summaries as load; call it every few tens of milliseconds.
  void RefreshLoadCounts(TimePoint now);

  /// Removes idle flows, ended targets and expired reports; call it every few hundred milliseconds.
  void Tick(TimePoint now);

  /// The load report that tells the other balancers how many flows this one has open at each target.
  [[nodiscard]] LoadReport MakeReport();
  /// What the clients of this balancer request of services with several priorities, for the balancers that get its load
  /// reports.
  [[nodiscard]] OfferedLoad MakeOfferedLoad(TimePoint now);
  /// The load of this balancer's data centre, for balancers of the others.
  [[nodiscard]] LoadSummary MakeSummary(TimePoint now);

  /// What the other balancers have told, and whom to tell.
  [[nodiscard]] LoadView& View() noexcept { return m_view; }
  [[nodiscard]] const PublishedState& State() const noexcept { return m_state; }
  [[nodiscard]] TargetTable& Targets() noexcept { return m_targets; }
  [[nodiscard]] std::size_t OpenFlows() const noexcept { return m_flows.Size(); }
  [[nodiscard]] PriorityShares& Shares() noexcept { return m_shares; }
  [[nodiscard]] const PriorityShares& Shares() const noexcept { return m_shares; }
  /// Number of requests whose work was learned; 0 if the strategy does not need it.
  [[nodiscard]] std::uint64_t WorkSamples() const noexcept { return m_work_samples; }
  /// True if a flow with these endpoints has been placed and its end has not been seen.
  [[nodiscard]] bool IsOpen(const FlowEndpoints& endpoints) const { return m_flows.Contains(endpoints); }

 private:
  // Reachability of a data centre, inferred from answers to opening packets.
  struct DataCentreHealth {
    std::uint32_t m_unanswered = 0;
    TimePoint m_avoid_until;
  };

  // Whether an opening packet has just arrived, or was held before.
  enum class PacketSource : std::uint8_t { kArrived = 0, kWaiting = 1 };

  // What the rate shares need to know of an opening packet.
  struct ShareRequest {
    const Route* m_route = nullptr;
    const std::string* m_service = nullptr;
    TimePoint m_first_sent;
    PacketSource m_source = PacketSource::kArrived;
    // The flow was placed before, but its target did not answer.
    bool m_was_placed = false;
  };

  [[nodiscard]] SteeringDecision PlaceFlow(TimePoint now, const CookiePacket& packet, TimePoint first_sent,
                                           PacketSource source);
  // The decision to hold or to refuse a packet to a service that is short of room; empty if it may be placed at one of
  // the remaining candidates.
  [[nodiscard]] std::optional<SteeringDecision> ApplyShares(TimePoint now, const ShareRequest& request,
                                                            double unreported_flows,
                                                            std::vector<SteeringTarget*>* candidates);
  // Processes the packets to one address, in the order of service.
  void ReleaseInTurns(TimePoint now, const Route& route, AdmissionQueue* queue, std::vector<ReleasedPacket>* released);
  // The first service of a route that is short of room; null if none is.
  [[nodiscard]] const std::string* ServiceShortOfRoom(const Route& route) const;
  // Passes the demand that other balancers have reported on to the shares, and tells the view of shortages.
  void UpdateDemand(TimePoint now);
  // Computes the room of all services with several priorities, at most once in a short interval.
  void RefreshRoom(TimePoint now);
  // Requests per second that a service's open targets can serve.
  [[nodiscard]] double RequestsPerSecond(TimePoint now, const std::string& service, double request_ms) const;
  // Time that a request occupies a slot, in milliseconds; 0 before the first sample.
  [[nodiscard]] double SlotTimeMs(const std::string& service) const;
  void LearnSlotTime(const std::string& service, const PlacedFlow& flow, Duration duration);
  [[nodiscard]] SteeringDecision SteerByCookie(TimePoint now, const CookiePacket& packet);
  // Updates the flow if it was placed here, and sets the times in the decision.
  void RecordProgress(TimePoint now, const CookiePacket& packet, SteeringTarget* target, SteeringDecision* decision);
  [[nodiscard]] const std::string& PickService(const Route& route);
  [[nodiscard]] std::vector<SteeringTarget*> Candidates(TimePoint now, const std::string& service,
                                                        const SteeringTarget* unresponsive);
  // Estimates how many flows the other balancers have placed at each candidate since their last reports. Routers spread
  // flows evenly over the balancers, so a burst here implies a burst at the others.
  [[nodiscard]] double EstimateUnreportedFlows(TimePoint now, const std::string& service, std::size_t candidates);
  // This balancer's share of `amount`, summed over all targets that may take new flows.
  [[nodiscard]] double OwnShare(TimePoint now, double (*amount)(const SteeringTarget& target)) const;
  // True if neither the target's state nor its data centre rules out new flows. A target that control hosts report as
  // silent stays open while it accepts flows: what this balancer sees counts more than missing announcements.
  [[nodiscard]] bool IsOpenForNewFlows(TimePoint now, const SteeringTarget& target) const;
  // The silent targets of a service that may still answer, to be tried when no target is open for new flows.
  [[nodiscard]] std::vector<SteeringTarget*> SilentCandidates(TimePoint now, const std::string& service) const;
  // False while new flows avoid the target or its data centre because opening packets stayed unanswered.
  [[nodiscard]] bool SeemsReachable(TimePoint now, const SteeringTarget& target) const;
  // True if the target is warm or has no rate limit, or if this balancer's share of the limit allows another flow now.
  [[nodiscard]] bool IsWithinColdRate(TimePoint now, const SteeringTarget& target) const;
  // Number of balancers that share the limited rate of one cold target.
  [[nodiscard]] std::uint32_t ColdRateSharers(const ServicePolicy& policy) const;
  [[nodiscard]] bool DataCentreSeemsReachable(TimePoint now, const std::string& name) const;
  void RecordUnanswered(TimePoint now, SteeringTarget* target);
  void RecordAnswered(SteeringTarget* target);
  void SetCountsAsLoad(PlacedFlow* flow, bool counts_as_load);
  // Updates the request in progress of a flow by one of its packets.
  void RecordRequestProgress(TimePoint now, const CookiePacket& packet, PlacedFlow* flow, SteeringTarget* target);
  void BeginRequest(TimePoint now, PlacedFlow* flow, SteeringTarget* target);
  // Moves the start of the request in progress, since more of it was sent.
  void DelayRequest(PlacedFlow* flow, SteeringTarget* target, Duration delay);
  // Ends the request in progress, if any; `seen` is false if it ended unnoticed some time ago.
  void EndRequest(TimePoint now, PlacedFlow* flow, SteeringTarget* target, bool seen);
  void RecordRequestEnd(TimePoint now, const PlacedFlow& flow, SteeringTarget* target, bool seen);
  void AverageRemoteFlows(TimePoint now);
  // Brings the estimates of work and speed up to date.
  void RefreshWork(TimePoint now);
  void RecordFlowEnd(TimePoint now, const PlacedFlow& flow, bool completed);
  // `work_route` is the index of the flow's route in the work estimator.
  void RegisterPlacement(TimePoint now, const FlowEndpoints& endpoints, std::uint32_t work_route,
                         SteeringTarget* target);
  // Finds the services whose routes have at least two priorities.
  void IndexPriorities();
  // Counts a new flow as offered to each service of its route, by their weights. Only services with several priorities
  // are counted: rates matter where one priority gives way to another.
  void CountOffered(TimePoint now, const CookiePacket& packet);
  [[nodiscard]] std::vector<CookieLoad> OwnLoads() const;
  void UpdateRemoteFlows();

  SteeringOptions m_options;
  std::unique_ptr<ChoiceStrategy> m_choice;
  Random m_random;
  PublishedState m_state;
  bool m_needs_whole_state = false;
  TargetTable m_targets;
  PlacedFlowTable m_flows;
  std::vector<HostId> m_balancers;
  LoadView m_view;
  OfferedRateMeter m_offered_rates;
  std::set<std::string> m_prioritised_services;
  std::unordered_map<std::string, double> m_service_processing_ms;
  // Time for which a request occupies a slot, learned while queues at targets are short.
  struct SlotTime {
    double m_mean_ms = 0;
    std::uint32_t m_samples = 0;
  };

  std::unordered_map<std::string, SlotTime> m_slot_times;
  PriorityShares m_shares;
  TimePoint m_room_computed;
  // Service addresses with packets that were held by `ApplyShares` and not released since.
  std::set<Endpoint> m_waiting_addresses;
  // Times at which this balancer placed its latest flows, by service.
  std::unordered_map<std::string, std::deque<TimePoint>> m_recent_placements;
  std::map<std::string, DataCentreHealth> m_data_centres;
  // Set if the strategy needs it.
  std::optional<WorkEstimator> m_work;
  std::uint64_t m_work_samples = 0;
  TimePoint m_remote_flows_averaged;
  std::uint64_t m_report_sequence = 0;
  std::uint64_t m_offered_sequence = 0;
  TimePoint m_learning_until;
  std::optional<TimePoint> m_targets_unreachable_at;
};

}  // namespace fighatch

#endif  // FIGHATCH_COOKIE_STEERING_H_
