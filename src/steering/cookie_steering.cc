#include "fighatch/cookie_steering.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "steering/target_load.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;

// A target may still be sending its last packets for this long after it has deregistered.
constexpr milliseconds kEndGracePeriod{300};
// A target is full at this many flows per slot. Further flows are held at the balancer, where they can still go to any
// target.
constexpr double kFullFlowsPerSlot = 3;

SteeringDecision Refuse(SteeringAction action, ErrorCode reason) {
  SteeringDecision decision;
  decision.m_action = action;
  decision.m_reason = reason;
  return decision;
}

SteeringDecision ForwardTo(const SteeringTarget& target) {
  SteeringDecision decision;
  decision.m_action = SteeringAction::kForward;
  decision.m_target = target.m_record.m_id;
  decision.m_endpoint = target.m_record.m_endpoint;
  decision.m_cookie = CookieOf(target.m_record.m_id);
  return decision;
}

}  // namespace

CookieSteering::CookieSteering(const SteeringOptions& options, std::unique_ptr<ChoiceStrategy> choice, Random random)
    : m_options(options),
      m_choice(std::move(choice)),
      m_random(random),
      m_view({options.m_self, options.m_data_centre, options.m_report_lifetime}) {
  m_targets.SetServices({});
  if (m_choice->NeedsWork()) m_work.emplace();
}

SteeringDecision CookieSteering::Steer(TimePoint now, const CookiePacket& packet) {
  if (!packet.m_opening) return SteerByCookie(now, packet);
  if (packet.m_retransmissions == 0) CountOffered(now, packet);
  return PlaceFlow(now, packet, now - packet.m_age, PacketSource::kArrived);
}

UpdateOutcome CookieSteering::Update(TimePoint now, const RoutingUpdate& update) {
  const bool is_first = m_state.m_index == 0;
  const UpdateOutcome outcome = ApplyUpdate(update, &m_state);
  if (outcome == UpdateOutcome::kDigestMismatch) m_needs_whole_state = true;
  if (outcome != UpdateOutcome::kApplied) return outcome;
  m_needs_whole_state = false;
  if (is_first) m_learning_until = now + m_options.m_learning_period;
  m_targets.SetServices(ServiceNames(m_state.m_routing));
  IndexPriorities();
  return outcome;
}

void CookieSteering::IndexPriorities() {
  std::map<std::string, std::uint32_t> first_priority;
  m_prioritised_services.clear();
  for (const auto& [address, route] : m_state.m_routing.m_routes) {
    for (const WeightedService& service : route.m_services) {
      const auto [known, is_new] = first_priority.try_emplace(service.m_service, route.m_priority);
      if (known->second != route.m_priority) m_prioritised_services.insert(service.m_service);
    }
  }
}

bool CookieSteering::Merge(TimePoint now, const TargetObservation& observation) {
  AnnouncedTarget record = observation.m_record;
  record.m_cold_left_ms -= std::min(record.m_cold_left_ms, observation.m_age_ms);
  return m_targets.Merge(now, record);
}

SteeringDecision CookieSteering::SteerByCookie(TimePoint now, const CookiePacket& packet) {
  if (packet.m_cookie == 0) return Refuse(SteeringAction::kDrop, ErrorCode::kPacketNoTarget);
  SteeringTarget* target = m_targets.FindByCookie(packet.m_cookie);
  if (target == nullptr) return Refuse(SteeringAction::kDrop, ErrorCode::kPacketNoTarget);
  SteeringDecision decision = ForwardTo(*target);
  RecordProgress(now, packet, target, &decision);
  const bool announced_end = HasEnded(target->m_record.m_state) && now - target->m_state_since > kEndGracePeriod;
  if (announced_end || target->m_superseded) {
    // The target has certainly ended, so a reset lets the client reconnect at once.
    return Refuse(SteeringAction::kReset, ErrorCode::kPacketTargetEnded);
  }
  return decision;
}

