#ifndef FIGHATCH_TESTS_STEERING_SIMULATION_H_
#define FIGHATCH_TESTS_STEERING_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "fighatch/admission_queue.h"
#include "fighatch/hash.h"
#include "steering_fixture.h"

namespace fighatch::testing_support {

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

/// Number of requests by outcome, as callers saw it.
struct LoadResult {
  std::uint32_t m_requests = 0;
  std::uint32_t m_in_time = 0;
  std::uint32_t m_late = 0;
  std::uint32_t m_shed = 0;
  /// The same for requests that were first sent in the first second after the outage.
  std::uint32_t m_requests_after_outage = 0;
  std::uint32_t m_in_time_after_outage = 0;
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

/// Discrete-event simulation of a load pattern in virtual time. Targets (slots, and a queue that sheds requests when it
/// is full) and callers (retransmitted opening packets, one retry, a deadline) are modelled around real
/// `CookieSteering` objects, which report their load to each other every 35 ms and release held packets every 15 ms.
class SteeringSimulation {
 public:
  using MakeChoice = std::function<std::unique_ptr<ChoiceStrategy>(std::uint32_t balancer)>;

  SteeringSimulation(const LoadPattern& pattern, const MakeChoice& make_choice)
      : m_pattern(pattern), m_make_choice(make_choice), m_random(pattern.m_seed), m_targets(pattern.m_targets) {
    StartBalancers();
  }

  LoadResult Run() {
    ScheduleArrivals();
    if (m_pattern.m_cold_targets > 0) Schedule(m_start + m_pattern.m_burst_start, [this] { StartColdTargets(); });
    if (m_pattern.m_outage.count() > 0) Schedule(OutageEnd(), [this] { StartBalancers(); });
    for (std::uint32_t balancer = 0; balancer < m_pattern.m_balancers; ++balancer) {
      const auto phase = std::chrono::microseconds(m_random.Below(35000));
      Schedule(m_now + phase, [this, balancer] { ScheduleMaintenance(balancer); });
      Schedule(m_now + phase, [this, balancer] { ScheduleRelease(balancer); });
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      if (event.m_at > m_start + m_pattern.m_length + milliseconds(3000)) break;
      m_now = event.m_at;
      event.m_run();
    }
    return m_result;
  }

 private:
  static constexpr milliseconds kObjective{120};
  // A client gives up its first attempt after this long, retries once after a pause, and gives the request up at the
  // deadline.
  static constexpr milliseconds kAttemptTimeout{1400};
  static constexpr milliseconds kRetryPause{100};
  static constexpr milliseconds kDeadline{2000};
  static constexpr milliseconds kOneWayDelay{3};
  static constexpr std::uint32_t kSlots = 2;
  static constexpr milliseconds kReportInterval{35};
  static constexpr milliseconds kColdPeriod{2000};
  static constexpr std::size_t kQueueCapacity = 8;

  struct Event {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator<(const Event& other) const {
      return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
    }
  };
  struct Target {
    std::uint32_t m_running = 0;
    std::queue<std::uint32_t> m_queue;
  };
  struct Flow {
    TimePoint m_requested_at;
    // Start of the attempt that this flow belongs to.
    TimePoint m_attempt_start;
    std::uint32_t m_balancer = 0;
    std::uint32_t m_target = 0;
    std::uint32_t m_cookie = 0;
    bool m_open = false;
  };

  void StartBalancers() {
    std::vector<HostId> hosts;
    for (std::uint32_t host = 1; host <= m_pattern.m_balancers; ++host) hosts.push_back(HostId{host});
    m_balancers.clear();
    m_waiting = std::vector<AdmissionQueue>(m_pattern.m_balancers);
    PublishedState state = MakeState();
    state.m_routing.m_routes[kPublicAddress].m_objective_ms = static_cast<std::uint32_t>(kObjective.count());
    for (std::uint32_t host = 1; host <= m_pattern.m_balancers; ++host) {
      SteeringOptions options;
      options.m_self = HostId{host};
      options.m_data_centre = "a";
      m_balancers.push_back(std::make_unique<CookieSteering>(options, m_make_choice(host), Random(host)));
      CookieSteering& balancer = *m_balancers.back();
      (void)balancer.Update(m_now, MakeUpdate({}, state));
      for (std::uint32_t number = 0; number < m_pattern.m_targets; ++number) {
        if (number + m_pattern.m_cold_targets < m_pattern.m_targets) (void)balancer.Merge(m_now, {Record(number), 0});
      }
      balancer.SetBalancers(hosts);
      if (m_pattern.m_report_delay.count() > 0) balancer.SetReportLag(kReportInterval + m_pattern.m_report_delay);
    }
  }

  [[nodiscard]] AnnouncedTarget Record(std::uint32_t number) const {
    AnnouncedTarget record = MakeTarget(number);
    if (number < m_pattern.m_misreporting_targets) record.m_slots *= 4;
    return record;
  }

