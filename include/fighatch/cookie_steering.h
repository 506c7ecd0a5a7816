#ifndef FIGHATCH_COOKIE_STEERING_H_
#define FIGHATCH_COOKIE_STEERING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/cookie_packet.h"
#include "fighatch/error.h"
#include "fighatch/placed_flow_table.h"
#include "fighatch/random.h"
#include "fighatch/routing_state.h"
#include "fighatch/sync_message.h"
#include "fighatch/target_choice.h"
#include "fighatch/target_table.h"

namespace fighatch {

/// What to do with a packet.
enum class SteeringAction : std::uint8_t {
  /// Send it to the target with the cookie.
  kForward = 0,
  /// Answer the client with a reset: the flow cannot be opened, or its target has ended.
  kReset = 1,
  kDrop = 2,
  /// Let the opening packet wait: targets are not known yet, or all have as much as they can take.
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
  /// For logs: flows known at the target when a new flow was placed there, and how many targets could be chosen.
  std::uint32_t m_flows_at_target = 0;
  std::uint32_t m_candidates = 0;
  /// For packets that wait: priority of the packet's route, and until when its answer can be in time; unset if the
  /// route has no objective or is not known yet.
  std::uint32_t m_priority = 0;
  std::optional<TimePoint> m_objective_deadline;
  bool m_placed = false;
  /// Set on the packet that shows that the target took the flow: the time since the flow was placed.
  std::optional<Duration> m_opened_after;
  /// Set on the client's last packet of a flow: the time since the flow was placed.
  std::optional<Duration> m_closed_after;
};

/// Settings of a `CookieSteering`.
struct SteeringOptions {
  HostId m_self;
  std::string m_data_centre;
  /// A flow without a packet for this long is no longer remembered.
  Duration m_idle_timeout = std::chrono::milliseconds(2500);
  /// A flow counts as load for this long after its last packet: clients that give up do not always say so.
  Duration m_load_timeout = std::chrono::milliseconds(400);
  /// The same before the target has answered.
  Duration m_opening_load_timeout = std::chrono::milliseconds(100);
  /// A load report counts for this long.
  Duration m_report_lifetime = std::chrono::milliseconds(600);
  /// How old the other balancers' reports may be.
  Duration m_report_lag = std::chrono::milliseconds(40);
  /// For this long after the first state arrived, targets may still be unknown here.
  Duration m_learning_period = std::chrono::milliseconds(1500);
};

/// Steers flows whose ends repeat a cookie: a new flow is placed once, by its opening packet, and every later packet
/// names its target itself. So any balancer can take any packet without state for the flow, and changes of routes,
/// targets and balancers move no flow.
class CookieSteering {
 public:
  CookieSteering(const SteeringOptions& options, std::unique_ptr<ChoiceStrategy> choice, Random random);

  [[nodiscard]] SteeringDecision Steer(TimePoint now, const CookiePacket& packet);
  /// Steers an opening packet that has waited; `asked` is when the client sent the first copy.
  [[nodiscard]] SteeringDecision SteerWaiting(TimePoint now, const CookiePacket& packet, TimePoint first_sent) {
    return PlaceFlow(now, packet, first_sent);
  }

  /// Follows the published state; older updates change nothing. Returns true if the update was taken.
  bool Update(TimePoint now, const RoutingUpdate& update);
  /// Merges what a control host tells of a target; true if it was news.
  bool Merge(TimePoint now, const TargetObservation& observation);
  void Receive(TimePoint now, const LoadReport& report);
  /// How many balancers share the rate of cold targets, this one included.
  void SetBalancers(std::vector<HostId> balancers) { m_balancers = std::move(balancers); }
  void SetReportLag(Duration lag) { m_options.m_report_lag = lag; }

  /// When a new flow last found no target that seems alive, though there are some; unset if that did not happen.
  [[nodiscard]] std::optional<TimePoint> StrandedAt() const noexcept { return m_stranded_at; }
  /// Forgets what was unanswered, for example when the network is back.
  void ResetUnanswered();