void CookieSteering::RecordProgress(TimePoint now, const CookiePacket& packet, SteeringTarget* target,
                                    SteeringDecision* decision) {
  PlacedFlow* flow = m_flows.Find(packet.m_endpoints);
  if (flow == nullptr) return;
  if (!flow->m_established && flow->m_target == target->m_record.m_id) {
    flow->m_established = true;
    if (target->m_opening_flows > 0) --target->m_opening_flows;
    RecordAnswered(target);
    target->m_last_accepted = now;
    flow->m_opened_after = now - flow->m_placed;
    decision->m_opened_after = flow->m_opened_after;
  }
  flow->m_last_packet = now;
  if (m_work && flow->m_target == target->m_record.m_id) {
    RecordRequestProgress(now, packet, flow, target);
  } else {
    SetCountsAsLoad(flow, true);
  }
  if (!packet.m_closing) return;
  decision->m_closed_after = now - flow->m_placed;
  RecordFlowEnd(now, *m_flows.Take(packet.m_endpoints), true);
}

SteeringDecision CookieSteering::PlaceFlow(TimePoint now, const CookiePacket& packet, TimePoint first_sent,
                                           PacketSource source) {
  if (m_state.m_index == 0) return Refuse(SteeringAction::kHold, ErrorCode::kPacketNoTarget);
  const auto route = m_state.m_routing.m_routes.find(packet.m_endpoints.m_service);
  if (route == m_state.m_routing.m_routes.end()) {
    return Refuse(SteeringAction::kReset, ErrorCode::kPacketUnknownService);
  }
  SteeringTarget* unresponsive = nullptr;
  bool was_placed = false;
  if (PlacedFlow* flow = m_flows.Find(packet.m_endpoints); flow != nullptr) {
    SteeringTarget* target = m_targets.Find(flow->m_target);
    if (packet.m_retransmissions > 0 && flow->m_established && target != nullptr) return ForwardTo(*target);
    const bool unanswered = packet.m_retransmissions > 0 && !flow->m_established;
    RecordFlowEnd(now, *m_flows.Take(packet.m_endpoints), false);
    was_placed = true;
    if (unanswered && target != nullptr) {
      RecordUnanswered(now, target);
      unresponsive = target;
    }
  }
  const std::string& service = PickService(route->second);
  RefreshRoom(now);
  if (source == PacketSource::kArrived && packet.m_retransmissions == 0) {
    m_shares.RecordOffered(now, service, route->second.m_priority);
  }
  std::vector<SteeringTarget*> candidates = Candidates(now, service, unresponsive);
  if (candidates.empty()) {
    const SteeringAction action = now < m_learning_until ? SteeringAction::kHold : SteeringAction::kReset;
    return Refuse(action, ErrorCode::kPacketNoTarget);
  }
  const double unreported_flows = EstimateUnreportedFlows(now, service, candidates.size());
  const std::optional<TimePoint> objective_deadline = ObjectiveDeadline(route->second, first_sent);
  const double flows_per_slot =
      objective_deadline && now >= *objective_deadline ? kReleaseFlowsPerSlot : kFullFlowsPerSlot;
  if (m_shares.IsShortOfRoom(service)) {
    const ShareRequest request{&route->second, &service, first_sent, source, was_placed};
    const std::optional<SteeringDecision> decision = ApplyShares(now, request, unreported_flows, &candidates);
    if (decision) return *decision;
  } else if (std::all_of(candidates.begin(), candidates.end(), [&](const SteeringTarget* target) {
               return IsFull(*target, unreported_flows, flows_per_slot);
             })) {
    SteeringDecision hold = Refuse(SteeringAction::kHold, ErrorCode::kRequestOverloaded);
    hold.m_priority = route->second.m_priority;
    hold.m_objective_deadline = objective_deadline;
    hold.m_candidates = static_cast<std::uint32_t>(candidates.size());
    return hold;
  }
  ChoiceContext context{now, m_options.m_self, m_options.m_data_centre, m_service_processing_ms[service],
                        unreported_flows};
  if (m_work) {
    context.m_work = &*m_work;
    context.m_route = m_work->RouteIndex(packet.m_endpoints.m_service);
    context.m_report_lag = m_options.m_report_lag;
  }
  SteeringTarget* target = m_choice->Choose(context, candidates);
  SteeringDecision decision = ForwardTo(*target);
  if (m_work) decision.m_expected_ms = RemainingWorkTimeMs(context, *target);
  decision.m_placed = true;
  decision.m_candidates = static_cast<std::uint32_t>(candidates.size());
  decision.m_flows_at_target = FlowsAt(*target);
  RegisterPlacement(now, packet.m_endpoints, context.m_route, target);
  return decision;
}

