// Rate shares by priority: how much of a service's room this balancer uses while the service is short of it.
#include <algorithm>
#include <chrono>
#include <utility>

#include "fighatch/cookie_steering.h"
#include "steering/target_load.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;

// Interval at which the room of services is computed.
constexpr milliseconds kRoomInterval{100};
// While a service is short of room, a target takes at most this many flows per slot, so that its queue never fills up.
constexpr double kMaxFlowsPerSlotInShortage = 2;
// A request takes at least the time of its flow divided by this. Before a shortage is noticed, targets hold more flows
// per slot than during it.
constexpr double kMaxFlowTimePerSlotTime = 2 * kMaxFlowsPerSlotInShortage;
// The time of requests is learned while a service is offered less than this part of its room: queues are short then.
constexpr double kMaxLearningUtilisation = 0.5;
// The first samples count in any case.
constexpr std::uint32_t kMinSlotTimeSamples = 10;
// The mean covers about this number of samples.
constexpr std::uint32_t kMaxSlotTimeSamples = 50;
// The same bound for a sample, whatever the opening exchange took.
constexpr double kMaxFlowTimePerSample = 4;

SteeringDecision MakeDecision(SteeringAction action) {
  SteeringDecision decision;
  decision.m_action = action;
  decision.m_reason = ErrorCode::kRequestOverloaded;
  return decision;
}

TimePoint AnswerDeadline(const Route& route, TimePoint first_sent) {
  return ObjectiveDeadline(route, first_sent).value_or(first_sent + AdmissionQueue::kMaxWait);
}

}  // namespace

std::optional<SteeringDecision> CookieSteering::ApplyShares(TimePoint now, const ShareRequest& request,
                                                            double unreported_flows,
                                                            std::vector<SteeringTarget*>* candidates) {
  const Route& route = *request.m_route;
  const std::string& service = *request.m_service;
  const Duration request_time = m_shares.Room(service)->m_request_time;
  if (!request.m_was_placed && now + request_time > AnswerDeadline(route, request.m_first_sent)) {
    m_shares.RecordRefused(service, route.m_priority);
    return MakeDecision(SteeringAction::kReset);
  }
  SteeringDecision hold = MakeDecision(SteeringAction::kHold);
  hold.m_priority = route.m_priority;
  hold.m_objective_deadline = ObjectiveDeadline(route, request.m_first_sent);
  hold.m_candidates = static_cast<std::uint32_t>(candidates->size());
  std::erase_if(*candidates, [&](const SteeringTarget* target) {
    return IsFull(*target, unreported_flows, kMaxFlowsPerSlotInShortage);
  });
  // Packets that wait have had their turn already when one arrives.
  const bool must_wait = request.m_source == PacketSource::kArrived && m_waiting_addresses.contains(route.m_address);
  const bool may_place = !candidates->empty() && !must_wait &&
                         (request.m_was_placed || m_shares.TakeToken(now, service, route.m_priority));
  if (may_place) return std::nullopt;
  m_waiting_addresses.insert(route.m_address);
  return hold;
}

std::vector<ReleasedPacket> CookieSteering::ReleaseSharedPackets(TimePoint now, AdmissionQueue* queue) {
  std::vector<ReleasedPacket> released;
  RefreshRoom(now);
  m_waiting_addresses.clear();
  std::vector<const Route*> routes;
  for (const auto& [address, route] : m_state.m_routing.m_routes) {
    if (ServiceShortOfRoom(route) != nullptr) routes.push_back(&route);
  }
  std::stable_sort(routes.begin(), routes.end(),
                   [](const Route* left, const Route* right) { return left->m_priority < right->m_priority; });
  for (const Route* route : routes) ReleaseInTurns(now, *route, queue, &released);
  return released;
}

void CookieSteering::ReleaseInTurns(TimePoint now, const Route& route, AdmissionQueue* queue,
                                    std::vector<ReleasedPacket>* released) {
  const std::string service = *ServiceShortOfRoom(route);
  const Duration request_time = m_shares.Room(service)->m_request_time;
  std::size_t ahead = 0;
  for (WaitingPacket& packet : queue->TakeInTurns(route.m_address, now + request_time)) {
    packet.m_packet.m_age = now - packet.m_first_sent;
    if (ahead == 0) {
      const SteeringDecision decision = PlaceFlow(now, packet.m_packet, packet.m_first_sent, PacketSource::kWaiting);
      if (decision.m_action != SteeringAction::kHold) {
        if (decision.m_placed) queue->RecordServed(now, packet.m_packet.m_endpoints.m_client.m_address);
        released->push_back({std::move(packet), decision});
        continue;
      }
      packet.m_priority = decision.m_priority;
      packet.m_objective_deadline = decision.m_objective_deadline;
    }
    const Duration wait = m_shares.TimeUntilToken(now, service, route.m_priority, ahead);
    if (now + wait + request_time > AnswerDeadline(route, packet.m_first_sent)) {
      m_shares.RecordRefused(service, route.m_priority);
      released->push_back({std::move(packet), MakeDecision(SteeringAction::kReset)});
      continue;
    }
    ++ahead;
    m_waiting_addresses.insert(route.m_address);
    queue->Put(std::move(packet));
  }
}

