#ifndef FIGHATCH_TESTS_STEERING_LOAD_PATTERN_H_
#define FIGHATCH_TESTS_STEERING_LOAD_PATTERN_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fighatch/admission_queue.h"
#include "steering_fixture.h"

namespace fighatch::testing_support {

/// Requests of one priority, which go to a public address of their own.
struct PriorityLoad {
  std::uint32_t m_priority = 0;
  /// Fraction of all requests.
  double m_share = 1;
  /// Value of an answer within the objective, and of a later one.
  double m_value = 1;
  double m_late_value = 0;
};

/// How the balancers of a `SteeringSimulation` treat priorities.
enum class PriorityMode : std::uint8_t { kIgnored = 0, kLocalQueue = 1, kRateShares = 2 };

/// A load pattern for a `SteeringSimulation`.
struct LoadPattern {
  std::uint32_t m_balancers = 8;
  std::uint32_t m_targets = 14;
  double m_flows_per_second = 400;
  milliseconds m_length{8000};
  double m_mean_processing_ms = 24;
  /// Factor on the rate of flows from the burst's start to its end.
  double m_burst = 1;
  milliseconds m_burst_start{3000};
  milliseconds m_burst_end{6000};
  /// From the burst's start on, this many targets take `m_slow_factor` times as long.
  std::uint32_t m_slow_targets = 0;
  double m_slow_factor = 5;
  /// From the burst's start on, this many targets do not answer.
  std::uint32_t m_dead_targets = 0;
  /// Number of additional requests that arrive together at the burst's start, as after an outage.
  std::uint32_t m_returning_callers = 0;
  /// For this long from the burst's start no balancer runs; then all balancers are started anew.
  milliseconds m_outage{0};
  /// Balancers and targets are spread over the data centres in turn. With more than 16 balancers, load is reported
  /// within a data centre only.
  std::uint32_t m_data_centres = 1;
  milliseconds m_report_interval{35};
  milliseconds m_objective{120};
  /// If empty, all requests have priority 0 and value 1.
  std::vector<PriorityLoad> m_priorities;
  PriorityMode m_mode = PriorityMode::kRateShares;
  /// How often callers retry after a reset or an answer 503.
  std::uint32_t m_retries = 0;
  /// From the burst's start to its end the last data centre is down; the others know it after `kControlDelay`.
  bool m_data_centre_out = false;
  /// Its targets return cold, and take this many new flows per second each for `kColdPeriod`.
  double m_cold_flows_per_second = 0;
  /// From one second before the burst to its end no reports arrive.
  bool m_reports_stop = false;
  /// In the middle of the burst the first balancer is restarted.
  bool m_restart = false;
  /// One client address opens this many times as many flows as each of the 200 others; 0: each flow has its own.
  std::uint32_t m_greedy_factor = 0;
  std::uint64_t m_seed = 1;
  /// Speeds of the targets, repeated in this order; a target of speed 2 takes half the time.
  std::vector<double> m_speeds{1};
  /// This share of the requests takes `m_expensive_factor` times the work.
  double m_expensive_share = 0;
  double m_expensive_factor = 7;
  /// Load reports arrive this much later.
  milliseconds m_report_delay{0};
  /// This many targets announce four times their slots.
  std::uint32_t m_misreporting_targets = 0;
  /// This many of the last targets start at the burst's start; they are cold for 2 s and take `m_cold_factor` times as
  /// long meanwhile.
  std::uint32_t m_cold_targets = 0;
  double m_cold_factor = 3;

  static constexpr milliseconds kColdPeriod{3000};
};

/// The rate in flows per second that uses the share `load` of the capacity of a pattern's slots.
inline double RateAtLoad(const LoadPattern& pattern, double load) {
  double speeds = 0;
  for (std::uint32_t target = 0; target < pattern.m_targets; ++target) {
    speeds += pattern.m_speeds[target % pattern.m_speeds.size()];
  }
  const double work_ms =
      pattern.m_mean_processing_ms * (1 + pattern.m_expensive_share * (pattern.m_expensive_factor - 1));
  return load * 2 * speeds * 1000 / work_ms;
}

/// What became of one request.
struct RequestOutcome {
  Duration m_sent{0};
  std::uint32_t m_priority = 0;
  bool m_is_greedy = false;
  std::uint32_t m_tries = 0;
  /// Number of answers 503.
  std::uint32_t m_shed = 0;
  /// Time until the answer 200; unset if there was none.
  std::optional<Duration> m_took;
};

/// Number of requests by outcome, as callers saw it.
struct LoadResult {
  std::uint32_t m_requests = 0;
  std::uint32_t m_in_time = 0;
  std::uint32_t m_late = 0;
  std::uint32_t m_shed = 0;
  /// The same for requests that were first sent in the first second after the outage.
  std::uint32_t m_requests_after_outage = 0;
  std::uint32_t m_in_time_after_outage = 0;
  std::vector<RequestOutcome> m_outcomes;
  /// When flows were placed, since the start.
  std::vector<Duration> m_placements;
  /// Hash of all decisions on opening packets.
  std::uint64_t m_decisions = 0;
  /// Highest room that a balancer assumed, in requests per second.
  double m_highest_room = 0;
  [[nodiscard]] double InTimeShareAfterOutage() const {
    return static_cast<double>(m_in_time_after_outage) / m_requests_after_outage;
  }
  [[nodiscard]] double ServedShare() const { return static_cast<double>(m_in_time + m_late) / m_requests; }
  [[nodiscard]] double InTimeShare() const { return static_cast<double>(m_in_time) / m_requests; }
  /// Times to the answers in milliseconds; requests without an answer have none.
  std::vector<double> m_answer_ms;
  /// The 99th percentile of the times to an answer over all requests; those without an answer count as slowest.
  [[nodiscard]] double P99Ms() const {
    std::vector<double> times = m_answer_ms;
    times.resize(std::max<std::size_t>(m_requests, times.size()), std::numeric_limits<double>::infinity());
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), at, times.end());
    return *at;
  }
};

