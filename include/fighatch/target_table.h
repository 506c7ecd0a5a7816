#ifndef FIGHATCH_TARGET_TABLE_H_
#define FIGHATCH_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/open_request.h"
#include "fighatch/target_speed.h"
#include "fighatch/time.h"

namespace fighatch {

/// A target as one balancer sees it: its latest record, and the load and responsiveness that the balancer observes.
struct SteeringTarget {
  AnnouncedTarget m_record;
  /// When the balancer learned of the present state.
  TimePoint m_state_since;
  /// Until when the target is taken for cold.
  TimePoint m_cold_until;
  /// Flows that this balancer has open at the target and counts as load.
  std::uint32_t m_open_flows = 0;
  /// Flows of this balancer that the target has not answered yet.
  std::uint32_t m_opening_flows = 0;
  /// Flows that other balancers have reported.
  std::uint32_t m_remote_flows = 0;
  /// Moving average in milliseconds of the processing time of one request, without queueing; 0 before the first sample.
  double m_processing_ms = 0;
  /// When the target last accepted a flow of this balancer.
  TimePoint m_last_accepted;
  /// Number of consecutive opening packets that the target did not answer.
  std::uint32_t m_unanswered = 0;
  /// The target gets no new flows before this time, because opening packets stayed unanswered.
  TimePoint m_avoid_until;
  /// While the target is cold and its rate is limited: when the next new flow may go to it.
  TimePoint m_next_cold_flow;
  /// True if another target of a named service has started later at the same address, so that this one has certainly
  /// ended.
  bool m_superseded = false;
  /// Only for placement by remaining work: this balancer's requests in progress at the target, the moving average of
  /// `m_remote_flows`, and the learned speed.
  std::vector<OpenRequest> m_requests;
  double m_mean_remote_flows = 0;
  TargetSpeed m_speed;
};

/// The targets that a balancer knows, indexed by id, cookie, service and address. Records may arrive in any order; one
/// that is older than the known record changes nothing, so that a late announcement cannot undo a drain.
class TargetTable {
 public:
  /// A record that is gone or silent is removed after this long, which exceeds the lifetime of any flow to the target.
  static constexpr Duration kForgetAfter = std::chrono::seconds(90);

  /// The same for a draining record. Control hosts do not report that such a target falls silent, so this exceeds any
  /// drain.
  static constexpr Duration kForgetDrainingAfter = std::chrono::minutes(15);

  /// Sets the services that the routing state names; until the first call every service counts as named. A record of
  /// another service does not supersede a target at the same address, see `TargetDirectory::SetServices`.
  void SetServices(std::set<std::string> services);

  /// Merges a record; true if it was newer than the known one.
  bool Merge(TimePoint now, const AnnouncedTarget& record);

  /// Removes records that have been gone or silent for longer than `kForgetAfter`, or draining for longer than
  /// `kForgetDrainingAfter`.
  void RemoveExpired(TimePoint now);

  /// The target with this cookie; if several share it, the one that started last. Null if there is none.
  [[nodiscard]] SteeringTarget* FindByCookie(std::uint32_t cookie);
  /// The target with this id; null if it is unknown.
  [[nodiscard]] SteeringTarget* Find(TargetId id);
  /// All targets of a service, in no particular order.
  [[nodiscard]] const std::vector<SteeringTarget*>& OfService(const std::string& service) const;

  /// Replaces the numbers of flows that other balancers have reported, summed by cookie. Unknown cookies are ignored.
  void SetRemoteFlows(const std::unordered_map<std::uint32_t, std::uint32_t>& flows_by_cookie);

  [[nodiscard]] std::unordered_map<TargetId, SteeringTarget>& All() noexcept { return m_targets; }
  [[nodiscard]] const std::unordered_map<TargetId, SteeringTarget>& All() const noexcept { return m_targets; }

 private:
  void Reindex();
  void AddToIndexes(SteeringTarget* target);
  // Marks the targets at an address as superseded that started before the latest one of a named service.
  void MarkSuperseded(const Endpoint& endpoint);

  // The indexes point into this map, whose elements keep their addresses.
  std::unordered_map<TargetId, SteeringTarget> m_targets;
  std::unordered_map<std::uint32_t, std::vector<SteeringTarget*>> m_by_cookie;
  std::map<std::string, std::vector<SteeringTarget*>> m_by_service;
  std::map<Endpoint, std::vector<SteeringTarget*>> m_by_endpoint;
  std::optional<std::set<std::string>> m_services;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_TABLE_H_
