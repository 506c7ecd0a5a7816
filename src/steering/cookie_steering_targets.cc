// Which targets a balancer may place new flows at, and how much free capacity is its share.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "fighatch/admission_queue.h"
#include "fighatch/cookie_steering.h"
#include "fighatch/hash.h"
#include "steering/target_load.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;

// Consecutive unanswered opening packets after which a target is avoided: it gets no new flows for a period.
constexpr std::uint32_t kUnansweredLimit = 2;
// Length of that period; it doubles with each further unanswered packet, up to the maximum.
constexpr milliseconds kAvoidPeriod{1000};
constexpr milliseconds kMaxAvoidPeriod{4000};
// A target that control hosts report as silent gets new flows for this long after it last accepted one.
constexpr milliseconds kAcceptedProofAge{1000};
// Number of flows by which the new flows to a cold target may exceed its rate limit in a short window.
constexpr double kColdBurst = 4;

}  // namespace

std::vector<SteeringTarget*> CookieSteering::Candidates(TimePoint now, const std::string& service,
                                                        const SteeringTarget* unresponsive) {
  std::vector<SteeringTarget*> allowed;
  for (SteeringTarget* target : m_targets.OfService(service)) {
    if (IsOpenForNewFlows(now, *target) && IsWithinColdRate(now, *target)) allowed.push_back(target);
  }
  // If all targets of a service fell silent, the likeliest cause lies on the way of their announcements.
  if (allowed.empty()) allowed = SilentCandidates(now, service);
  std::vector<SteeringTarget*> preferred;
  for (SteeringTarget* target : allowed) {
    if (target != unresponsive && SeemsReachable(now, *target)) preferred.push_back(target);
  }
  if (!preferred.empty()) return preferred;
  // If all targets seem unreachable, forwarding to one of them is better than refusing the flow.
  if (!allowed.empty()) m_targets_unreachable_at = now;
  return allowed;
}

bool CookieSteering::IsOpenForNewFlows(TimePoint now, const SteeringTarget& target) const {
  const RecordState state = target.m_record.m_state;
  const bool accepts_flows = state == RecordState::kSilent && now - target.m_last_accepted < kAcceptedProofAge;
  return (state == RecordState::kReady || accepts_flows) && !target.m_superseded &&
         !m_state.m_data_centres_out.contains(target.m_record.m_data_centre);
}

std::vector<SteeringTarget*> CookieSteering::SilentCandidates(TimePoint now, const std::string& service) const {
  std::vector<SteeringTarget*> candidates;
  for (SteeringTarget* target : m_targets.OfService(service)) {
    const bool may_answer = target->m_record.m_state == RecordState::kSilent && !target->m_superseded &&
                            !m_state.m_data_centres_out.contains(target->m_record.m_data_centre) &&
                            SeemsReachable(now, *target) && IsWithinColdRate(now, *target);
    if (may_answer) candidates.push_back(target);
  }
  return candidates;
}

double CookieSteering::OwnShare(TimePoint now, double (*amount)(const SteeringTarget& target)) const {
  double sum = 0;
  for (const auto& [id, target] : m_targets.All()) {
    if (IsOpenForNewFlows(now, target) && SeemsReachable(now, target)) sum += amount(target);
  }
  return sum / static_cast<double>(std::max<std::size_t>(m_balancers.size(), 1));
}

std::size_t CookieSteering::ReleaseBudget(TimePoint now) const {
  const double room = OwnShare(now, [](const SteeringTarget& target) {
    return std::max(0.0, SlotsOf(target) * kReleaseFlowsPerSlot - FlowsAt(target));
  });
  const auto budget = static_cast<std::size_t>(std::ceil(room));
  // Some of the other balancers may not be known yet, so that this one's share may be overestimated.
  return now < m_learning_until ? std::min<std::size_t>(budget, 1) : budget;
}

std::size_t CookieSteering::WaitingLimit(TimePoint now) const {
  if (m_state.m_index == 0 || now < m_learning_until) return AdmissionQueue::kMaxPackets;
  const double served_per_ms = OwnShare(now, [](const SteeringTarget& target) {
    return SlotsOf(target) / (target.m_processing_ms > 0 ? target.m_processing_ms : kDefaultProcessingMs);
  });
  const double limit = served_per_ms * Milliseconds(AdmissionQueue::kMaxWait);
  return static_cast<std::size_t>(std::clamp<double>(limit, 1, AdmissionQueue::kMaxPackets));
}

bool CookieSteering::DataCentreSeemsReachable(TimePoint now, const std::string& name) const {
  const auto found = m_data_centres.find(name);
  if (found == m_data_centres.end() || found->second.m_unanswered < kDataCentreUnansweredLimit) return true;
  return now >= found->second.m_avoid_until;
}

void CookieSteering::ResetUnanswered() {
  m_data_centres.clear();
  m_targets_unreachable_at.reset();
  for (auto& [id, target] : m_targets.All()) RecordAnswered(&target);
}

bool CookieSteering::SeemsReachable(TimePoint now, const SteeringTarget& target) const {
  if (!DataCentreSeemsReachable(now, target.m_record.m_data_centre)) return false;
  if (target.m_unanswered < kUnansweredLimit) return true;
  // After the avoidance period one flow at a time probes whether the target answers again.
  return now >= target.m_avoid_until && target.m_opening_flows == 0;
}

std::uint32_t CookieSteering::ColdRateSharers(const ServicePolicy& policy) const {
  // Each balancer may send one flow ahead of its rate, so only as many balancers take part as the limit allows for.
  const double room = policy.m_cold_flows_per_second / 2 + kColdBurst;
  const std::size_t balancers = std::max<std::size_t>(m_balancers.size(), 1);
  return static_cast<std::uint32_t>(std::clamp<double>(room, 1, static_cast<double>(balancers)));
}

bool CookieSteering::IsWithinColdRate(TimePoint now, const SteeringTarget& target) const {
  if (target.m_cold_until <= now) return true;
  const auto policy = m_state.m_routing.m_services.find(target.m_record.m_service);
  if (policy == m_state.m_routing.m_services.end() || policy->second.m_cold_flows_per_second <= 0) return true;
  if (now < target.m_next_cold_flow) return false;
  // The balancers that rank first for the target by rendezvous hashing share its rate.
  const auto rank = [&target](HostId host) { return MixHash(target.m_record.m_id.m_value, host.m_value); };
  const auto ahead = std::count_if(m_balancers.begin(), m_balancers.end(),
                                   [&](HostId host) { return rank(host) < rank(m_options.m_self); });
  return static_cast<std::uint32_t>(ahead) < ColdRateSharers(policy->second);
}

void CookieSteering::RecordUnanswered(TimePoint now, SteeringTarget* target) {
  DataCentreHealth& health = m_data_centres[target->m_record.m_data_centre];
  if (++health.m_unanswered >= kDataCentreUnansweredLimit) health.m_avoid_until = now + kDataCentreAvoidPeriod;
  ++target->m_unanswered;
  if (target->m_unanswered < kUnansweredLimit) return;
  const auto doublings = std::min<std::uint32_t>(target->m_unanswered - kUnansweredLimit, 2);
  target->m_avoid_until = now + std::min(kAvoidPeriod * (1U << doublings), kMaxAvoidPeriod);
}

void CookieSteering::RecordAnswered(SteeringTarget* target) {
  m_data_centres[target->m_record.m_data_centre] = {};
  target->m_unanswered = 0;
  target->m_avoid_until = {};
}

}  // namespace fighatch