inline std::string DataCentreOf(const LoadPattern& pattern, std::uint32_t number) {
  return std::string(1, static_cast<char>('a' + number % pattern.m_data_centres));
}

inline bool IsInLastDataCentre(const LoadPattern& pattern, std::uint32_t number) {
  return number % pattern.m_data_centres + 1 == pattern.m_data_centres;
}

inline std::vector<HostId> HostsOf(const LoadPattern& pattern, bool without_last) {
  std::vector<HostId> hosts;
  for (std::uint32_t index = 0; index < pattern.m_balancers; ++index) {
    if (!without_last || !IsInLastDataCentre(pattern, index)) hosts.push_back(HostId{index + 1});
  }
  return hosts;
}

/// The public address for requests of a priority.
inline Endpoint AddressOf(std::uint32_t priority) {
  return {kPublicAddress.m_address, static_cast<std::uint16_t>(kPublicAddress.m_port + priority)};
}

inline PublishedState PublishedStateOf(const LoadPattern& pattern, std::uint64_t index) {
  PublishedState state = MakeState(index);
  state.m_routing.m_services[kService].m_cold_flows_per_second = pattern.m_cold_flows_per_second;
  Route route = state.m_routing.m_routes[kPublicAddress];
  route.m_objective_ms = static_cast<std::uint32_t>(pattern.m_objective.count());
  if (pattern.m_priorities.empty()) state.m_routing.m_routes[kPublicAddress] = route;
  if (!pattern.m_priorities.empty()) state.m_routing.m_routes.clear();
  for (const PriorityLoad& load : pattern.m_priorities) {
    route.m_address = AddressOf(load.m_priority);
    route.m_priority = pattern.m_mode == PriorityMode::kIgnored ? 0 : load.m_priority;
    state.m_routing.m_routes[route.m_address] = route;
  }
  return state;
}

inline std::uint32_t DrawPriority(const LoadPattern& pattern, Random* random) {
  if (pattern.m_priorities.empty()) return 0;
  double drawn = random->NextDouble();
  for (const PriorityLoad& load : pattern.m_priorities) {
    if (drawn < load.m_share) return load.m_priority;
    drawn -= load.m_share;
  }
  return pattern.m_priorities.back().m_priority;
}

/// Offered rates that balancers have reported to each other: the last report counts within a data centre, and the one
/// before it elsewhere.
class ReportedDemand {
 public:
  using Rates = std::map<std::uint32_t, double>;

  ReportedDemand() = default;
  explicit ReportedDemand(const LoadPattern& pattern)
      : m_pattern(pattern), m_last(pattern.m_balancers), m_previous(pattern.m_balancers) {}

  void Publish(std::uint32_t balancer, const Rates& rates) {
    Sums& sums = m_sums[DataCentreOf(m_pattern, balancer)];
    Replace(m_last[balancer], &m_previous[balancer], &sums.m_previous);
    sums.m_reporters += (rates.empty() ? 0 : 1) - (m_last[balancer].empty() ? 0 : 1);
    Replace(rates, &m_last[balancer], &sums.m_last);
  }

  void RemoveLastDataCentre() {
    for (std::uint32_t balancer = 0; balancer < m_pattern.m_balancers; ++balancer) {
      if (!IsInLastDataCentre(m_pattern, balancer)) continue;
      Publish(balancer, {});
      Publish(balancer, {});
    }
  }

  [[nodiscard]] ServiceDemand Others(std::uint32_t balancer) const {
    ServiceDemand demand;
    for (const auto& [data_centre, sums] : m_sums) {
      const bool is_own = data_centre == DataCentreOf(m_pattern, balancer);
      for (const auto& [priority, rate] : is_own ? sums.m_last : sums.m_previous) {
        demand.m_flows_per_second[priority] += rate;
      }
      demand.m_balancers += static_cast<std::uint32_t>(sums.m_reporters);
    }
    for (const auto& [priority, rate] : m_last[balancer]) demand.m_flows_per_second[priority] -= rate;
    demand.m_balancers -= m_last[balancer].empty() ? 0 : 1;
    return demand;
  }

 private:
  struct Sums {
    Rates m_last;
    Rates m_previous;
    int m_reporters = 0;
  };

  static void Replace(const Rates& next, Rates* rates, Rates* sum) {
    for (const auto& [priority, rate] : *rates) (*sum)[priority] -= rate;
    for (const auto& [priority, rate] : next) (*sum)[priority] += rate;
    *rates = next;
  }

  LoadPattern m_pattern;
  std::vector<Rates> m_last;
  std::vector<Rates> m_previous;
  std::map<std::string, Sums> m_sums;
};

/// Held packets carry the number of their flow.
inline std::vector<std::byte> BytesOf(std::uint32_t id) {
  const auto bytes = std::as_bytes(std::span(&id, 1));
  return {bytes.begin(), bytes.end()};
}

inline std::uint32_t IdOf(const WaitingPacket& packet) {
  std::uint32_t id = 0;
  std::memcpy(&id, packet.m_bytes.data(), sizeof id);
  return id;
}

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_STEERING_LOAD_PATTERN_H_
