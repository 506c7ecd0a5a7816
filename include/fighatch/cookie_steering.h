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

#include "fighatch/cookie_packet.h"
#include "fighatch/error.h"
#include "fighatch/load_summary.h"
#include "fighatch/load_view.h"
#include "fighatch/offered_load.h"
#include "fighatch/offered_rate_meter.h"
#include "fighatch/placed_flow_table.h"
#include "fighatch/random.h"
#include "fighatch/routing_state.h"
#include "fighatch/sync_message.h"
#include "fighatch/target_choice.h"
#include "fighatch/target_table.h"

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
    return PlaceFlow(now, packet, first_sent);
  }

  /// Applies an update of the published state; older updates are ignored. Returns true if the update was applied.
  bool Update(TimePoint now, const RoutingUpdate& update);
  /// Merges a target record from a control host; true if it was newer than the known record.
  bool Merge(TimePoint now, const TargetObservation& observation);
  /// Takes what another balancer says of load; while the sender's last message has not expired, only a newer one is
  /// accepted. Returns true if it was taken.
  bool Receive(TimePoint now, const LoadReport& report);
  bool Receive(TimePoint now, const OfferedLoad& load) { return m_view.Receive(now, load); }
  bool Receive(TimePoint now, const LoadSummary& summary);
  /// All balancers, this one included; they share the targets' capacity and the rate of new flows to cold targets.
  void SetBalancers(std::vector<HostId> balancers) { m_balancers = std::move(balancers); }
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

 private:
  // Reachability of a data centre, inferred from answers to opening packets.
  struct DataCentreHealth {
    std::uint32_t m_unanswered = 0;
    TimePoint m_avoid_until;
  };

  [[nodiscard]] SteeringDecision PlaceFlow(TimePoint now, const CookiePacket& packet, TimePoint first_sent);
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
  void RecordFlowEnd(TimePoint now, const PlacedFlow& flow, bool completed);
  void RegisterPlacement(TimePoint now, const FlowEndpoints& endpoints, SteeringTarget* target);
  // Finds the services whose routes have at least two priorities.
  void IndexPriorities();
  // Counts a new flow as offered to each service of its route, by their weights. Only services with several priorities
  // are counted: rates matter where one priority gives way to another.
  void CountOffered(TimePoint now, const CookiePacket& packet);
  [[nodiscard]] std::vector<CookieLoad> OwnLoads() const;
  void SumReports();

  SteeringOptions m_options;
  std::unique_ptr<ChoiceStrategy> m_choice;
  Random m_random;
  PublishedState m_state;
  TargetTable m_targets;
  PlacedFlowTable m_flows;
  std::vector<HostId> m_balancers;
  LoadView m_view;
  OfferedRateMeter m_offered_rates;
  std::set<std::string> m_prioritised_services;
  std::unordered_map<std::string, double> m_service_processing_ms;
  // Times at which this balancer placed its latest flows, by service.
  std::unordered_map<std::string, std::deque<TimePoint>> m_recent_placements;
  std::map<std::string, DataCentreHealth> m_data_centres;
  std::uint64_t m_report_sequence = 0;
  std::uint64_t m_offered_sequence = 0;
  TimePoint m_learning_until;
  std::optional<TimePoint> m_targets_unreachable_at;
};

}  // namespace fighatch

#endif  // FIGHATCH_COOKIE_STEERING_H_