void CookieSteering::RegisterPlacement(TimePoint now, const FlowEndpoints& endpoints, std::uint32_t work_route,
                                       SteeringTarget* target) {
  const std::uint32_t load = FlowsAt(*target) + 1;
  PlacedFlow flow;
  flow.m_target = target->m_record.m_id;
  flow.m_placed = now;
  flow.m_last_packet = now;
  flow.m_load_at_placement = load;
  flow.m_request.m_route = work_route;
  if (!m_flows.Put(endpoints, flow)) return;
  ++target->m_open_flows;
  ++target->m_opening_flows;
  m_recent_placements[target->m_record.m_service].push_back(now);
  DataCentreHealth& health = m_data_centres[target->m_record.m_data_centre];
  // While the data centre counts as unreachable, one flow at a time probes whether it answers again.
  if (health.m_unanswered >= kDataCentreUnansweredLimit) health.m_avoid_until = now + kDataCentreAvoidPeriod;
  const auto policy = m_state.m_routing.m_services.find(target->m_record.m_service);
  if (policy == m_state.m_routing.m_services.end() || target->m_cold_until <= now) return;
  if (policy->second.m_cold_flows_per_second <= 0) return;
  const double share = policy->second.m_cold_flows_per_second / ColdRateSharers(policy->second);
  target->m_next_cold_flow = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / share));
}

const std::string& CookieSteering::PickService(const Route& route) {
  const std::uint64_t total =
      std::accumulate(route.m_services.begin(), route.m_services.end(), std::uint64_t{0},
                      [](std::uint64_t sum, const WeightedService& service) { return sum + service.m_weight; });
  std::uint64_t drawn = m_random.Below(total);
  for (const WeightedService& service : route.m_services) {
    if (drawn < service.m_weight) return service.m_service;
    drawn -= service.m_weight;
  }
  return route.m_services.back().m_service;
}

double CookieSteering::EstimateUnreportedFlows(TimePoint now, const std::string& service, std::size_t candidates) {
  const double processing_ms = m_service_processing_ms[service];
  const double window_ms =
      std::min(Milliseconds(m_options.m_report_lag), processing_ms > 0 ? processing_ms : kDefaultProcessingMs);
  std::deque<TimePoint>& recent = m_recent_placements[service];
  while (!recent.empty() && Milliseconds(now - recent.front()) > window_ms) recent.pop_front();
  const auto others = static_cast<double>(m_balancers.size() > 1 ? m_balancers.size() - 1 : 0);
  // A small count may be a statistical fluctuation at this balancer alone, so only the excess over two standard
  // deviations of the count is extrapolated to the other balancers.
  const auto own = static_cast<double>(recent.size());
  return others * std::max(0.0, own - 2 * std::sqrt(own)) / static_cast<double>(candidates);
}

void CookieSteering::SetCountsAsLoad(PlacedFlow* flow, bool counts_as_load) {
  if (flow->m_counts_as_load == counts_as_load) return;
  flow->m_counts_as_load = counts_as_load;
  SteeringTarget* target = m_targets.Find(flow->m_target);
  if (target == nullptr) return;
  if (counts_as_load) {
    ++target->m_open_flows;
  } else if (target->m_open_flows > 0) {
    --target->m_open_flows;
  }
  if (!flow->m_in_request) return;
  if (counts_as_load) {
    target->m_requests.push_back(flow->m_request);
  } else {
    RemoveRequest(flow->m_request, target);
  }
}

void CookieSteering::RefreshLoadCounts(TimePoint now) {
  RefreshRoom(now);
  m_flows.ForEach([&](PlacedFlow* flow) {
    const Duration load_timeout = flow->m_established ? m_options.m_load_timeout : m_options.m_opening_load_timeout;
    if (now - flow->m_last_packet > load_timeout) SetCountsAsLoad(flow, false);
  });
  if (m_view.RemoveExpiredSummariesAndRates(now)) UpdateRemoteFlows();
  if (m_work) AverageRemoteFlows(now);
  UpdateDemand(now);
}