std::set<Endpoint> CookieSteering::AddressesShortOfRoom() const {
  std::set<Endpoint> addresses;
  for (const auto& [address, route] : m_state.m_routing.m_routes) {
    if (ServiceShortOfRoom(route) != nullptr) addresses.insert(address);
  }
  return addresses;
}

const std::string* CookieSteering::ServiceShortOfRoom(const Route& route) const {
  const auto found = std::find_if(route.m_services.begin(), route.m_services.end(),
                                  [this](const WeightedService& service) { return IsShortOfRoom(service.m_service); });
  return found == route.m_services.end() ? nullptr : &found->m_service;
}

void CookieSteering::RefreshRoom(TimePoint now) {
  if (!m_options.m_rate_shares || now - m_room_computed < kRoomInterval) return;
  m_room_computed = now;
  std::map<std::string, ServiceRoom> rooms;
  for (const auto& [address, route] : m_state.m_routing.m_routes) {
    for (const WeightedService& service : route.m_services) {
      ServiceRoom& room = rooms[service.m_service];
      room.m_priorities.insert(route.m_priority);
      const Duration objective = milliseconds(route.m_objective_ms);
      if (objective.count() == 0) continue;
      room.m_objective = room.m_objective.count() == 0 ? objective : std::min(room.m_objective, objective);
    }
  }
  std::set<std::string> services;
  for (auto& [service, room] : rooms) {
    if (room.m_priorities.size() < 2) continue;
    services.insert(service);
    const double request_ms = SlotTimeMs(service);
    room.m_request_time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(request_ms));
    if (request_ms > 0) room.m_requests_per_second = RequestsPerSecond(now, service, request_ms);
    m_shares.SetRoom(now, service, room);
  }
  m_shares.Retain(services);
}

void CookieSteering::UpdateDemand(TimePoint now) {
  bool is_short = false;
  for (const std::string& service : m_shares.Services()) {
    const ServiceDemand demand = m_view.DemandOf(service);
    // Without a report the demand of the others is not 0 but unknown.
    if (demand.m_balancers > 0) m_shares.SetDemand(now, service, demand);
    is_short |= m_shares.IsShortOfRoom(service);
  }
  m_view.SetShortOfRoom(now, is_short);
}

double CookieSteering::RequestsPerSecond(TimePoint now, const std::string& service, double request_ms) const {
  const auto mean = m_service_processing_ms.find(service);
  const auto policy = m_state.m_routing.m_services.find(service);
  const double cold_rate = policy == m_state.m_routing.m_services.end() ? 0 : policy->second.m_cold_flows_per_second;
  double sum = 0;
  for (const SteeringTarget* target : m_targets.OfService(service)) {
    if (!IsOpenForNewFlows(now, *target) || !SeemsReachable(now, *target)) continue;
    // Slow targets end few flows, so that they hardly change the mean of the service.
    const bool is_slow = mean != m_service_processing_ms.end() && target->m_processing_ms > mean->second * kSlowFactor;
    const double rate = SlotsOf(*target) * 1000.0 / (is_slow ? target->m_processing_ms : request_ms);
    const bool is_limited = target->m_cold_until > now && cold_rate > 0;
    sum += is_limited ? std::min(rate, cold_rate) : rate;
  }
  return sum;
}

double CookieSteering::SlotTimeMs(const std::string& service) const {
  const auto mean = m_service_processing_ms.find(service);
  if (mean == m_service_processing_ms.end()) return 0;
  const auto slot_time = m_slot_times.find(service);
  if (slot_time == m_slot_times.end() || slot_time->second.m_samples == 0) return mean->second;
  return std::max(std::min(mean->second, slot_time->second.m_mean_ms), mean->second / kMaxFlowTimePerSlotTime);
}

void CookieSteering::LearnSlotTime(const std::string& service, const PlacedFlow& flow, Duration duration) {
  const double utilisation = m_shares.Utilisation(service);
  if (utilisation > PriorityShares::kShortageFraction) return;
  SlotTime& slot_time = m_slot_times[service];
  if (utilisation >= kMaxLearningUtilisation && slot_time.m_samples >= kMinSlotTimeSamples) return;
  // The opening exchange passes the path between client and target once, and the closing one a second time.
  const double path_ms = Milliseconds(flow.m_opened_after) * 2;
  const double sample = Milliseconds(duration);
  slot_time.m_samples = std::min(slot_time.m_samples + 1, kMaxSlotTimeSamples);
  slot_time.m_mean_ms +=
      (std::max(sample - path_ms, sample / kMaxFlowTimePerSample) - slot_time.m_mean_ms) / slot_time.m_samples;
}

}  // namespace fighatch
