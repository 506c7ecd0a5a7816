#include "fighatch/priority_shares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace fighatch {
namespace {

// Time constant of the offered rates.
constexpr double kRateWindowSeconds = 0.5;
// A bucket holds the tokens of this time, and at least this number: waiting packets take tokens in intervals, between
// which a bucket of one token would overflow.
constexpr double kBucketSeconds = 0.1;
constexpr double kMinBucketTokens = 2;
// Lowest share of a balancer as a fraction of an equal share: routers may send it more at any time.
constexpr double kShareFloor = 0.5;
// Expected time until a token where the rate is 0.
constexpr double kMaxTokenSeconds = 60;

double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

double BucketSize(double rate) { return std::max(kMinBucketTokens, rate * kBucketSeconds); }

}  // namespace

double PriorityShares::DecayedRate::At(TimePoint now) const {
  return m_per_second * std::exp(-Seconds(now - m_at) / kRateWindowSeconds);
}

void PriorityShares::DecayedRate::Add(TimePoint now) {
  m_per_second = At(now) + 1 / kRateWindowSeconds;
  m_at = now;
}

PriorityShares::ServiceState* PriorityShares::Find(const std::string& service) {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

const PriorityShares::ServiceState* PriorityShares::Find(const std::string& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

void PriorityShares::SetRoom(TimePoint now, const std::string& service, const ServiceRoom& room) {
  if (m_services.size() >= kMaxServices && !m_services.contains(service)) return;
  ServiceState& state = m_services[service];
  Refill(now, &state);
  state.m_room = room;
  std::erase_if(state.m_priorities, [&room](const auto& entry) { return !room.m_priorities.contains(entry.first); });
  for (const std::uint32_t priority : room.m_priorities) {
    if (state.m_priorities.size() < kMaxPrioritiesPerService) state.m_priorities.try_emplace(priority);
  }
  UpdateShortage(now, service, &state);
}

void PriorityShares::Retain(const std::set<std::string>& services) {
  std::erase_if(m_services, [&services](const auto& entry) { return !services.contains(entry.first); });
}

void PriorityShares::SetDemand(TimePoint now, const std::string& service, const ServiceDemand& demand) {
  ServiceState* state = Find(service);
  if (state == nullptr) return;
  state->m_demand = demand;
  state->m_demand_at = now;
  state->m_has_demand = true;
}

double PriorityShares::OwnRate(TimePoint now, const ServiceState& state) const {
  return std::accumulate(state.m_priorities.begin(), state.m_priorities.end(), 0.0,
                         [now](double sum, const auto& entry) { return sum + entry.second.m_offered.At(now); });
}

double PriorityShares::OfferedByAll(TimePoint now, const ServiceState& state) const {
  const std::size_t balancers = std::max<std::size_t>(m_balancers, 1);
  double known = OwnRate(now, state);
  std::size_t reporters = 1;
  if (state.m_has_demand && now - state.m_demand_at <= kDemandLifetime) {
    for (const auto& [priority, rate] : state.m_demand.m_flows_per_second) known += rate;
    reporters = std::min<std::size_t>(1 + state.m_demand.m_balancers, balancers);
  }
  return known * static_cast<double>(balancers) / static_cast<double>(reporters);
}

void PriorityShares::UpdateShortage(TimePoint now, const std::string& service, ServiceState* state) {
  const ServiceRoom& room = state->m_room;
  const bool one_request_per_flow = room.m_request_time.count() > 0 && room.m_request_time < room.m_objective;
  const bool applies = one_request_per_flow && state->m_priorities.size() > 1 && room.m_requests_per_second > 0;
  const double offered = OfferedByAll(now, *state);
  state->m_utilisation = room.m_requests_per_second > 0 ? offered / room.m_requests_per_second : 0;
  const bool is_short = applies && offered > kShortageFraction * room.m_requests_per_second;
  const bool changed = is_short != state->m_is_short;
  state->m_is_short = is_short;
  if (is_short) UpdateRates(now, offered, state);
  if (!changed) return;
  state->m_refilled = now;
  for (auto& [priority, bucket] : state->m_priorities) bucket.m_tokens = 0;
  // Only the highest priority may exceed its rate at once: targets have little room left by now.
  if (is_short) state->m_priorities.begin()->second.m_tokens = BucketSize(state->m_rate);
  if (m_changes.size() < kMaxServices) {
    m_changes.push_back({service, is_short, room.m_requests_per_second, offered});
  }
}

void PriorityShares::UpdateRates(TimePoint now, double offered_by_all, ServiceState* state) {
  const auto balancers = static_cast<double>(std::max<std::size_t>(m_balancers, 1));
  const double lowest = kShareFloor / balancers;
  const double highest = 1 - (balancers - 1) * lowest;
  const double share =
      offered_by_all > 0 ? std::clamp(OwnRate(now, *state) / offered_by_all, lowest, highest) : 1 / balancers;
  state->m_rate = share * state->m_room.m_requests_per_second;
  for (auto entry = std::next(state->m_priorities.begin()); entry != state->m_priorities.end(); ++entry) {
    entry->second.m_floor = std::min(kFloorFraction * state->m_rate, entry->second.m_offered.At(now));
  }
  state->m_priorities.begin()->second.m_floor = 0;
}

void PriorityShares::Refill(TimePoint now, ServiceState* state) {
  if (!state->m_is_short || now <= state->m_refilled) return;
  const double seconds = Seconds(now - state->m_refilled);
  state->m_refilled = now;
  const double size = BucketSize(state->m_rate);
  double left = state->m_rate * seconds;
  for (const auto& [priority, bucket] : state->m_priorities) left -= bucket.m_floor * seconds;
  left = std::max(left, 0.0);
  bool is_highest = true;
  for (auto& [priority, bucket] : state->m_priorities) {
    const double own = bucket.m_floor * seconds;
    const double taken = std::min(own + left, std::max(0.0, size - bucket.m_tokens));
    if (!is_highest) bucket.m_counters.m_lent += std::max(0.0, taken - own);
    bucket.m_tokens += taken;
    left = own + left - taken;
    is_highest = false;
  }
  // Floors that the lower priorities did not use return to the highest one.
  double& highest = state->m_priorities.begin()->second.m_tokens;
  highest = std::min(size, highest + left);
}

void PriorityShares::RecordOffered(TimePoint now, const std::string& service, std::uint32_t priority) {
  ServiceState* state = Find(service);
  if (state == nullptr) return;
  const auto found = state->m_priorities.find(priority);
  if (found == state->m_priorities.end()) return;
  found->second.m_offered.Add(now);
  ++found->second.m_counters.m_offered;
}

void PriorityShares::RecordRefused(const std::string& service, std::uint32_t priority) {
  ServiceState* state = Find(service);
  if (state == nullptr) return;
  const auto found = state->m_priorities.find(priority);
  if (found != state->m_priorities.end()) ++found->second.m_counters.m_refused;
}

bool PriorityShares::TakeToken(TimePoint now, const std::string& service, std::uint32_t priority) {
  ServiceState* state = Find(service);
  if (state == nullptr || !state->m_is_short) return true;
  const auto found = state->m_priorities.find(priority);
  if (found == state->m_priorities.end()) return true;
  Refill(now, state);
  if (found->second.m_tokens < 1) return false;
  found->second.m_tokens -= 1;
  ++found->second.m_counters.m_admitted;
  return true;
}

Duration PriorityShares::TimeUntilToken(TimePoint now, const std::string& service, std::uint32_t priority,
                                        std::size_t ahead) {
  ServiceState* state = Find(service);
  if (state == nullptr || !state->m_is_short) return Duration{0};
  const auto found = state->m_priorities.find(priority);
  if (found == state->m_priorities.end()) return Duration{0};
  Refill(now, state);
  const double missing = static_cast<double>(ahead) + 1 - found->second.m_tokens;
  if (missing <= 0) return Duration{0};
  double rate = state->m_rate;
  for (const auto& [other, bucket] : state->m_priorities) {
    if (other < priority) rate -= bucket.m_offered.At(now);
    if (other > priority) rate -= bucket.m_floor;
  }
  rate = std::max(rate, found->second.m_floor);
  const double seconds = rate > 0 ? std::min(missing / rate, kMaxTokenSeconds) : kMaxTokenSeconds;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool PriorityShares::IsShortOfRoom(const std::string& service) const {
  const ServiceState* state = Find(service);
  return state != nullptr && state->m_is_short;
}

double PriorityShares::Utilisation(const std::string& service) const {
  const ServiceState* state = Find(service);
  return state == nullptr ? 0 : state->m_utilisation;
}

const ServiceRoom* PriorityShares::Room(const std::string& service) const {
  const ServiceState* state = Find(service);
  return state == nullptr ? nullptr : &state->m_room;
}

std::map<std::uint32_t, double> PriorityShares::OfferedRates(TimePoint now, const std::string& service) const {
  std::map<std::uint32_t, double> rates;
  const ServiceState* state = Find(service);
  if (state == nullptr) return rates;
  for (const auto& [priority, bucket] : state->m_priorities) rates[priority] = bucket.m_offered.At(now);
  return rates;
}

double PriorityShares::ShareRate(const std::string& service) const {
  const ServiceState* state = Find(service);
  return state == nullptr || !state->m_is_short ? 0 : state->m_rate;
}

std::map<std::uint32_t, ShareCounters> PriorityShares::Counters(const std::string& service) const {
  std::map<std::uint32_t, ShareCounters> counters;
  const ServiceState* state = Find(service);
  if (state == nullptr) return counters;
  for (const auto& [priority, bucket] : state->m_priorities) counters[priority] = bucket.m_counters;
  return counters;
}

std::set<std::string> PriorityShares::Services() const {
  std::set<std::string> services;
  for (const auto& [service, state] : m_services) services.insert(service);
  return services;
}

std::vector<ShortageChange> PriorityShares::TakeChanges() {
  std::vector<ShortageChange> changes;
  changes.swap(m_changes);
  return changes;
}

}  // namespace fighatch