  void StartColdTargets() {
    for (std::uint32_t number = m_pattern.m_targets - m_pattern.m_cold_targets; number < m_pattern.m_targets;
         ++number) {
      AnnouncedTarget record = Record(number);
      record.m_cold_left_ms = static_cast<std::uint32_t>(kColdPeriod.count());
      for (const auto& balancer : m_balancers) (void)balancer->Merge(m_now, {record, 0});
    }
  }

  [[nodiscard]] TimePoint OutageEnd() const { return m_start + m_pattern.m_burst_start + m_pattern.m_outage; }
  [[nodiscard]] bool InOutage() const { return IsPastBurstStart() && m_now < OutageEnd(); }
  [[nodiscard]] bool WasSentAfterOutage(const Flow& flow) const {
    return m_pattern.m_outage.count() > 0 && flow.m_requested_at >= OutageEnd() &&
           flow.m_requested_at < OutageEnd() + milliseconds(1000);
  }

  void Schedule(TimePoint at, std::function<void()> run) { m_events.push({at, ++m_order, std::move(run)}); }

  [[nodiscard]] bool InBurst() const {
    return m_now >= m_start + m_pattern.m_burst_start && m_now < m_start + m_pattern.m_burst_end;
  }
  [[nodiscard]] bool IsPastBurstStart() const { return m_now >= m_start + m_pattern.m_burst_start; }

  void ScheduleArrivals() {
    Schedule(m_start + milliseconds(1600), [this] { GenerateArrival(); });
    for (std::uint32_t count = 0; count < m_pattern.m_returning_callers; ++count) {
      Schedule(m_start + m_pattern.m_burst_start, [this] { SendRequest(); });
    }
  }

  void GenerateArrival() {
    if (m_now > m_start + m_pattern.m_length) return;
    SendRequest();
    const double rate = m_pattern.m_flows_per_second * (InBurst() ? m_pattern.m_burst : 1);
    const double gap_us = -std::log(1 - m_random.NextDouble()) * 1e6 / rate;
    Schedule(m_now + std::chrono::microseconds(static_cast<std::int64_t>(gap_us) + 1), [this] { GenerateArrival(); });
  }

  void SendRequest() {
    ++m_result.m_requests;
    StartAttempt(m_now, false);
    m_result.m_requests_after_outage += WasSentAfterOutage(m_flows.back()) ? 1 : 0;
  }

  void StartAttempt(TimePoint first_sent, bool is_retry) {
    const auto id = static_cast<std::uint32_t>(m_flows.size());
    m_flows.push_back(
        {first_sent, m_now, static_cast<std::uint32_t>(m_random.Below(m_pattern.m_balancers)), 0, 0, false});
    if (!is_retry) {
      Schedule(m_now + kAttemptTimeout + kRetryPause, [this, id, first_sent] {
        if (!m_flows[id].m_open) StartAttempt(first_sent, true);
      });
    }
    for (const auto& [copy, delay_ms] : {std::pair(0U, 0), std::pair(1U, 200), std::pair(2U, 600)}) {
      Schedule(m_now + kOneWayDelay + milliseconds(delay_ms), [this, id, retransmissions = copy] {
        if (!m_flows[id].m_open) SendOpeningPacket(id, OpeningPacket(id, retransmissions));
      });
    }
  }

  void SendOpeningPacket(std::uint32_t id, const CookiePacket& packet) {
    if (InOutage()) return;
    ApplyDecision(id, packet, m_now - packet.m_age, m_balancers[m_flows[id].m_balancer]->Steer(m_now, packet));
  }

  // Returns false if the packet is held.
  bool ApplyDecision(std::uint32_t id, const CookiePacket& packet, TimePoint first_sent,
                     const SteeringDecision& decision) {
    if (decision.m_action == SteeringAction::kHold) {
      m_waiting[m_flows[id].m_balancer].Put(
          {packet, decision.m_priority, first_sent, {}, decision.m_objective_deadline});
      return false;
    }
    if (decision.m_action == SteeringAction::kForward) DeliverToTarget(id, decision);
    return true;
  }

  void DeliverToTarget(std::uint32_t id, const SteeringDecision& decision) {
    const auto number = static_cast<std::uint32_t>(decision.m_target.m_value - 0x1000);
    if (IsPastBurstStart() && number < m_pattern.m_dead_targets) return;
    if (m_flows[id].m_open || m_now - m_flows[id].m_attempt_start > kAttemptTimeout) return;
    m_flows[id].m_open = true;
    m_flows[id].m_target = number;
    m_flows[id].m_cookie = decision.m_cookie;
    Schedule(m_now + kOneWayDelay * 2, [this, id] {
      CookiePacket request = LaterPacket(id, m_flows[id].m_cookie);
      request.m_payload_bytes = 1;
      (void)m_balancers[m_flows[id].m_balancer]->Steer(m_now, request);
      Enqueue(id);
    });
  }

