#ifndef FIGHATCH_TARGET_TABLE_H_
#define FIGHATCH_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/time.h"

namespace fighatch {

/// A target as one balancer sees it.
struct SteeringTarget {
  AnnouncedTarget m_record;
  /// When the balancer heard of the present state.
  TimePoint m_state_since;
  /// Until when the target is cold.
  TimePoint m_cold_until;
  /// Flows that this balancer has open there, of which some wait for the target's first answer.
  std::uint32_t m_open_flows = 0;
  std::uint32_t m_opening_flows = 0;
  /// Flows that other balancers have reported.
  std::uint32_t m_remote_flows = 0;
  /// Moving mean of the time that one request takes, without waiting for others; 0 before the first sample.
  double m_processing_ms = 0;
  /// Opening packets in a row that the target did not answer.
  std::uint32_t m_unanswered = 0;
  /// No new flows before this time, because opening packets stay unanswered.
  TimePoint m_avoid_until;
  /// When the next new flow may go to the target while it is cold and its rate is limited.
  TimePoint m_next_cold_flow;
  /// True if another target has started at the same address since, so that this one has certainly ended.
  bool m_superseded = false;
};

/// The targets that a balancer knows. Records are merged in any order; a record that is older than the known one
/// changes nothing, so that a target that drains never becomes ready again in the same start.
class TargetTable {
 public:
  /// A record that is gone or silent is forgotten after this long, later than any flow to it may last.
  static constexpr Duration kForgetAfter = std::chrono::seconds(90);

  /// True if the record told something new.
  bool Merge(TimePoint now, const AnnouncedTarget& record);

  /// Drops records that ended long ago.
  void RemoveExpired(TimePoint now);

  /// The target with this cookie; of several, the one that started last. Null if there is none.
  [[nodiscard]] SteeringTarget* FindByCookie(std::uint32_t cookie);
  [[nodiscard]] SteeringTarget* Find(TargetId id);
  /// All targets of a service, in no particular order.
  [[nodiscard]] const std::vector<SteeringTarget*>& OfService(const std::string& service) const;

  /// Replaces the flows that a balancer reported earlier. Unknown cookies are ignored.
  void SetRemoteFlows(const std::unordered_map<std::uint32_t, std::uint32_t>& flows_by_cookie);

  [[nodiscard]] std::unordered_map<TargetId, SteeringTarget>& All() noexcept { return m_targets; }
  [[nodiscard]] const std::unordered_map<TargetId, SteeringTarget>& All() const noexcept { return m_targets; }

 private:
  void Reindex();
  void AddToIndexes(SteeringTarget* target);
  // Sets which targets at an address have been superseded.
  void MarkSuperseded(const Endpoint& endpoint);

  // Node-based, so that the indexes may point into it.
  std::unordered_map<TargetId, SteeringTarget> m_targets;
  std::unordered_map<std::uint32_t, std::vector<SteeringTarget*>> m_by_cookie;
  std::map<std::string, std::vector<SteeringTarget*>> m_by_service;
  std::map<Endpoint, std::vector<SteeringTarget*>> m_by_endpoint;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_TABLE_H_