void CookieSteering::RecordFlowEnd(TimePoint now, const PlacedFlow& flow, bool completed) {
  SteeringTarget* target = m_targets.Find(flow.m_target);
  if (target == nullptr) return;
  // The end of a flow with one request shows when that ended; a flow with several may have paused before.
  if (m_work && flow.m_in_request) RecordRequestEnd(now, flow, target, completed && flow.m_requests == 1);
  if (flow.m_counts_as_load && target->m_open_flows > 0) --target->m_open_flows;
  if (!flow.m_established && target->m_opening_flows > 0) --target->m_opening_flows;
  if (!completed || !flow.m_established) return;
  const double slots = SlotsOf(*target);
  const double sample = Milliseconds(now - flow.m_placed) / std::max(1.0, flow.m_load_at_placement / slots);
  double& service_mean = m_service_processing_ms[target->m_record.m_service];
  AddSample(&service_mean, sample);
  if (target->m_processing_ms <= 0) target->m_processing_ms = service_mean;
  AddSample(&target->m_processing_ms, sample);
  // A cold target takes longer than it will once it is warm.
  if (flow.m_placed >= target->m_cold_until) LearnSlotTime(target->m_record.m_service, flow, now - flow.m_placed);
}

void CookieSteering::CountOffered(TimePoint now, const CookiePacket& packet) {
  if (m_prioritised_services.empty()) return;
  const auto route = m_state.m_routing.m_routes.find(packet.m_endpoints.m_service);
  if (route == m_state.m_routing.m_routes.end()) return;
  const std::vector<WeightedService>& services = route->second.m_services;
  const double total =
      std::accumulate(services.begin(), services.end(), 0.0,
                      [](double sum, const WeightedService& service) { return sum + service.m_weight; });
  for (const WeightedService& service : services) {
    if (service.m_weight == 0 || !m_prioritised_services.contains(service.m_service)) continue;
    m_offered_rates.Count(now, service.m_service, route->second.m_priority, service.m_weight / total);
  }
}

bool CookieSteering::Receive(TimePoint now, const LoadReport& report) {
  const bool is_taken = m_view.Receive(now, report);
  if (is_taken) UpdateRemoteFlows();
  return is_taken;
}

bool CookieSteering::Receive(TimePoint now, const LoadSummary& summary) {
  const bool is_taken = m_view.Receive(now, summary);
  if (is_taken) UpdateRemoteFlows();
  return is_taken;
}

void CookieSteering::UpdateRemoteFlows() { m_targets.SetRemoteFlows(m_view.RemoteFlows()); }

void CookieSteering::Tick(TimePoint now) {
  for (const PlacedFlow& flow : m_flows.RemoveIdle(now, m_options.m_idle_timeout)) RecordFlowEnd(now, flow, false);
  if (m_view.RemoveExpired(now)) UpdateRemoteFlows();
  m_targets.RemoveExpired(now);
  if (m_work) RefreshWork(now);
}

std::vector<CookieLoad> CookieSteering::OwnLoads() const {
  std::vector<CookieLoad> loads;
  constexpr std::uint32_t kMaxReportedFlows = std::numeric_limits<std::uint16_t>::max();
  for (const auto& [id, target] : m_targets.All()) {
    if (target.m_open_flows == 0) continue;
    loads.push_back({CookieOf(id), static_cast<std::uint16_t>(std::min(target.m_open_flows, kMaxReportedFlows))});
  }
  return loads;
}

LoadReport CookieSteering::MakeReport() { return {m_options.m_self, ++m_report_sequence, OwnLoads()}; }

OfferedLoad CookieSteering::MakeOfferedLoad(TimePoint now) {
  return {kOfferedLoadVersion, m_options.m_self, ++m_offered_sequence, m_offered_rates.Rates(now)};
}

LoadSummary CookieSteering::MakeSummary(TimePoint now) {
  if (m_view.RemoveExpiredSummariesAndRates(now)) UpdateRemoteFlows();
  return m_view.MakeSummary(now, OwnLoads(), m_offered_rates.Rates(now));
}

}  // namespace fighatch