  void Enqueue(std::uint32_t id) {
    Target& target = m_targets[m_flows[id].m_target];
    if (target.m_running >= kSlots && target.m_queue.size() >= kQueueCapacity) {
      ++m_result.m_shed;
      return Close(id);
    }
    target.m_queue.push(id);
    StartNext(m_flows[id].m_target);
  }

  void StartNext(std::uint32_t number) {
    Target& target = m_targets[number];
    while (target.m_running < kSlots && !target.m_queue.empty()) {
      const std::uint32_t id = target.m_queue.front();
      target.m_queue.pop();
      ++target.m_running;
      const double processing_ms = m_pattern.m_mean_processing_ms * WorkFactor(id) * TimeFactor(number);
      Schedule(m_now + std::chrono::microseconds(static_cast<std::int64_t>(processing_ms * 1000)), [this, id, number] {
        --m_targets[number].m_running;
        Answer(id);
        StartNext(number);
      });
    }
  }

  [[nodiscard]] double WorkFactor(std::uint32_t id) {
    if (m_pattern.m_expensive_share <= 0) return 0.5 + m_random.NextDouble();
    // The same for all strategies, so that they are compared on the same requests.
    Random work(MixHash(m_pattern.m_seed, id));
    const double spread = 0.5 + work.NextDouble();
    return work.NextDouble() < m_pattern.m_expensive_share ? spread * m_pattern.m_expensive_factor : spread;
  }

  [[nodiscard]] double TimeFactor(std::uint32_t number) const {
    double factor = 1 / m_pattern.m_speeds[number % m_pattern.m_speeds.size()];
    if (IsPastBurstStart() && number < m_pattern.m_slow_targets) factor *= m_pattern.m_slow_factor;
    const bool is_cold = m_now < m_start + m_pattern.m_burst_start + kColdPeriod &&
                         number + m_pattern.m_cold_targets >= m_pattern.m_targets;
    return is_cold ? factor * m_pattern.m_cold_factor : factor;
  }

  void Answer(std::uint32_t id) {
    const Duration took = m_now + kOneWayDelay - m_flows[id].m_requested_at;
    m_result.m_answer_ms.push_back(std::chrono::duration<double, std::milli>(took).count());
    if (took <= kObjective) {
      ++m_result.m_in_time;
      m_result.m_in_time_after_outage += WasSentAfterOutage(m_flows[id]) ? 1 : 0;
    } else if (took <= kDeadline) {
      ++m_result.m_late;
    }
    Close(id);
  }

  void Close(std::uint32_t id) {
    Schedule(m_now + kOneWayDelay * 2, [this, id] {
      (void)m_balancers[m_flows[id].m_balancer]->Steer(m_now, LaterPacket(id, m_flows[id].m_cookie, true));
    });
  }

  void ScheduleMaintenance(std::uint32_t index) {
    if (!InOutage()) RunMaintenance(index);
    Schedule(m_now + kReportInterval, [this, index] { ScheduleMaintenance(index); });
  }

  void RunMaintenance(std::uint32_t index) {
    CookieSteering& balancer = *m_balancers[index];
    balancer.RefreshLoadCounts(m_now);
    balancer.Tick(m_now);
    const LoadReport report = balancer.MakeReport();
    if (m_pattern.m_report_delay.count() == 0) return Deliver(index, report);
    Schedule(m_now + m_pattern.m_report_delay, [this, index, report] { Deliver(index, report); });
  }

  void Deliver(std::uint32_t index, const LoadReport& report) {
    for (std::uint32_t other = 0; other < m_pattern.m_balancers; ++other) {
      if (other != index) m_balancers[other]->Receive(m_now, report);
    }
  }

  void ScheduleRelease(std::uint32_t index) {
    if (!InOutage()) Release(index);
    Schedule(m_now + milliseconds(15), [this, index] { ScheduleRelease(index); });
  }

  void Release(std::uint32_t index) {
    CookieSteering& balancer = *m_balancers[index];
    m_waiting[index].Expire(m_now);
    for (std::size_t budget = balancer.ReleaseBudget(m_now); budget > 0; --budget) {
      const std::optional<WaitingPacket> packet = m_waiting[index].TakeNext(m_now);
      if (!packet) break;
      const std::uint32_t id = packet->m_packet.m_endpoints.m_client.m_address.ToV4() - 0x64400000;
      if (!ApplyDecision(id, packet->m_packet, packet->m_first_sent,
                         balancer.SteerWaiting(m_now, packet->m_packet, packet->m_first_sent))) {
        break;
      }
    }
  }

  LoadPattern m_pattern;
  MakeChoice m_make_choice;
  Random m_random;
  TimePoint m_start{std::chrono::seconds(100)};
  TimePoint m_now = m_start;
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<CookieSteering>> m_balancers;
  std::vector<Target> m_targets;
  std::vector<AdmissionQueue> m_waiting;
  std::vector<Flow> m_flows;
  LoadResult m_result;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_STEERING_SIMULATION_H_