  /// How many waiting packets this balancer may place now: its share of what targets can take beyond what they have.
  [[nodiscard]] std::size_t ReleaseBudget(TimePoint now) const;
  /// How many packets may wait: as many as this balancer's share of the targets serves while a client waits.
  [[nodiscard]] std::size_t WaitingLimit(TimePoint now) const;

  /// Updates which flows count as load; call it every few tens of milliseconds.
  void RefreshLoadCounts(TimePoint now);

  /// Ends idle flows and forgets old targets and reports; call it every few hundred milliseconds.
  void Tick(TimePoint now);

  /// The flows that this balancer has open, for the other balancers.
  [[nodiscard]] LoadReport MakeReport();

  [[nodiscard]] const PublishedState& State() const noexcept { return m_state; }
  [[nodiscard]] TargetTable& Targets() noexcept { return m_targets; }
  [[nodiscard]] std::size_t OpenFlows() const noexcept { return m_flows.Size(); }

 private:
  struct ReceivedReport {
    TimePoint m_received;
    LoadReport m_report;
  };

  // What opening packets tell of the way to a data centre.
  struct DataCentreHealth {
    std::uint32_t m_unanswered = 0;
    TimePoint m_avoid_until;
  };

  [[nodiscard]] SteeringDecision PlaceFlow(TimePoint now, const CookiePacket& packet, TimePoint first_sent);
  [[nodiscard]] SteeringDecision SteerByCookie(TimePoint now, const CookiePacket& packet);
  // Notes a packet of a flow that was placed here; sets the times in the decision.
  void RecordProgress(TimePoint now, const CookiePacket& packet, SteeringTarget* target, SteeringDecision* decision);
  [[nodiscard]] const std::string& PickService(const Route& route);
  [[nodiscard]] std::vector<SteeringTarget*> Candidates(TimePoint now, const std::string& service,
                                                        const SteeringTarget* unresponsive);
  // Flows that the others have probably placed at each of the candidates since they last reported: routers spread
  // flows evenly, so when many come here at once, many come to the others too.
  [[nodiscard]] double EstimateUnreportedFlows(TimePoint now, const std::string& service, std::size_t candidates);
  // This balancer's share of an amount that is summed over all targets that may take new flows.
  [[nodiscard]] double OwnShare(TimePoint now, double (*amount)(const SteeringTarget& target)) const;
  [[nodiscard]] bool IsOpenForNewFlows(const SteeringTarget& target) const;
  [[nodiscard]] bool SeemsReachable(TimePoint now, const SteeringTarget& target) const;
  [[nodiscard]] bool IsWithinColdRate(TimePoint now, const SteeringTarget& target) const;
  [[nodiscard]] std::uint32_t ColdRateSharers(const ServicePolicy& policy) const;
  [[nodiscard]] bool DataCentreSeemsReachable(TimePoint now, const std::string& name) const;
  void RecordUnanswered(TimePoint now, SteeringTarget* target);
  void RecordAnswered(SteeringTarget* target);
  void SetCountsAsLoad(PlacedFlow* flow, bool counts_as_load);
  void RecordFlowEnd(TimePoint now, const PlacedFlow& flow, bool completed);
  void RegisterPlacement(TimePoint now, const FlowEndpoints& endpoints, SteeringTarget* target);
  void SumReports();

  SteeringOptions m_options;
  std::unique_ptr<ChoiceStrategy> m_choice;
  Random m_random;
  PublishedState m_state;
  TargetTable m_targets;
  PlacedFlowTable m_flows;
  std::vector<HostId> m_balancers;
  std::map<HostId, ReceivedReport> m_reports;
  std::unordered_map<std::string, double> m_service_processing_ms;
  // When this balancer placed its latest flows, by service.
  std::unordered_map<std::string, std::deque<TimePoint>> m_recent_placements;
  std::map<std::string, DataCentreHealth> m_data_centres;
  std::uint64_t m_report_sequence = 0;
  TimePoint m_learning_until;
  std::optional<TimePoint> m_stranded_at;
};

}  // namespace fighatch

#endif  // FIGHATCH_COOKIE_STEERING_H_
