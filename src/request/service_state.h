#ifndef FIGHATCH_REQUEST_SERVICE_STATE_H_
#define FIGHATCH_REQUEST_SERVICE_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fighatch/admission.h"
#include "fighatch/retry_budget.h"
#include "fighatch/state_document.h"
#include "fighatch/table_update.h"
#include "fighatch/target_allowance.h"
#include "fighatch/target_picker.h"
#include "request/call.h"

namespace fighatch {

/// State of one service in request mode within an engine: its targets with their load, its queue, admission control and
/// retry budget.
class ServiceState {
 public:
  ServiceState(Service service, std::size_t queue_limit) : m_service(std::move(service)), m_admission(queue_limit) {}

  /// True for GET, HEAD and the service's idempotent paths.
  [[nodiscard]] bool IsIdempotent(const HttpRequest& request) const;

  /// Replaces the list of targets, and drops health and load report of targets that left or were restarted.
  void SetTargets(std::vector<TargetInfo> targets, TargetHealth* health);
  void SetReportedLoad(TargetId target, double load);
  /// True if any target accepts new requests.
  [[nodiscard]] bool HasTargets() const noexcept;
  [[nodiscard]] const TargetInfo* FindTarget(TargetId target) const;

  /// Tokens that this balancer holds, whether available or in use.
  [[nodiscard]] std::uint32_t TokensHeld(const TargetAllowance& allowance, TimePoint now) const;

  /// Targets that accept requests and have tokens available, without the `tried` ones if there are others. The
  /// reference is valid until the next call.
  [[nodiscard]] const std::vector<TargetCandidate>& Candidates(const std::vector<TargetId>& tried,
                                                               const TargetAllowance& allowance, TimePoint now);

  void OnDispatched(TargetId target) { ++m_in_progress[target]; }
  void OnExchangeEnded(TargetId target);

  /// Queued calls as (deadline, call id), so that the earliest deadline comes first.
  std::set<std::pair<TimePoint, std::uint64_t>> m_queue;
  Service m_service;
  Admission m_admission;
  RetryBudget m_budget;

 private:
  std::vector<TargetInfo> m_targets;
  std::unordered_map<TargetId, std::uint32_t> m_in_progress;
  std::unordered_map<TargetId, double> m_reported_loads;
  std::vector<TargetCandidate> m_candidates;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_SERVICE_STATE_H_
