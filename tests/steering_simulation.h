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
#include "steering_load_pattern.h"

namespace fighatch::testing_support {

/// Discrete-event simulation of a load pattern in virtual time. Targets (slots, and a queue that sheds requests when it
/// is full) and callers (retransmitted opening packets, retries, a deadline) are modelled around real `CookieSteering`
/// objects, which report their load to each other and release held packets every 15 ms. Offered rates are known to all
/// balancers one report interval later.
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
    ScheduleFaults();
    for (std::uint32_t balancer = 0; balancer < m_pattern.m_balancers; ++balancer) {
      const auto phase_us =
          std::chrono::microseconds(m_random.Below(std::chrono::microseconds(m_pattern.m_report_interval).count()));
      Schedule(m_now + phase_us, [this, balancer] { ScheduleMaintenance(balancer); });
      Schedule(m_now + phase_us, [this, balancer] { ScheduleRelease(balancer); });
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
  // A client gives up its first attempt after this long, retries once after a pause, and gives the request up at the
  // deadline.
  static constexpr milliseconds kAttemptTimeout{1400};
  static constexpr milliseconds kRetryPause{100};
  static constexpr milliseconds kDeadline{2000};
  static constexpr milliseconds kOneWayDelay{3};
  // Time until control hosts have published that a data centre is down or back.
  static constexpr milliseconds kControlDelay{1000};
  static constexpr std::uint32_t kOrdinaryClients = 200;
  static constexpr std::size_t kMaxBalancersForDirectReports = 16;
  static constexpr std::uint32_t kSlots = 2;
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
    // Index of the request's outcome.
    std::uint32_t m_request = 0;
    TimePoint m_requested_at;
    // Start of the attempt that this flow belongs to.
    TimePoint m_attempt_start;
    std::uint32_t m_balancer = 0;
    std::uint32_t m_target = 0;
    std::uint32_t m_cookie = 0;
    bool m_open = false;
  };

  void StartBalancers() {
    m_balancers.resize(m_pattern.m_balancers);
    m_waiting = std::vector<AdmissionQueue>(m_pattern.m_balancers);
    m_demand = ReportedDemand(m_pattern);
    for (std::uint32_t index = 0; index < m_pattern.m_balancers; ++index) StartBalancer(index);
  }

  void StartBalancer(std::uint32_t index) {
    const HostId host{index + 1};
    SteeringOptions options;
    options.m_self = host;
    options.m_data_centre = DataCentreOf(m_pattern, index);
    options.m_rate_shares = m_pattern.m_mode == PriorityMode::kRateShares;
    m_balancers[index] = std::make_unique<CookieSteering>(options, m_make_choice(host.m_value), Random(host.m_value));
    (void)m_balancers[index]->Update(m_now, MakeUpdate({}, PublishedStateOf(m_pattern, 1)));
    for (std::uint32_t number = 0; number < m_pattern.m_targets; ++number) {
      if (number + m_pattern.m_cold_targets >= m_pattern.m_targets) continue;
      (void)m_balancers[index]->Merge(m_now, {Record(number), 0});
    }
    m_balancers[index]->SetBalancers(HostsOf(m_pattern, false));
    if (m_pattern.m_report_delay.count() > 0) {
      m_balancers[index]->SetReportLag(m_pattern.m_report_interval + m_pattern.m_report_delay);
    }
    m_waiting[index] = {};
  }

  [[nodiscard]] AnnouncedTarget Record(std::uint32_t number) const {
    AnnouncedTarget record = MakeTarget(number, DataCentreOf(m_pattern, number));
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

  [[nodiscard]] bool IsDown(std::uint32_t number) const {
    return m_pattern.m_data_centre_out && InBurst() && IsInLastDataCentre(m_pattern, number);
  }

  void ScheduleFaults() {
    const TimePoint start = m_start + m_pattern.m_burst_start;
    const TimePoint end = m_start + m_pattern.m_burst_end;
    if (m_pattern.m_data_centre_out) {
      Schedule(start + kControlDelay, [this] { PublishDataCentre(2, true); });
      Schedule(end, [this] {
        for (std::uint32_t index = 0; index < m_pattern.m_balancers; ++index) {
          if (IsInLastDataCentre(m_pattern, index)) StartBalancer(index);
        }
      });
      Schedule(end + kControlDelay, [this] { PublishDataCentre(3, false); });
    }
    if (m_pattern.m_restart) Schedule(start + (end - start) / 2, [this] { StartBalancer(0); });
  }

  void PublishDataCentre(std::uint64_t index, bool out) {
    PublishedState state = PublishedStateOf(m_pattern, index);
    if (out) state.m_data_centres_out.insert(DataCentreOf(m_pattern, m_pattern.m_data_centres - 1));
    for (auto& balancer : m_balancers) {
      (void)balancer->Update(m_now, MakeUpdate({}, state));
      balancer->SetBalancers(HostsOf(m_pattern, out));
      for (std::uint32_t number = 0; number < m_pattern.m_targets; ++number) {
        AnnouncedTarget record = MakeTarget(number, DataCentreOf(m_pattern, number));
        record.m_sequence = 2;
        record.m_cold_left_ms = static_cast<std::uint32_t>(LoadPattern::kColdPeriod.count());
        if (!out && IsInLastDataCentre(m_pattern, number)) (void)balancer->Merge(m_now, {record, 0});
      }
    }
    if (out) m_demand.RemoveLastDataCentre();
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
  [[nodiscard]] bool ReportsArrive() const {
    return !m_pattern.m_reports_stop || m_now < m_start + m_pattern.m_burst_start - milliseconds(1000) ||
           m_now >= m_start + m_pattern.m_burst_end;
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
    RequestOutcome outcome;
    outcome.m_sent = m_now - m_start;
    outcome.m_priority = DrawPriority(m_pattern, &m_random);
    if (m_pattern.m_greedy_factor > 0) {
      outcome.m_is_greedy = m_random.Below(kOrdinaryClients + m_pattern.m_greedy_factor) >= kOrdinaryClients;
    }
    m_result.m_outcomes.push_back(outcome);
    StartAttempt(m_result.m_requests - 1, m_now, false);
    m_result.m_requests_after_outage += WasSentAfterOutage(m_flows.back()) ? 1 : 0;
  }

  std::uint32_t DrawBalancer() {
    auto drawn = static_cast<std::uint32_t>(m_random.Below(m_pattern.m_balancers));
    while (IsDown(drawn)) drawn = static_cast<std::uint32_t>(m_random.Below(m_pattern.m_balancers));
    return drawn;
  }

  void StartAttempt(std::uint32_t request, TimePoint first_sent, bool is_retry) {
    const auto id = static_cast<std::uint32_t>(m_flows.size());
    ++m_result.m_outcomes[request].m_tries;
    m_flows.push_back({request, first_sent, m_now, DrawBalancer(), 0, 0, false});
    if (!is_retry) {
      Schedule(m_now + kAttemptTimeout + kRetryPause, [this, id, request, first_sent] {
        if (!m_flows[id].m_open) StartAttempt(request, first_sent, true);
      });
    }
    for (const auto& [copy, delay_ms] : {std::pair(0U, 0), std::pair(1U, 200), std::pair(2U, 600)}) {
      Schedule(m_now + kOneWayDelay + milliseconds(delay_ms), [this, id, retransmissions = copy] {
        if (!m_flows[id].m_open) SendOpeningPacket(id, MakeOpeningPacket(id, retransmissions));
      });
    }
  }

  [[nodiscard]] CookiePacket MakeOpeningPacket(std::uint32_t id, std::uint32_t retransmissions = 0) const {
    CookiePacket packet = OpeningPacket(id, retransmissions);
    const RequestOutcome& request = m_result.m_outcomes[m_flows[id].m_request];
    packet.m_endpoints.m_service = AddressOf(request.m_priority);
    if (m_pattern.m_greedy_factor == 0) return packet;
    const std::uint32_t client = request.m_is_greedy ? kOrdinaryClients : m_flows[id].m_request % kOrdinaryClients;
    packet.m_endpoints.m_client = {IpAddress::FromV4(0x64400000 + client), static_cast<std::uint16_t>(id)};
    return packet;
  }

  [[nodiscard]] CookiePacket MakeLaterPacket(std::uint32_t id, bool closing) const {
    CookiePacket packet = MakeOpeningPacket(id);
    packet.m_opening = false;
    packet.m_closing = closing;
    packet.m_cookie = m_flows[id].m_cookie;
    return packet;
  }

  void RetryRefused(std::uint32_t id) {
    const Flow flow = m_flows[id];
    if (m_result.m_outcomes[flow.m_request].m_tries > m_pattern.m_retries) return;
    const auto pause = milliseconds(100 + m_random.Below(200));
    Schedule(m_now + kOneWayDelay + pause, [this, flow] { StartAttempt(flow.m_request, flow.m_requested_at, true); });
  }

  void SendOpeningPacket(std::uint32_t id, const CookiePacket& packet) {
    if (InOutage() || IsDown(m_flows[id].m_balancer)) return;
    ApplyDecision(id, packet, m_now - packet.m_age, m_balancers[m_flows[id].m_balancer]->Steer(m_now, packet));
  }

  // Returns false if the packet is held.
  bool ApplyDecision(std::uint32_t id, const CookiePacket& packet, TimePoint first_sent,
                     const SteeringDecision& decision) {
    m_result.m_decisions = MixHash(m_result.m_decisions ^ static_cast<std::uint64_t>(decision.m_action),
                                   MixHash(id, decision.m_target.m_value));
    if (decision.m_action == SteeringAction::kHold) {
      m_waiting[m_flows[id].m_balancer].Put(
          {packet, decision.m_priority, first_sent, BytesOf(id), decision.m_objective_deadline});
      return false;
    }
    if (decision.m_placed) m_result.m_placements.push_back(m_now - m_start);
    if (decision.m_action == SteeringAction::kForward) DeliverToTarget(id, decision);
    if (decision.m_action == SteeringAction::kReset && m_pattern.m_retries > 0 && !m_flows[id].m_open) {
      m_flows[id].m_open = true;
      RetryRefused(id);
    }
    return true;
  }

  void DeliverToTarget(std::uint32_t id, const SteeringDecision& decision) {
    const auto number = static_cast<std::uint32_t>(decision.m_target.m_value - 0x1000);
    if ((IsPastBurstStart() && number < m_pattern.m_dead_targets) || IsDown(number)) return;
    if (m_flows[id].m_open || m_now - m_flows[id].m_attempt_start > kAttemptTimeout) return;
    m_flows[id].m_open = true;
    m_flows[id].m_target = number;
    m_flows[id].m_cookie = decision.m_cookie;
    Schedule(m_now + kOneWayDelay * 2, [this, id] {
      CookiePacket request = MakeLaterPacket(id, false);
      request.m_data_bytes = 1;
      (void)m_balancers[m_flows[id].m_balancer]->Steer(m_now, request);
      Enqueue(id);
    });
  }

  void Enqueue(std::uint32_t id) {
    Target& target = m_targets[m_flows[id].m_target];
    if (target.m_running >= kSlots && target.m_queue.size() >= kQueueCapacity) {
      ++m_result.m_shed;
      ++m_result.m_outcomes[m_flows[id].m_request].m_shed;
      if (m_pattern.m_retries > 0) RetryRefused(id);
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
    if (took <= kDeadline) m_result.m_outcomes[m_flows[id].m_request].m_took = took;
    m_result.m_answer_ms.push_back(std::chrono::duration<double, std::milli>(took).count());
    if (took <= m_pattern.m_objective) {
      ++m_result.m_in_time;
      m_result.m_in_time_after_outage += WasSentAfterOutage(m_flows[id]) ? 1 : 0;
    } else if (took <= kDeadline) {
      ++m_result.m_late;
    }
    Close(id);
  }

  void Close(std::uint32_t id) {
    Schedule(m_now + kOneWayDelay * 2,
             [this, id] { (void)m_balancers[m_flows[id].m_balancer]->Steer(m_now, MakeLaterPacket(id, true)); });
  }

  void ScheduleMaintenance(std::uint32_t index) {
    if (!InOutage() && !IsDown(index)) RunMaintenance(index);
    Schedule(m_now + m_pattern.m_report_interval, [this, index] { ScheduleMaintenance(index); });
  }

  void RunMaintenance(std::uint32_t index) {
    CookieSteering& balancer = *m_balancers[index];
    balancer.RefreshLoadCounts(m_now);
    balancer.Tick(m_now);
    const ServiceRoom* room = balancer.Shares().Room(kService);
    if (room != nullptr) m_result.m_highest_room = std::max(m_result.m_highest_room, room->m_requests_per_second);
    if (!ReportsArrive()) return;
    m_demand.Publish(index, balancer.Shares().OfferedRates(m_now, kService));
    const LoadReport report = balancer.MakeReport();
    if (m_pattern.m_report_delay.count() == 0) return Deliver(index, report);
    Schedule(m_now + m_pattern.m_report_delay, [this, index, report] { Deliver(index, report); });
  }

  void Deliver(std::uint32_t index, const LoadReport& report) {
    const bool to_all = m_pattern.m_balancers <= kMaxBalancersForDirectReports;
    for (std::uint32_t other = 0; other < m_pattern.m_balancers; ++other) {
      const bool is_recipient = to_all || DataCentreOf(m_pattern, other) == DataCentreOf(m_pattern, index);
      if (is_recipient && other != index && !IsDown(other)) m_balancers[other]->Receive(m_now, report);
    }
  }

  void ScheduleRelease(std::uint32_t index) {
    if (!InOutage() && !IsDown(index)) Release(index);
    Schedule(m_now + milliseconds(15), [this, index] { ScheduleRelease(index); });
  }

  void Release(std::uint32_t index) {
    CookieSteering& balancer = *m_balancers[index];
    if (ReportsArrive()) balancer.SetDemand(m_now, kService, m_demand.Others(index));
    m_waiting[index].Expire(m_now);
    for (const ReleasedPacket& released : balancer.ReleaseSharedPackets(m_now, &m_waiting[index])) {
      const WaitingPacket& packet = released.m_packet;
      ApplyDecision(IdOf(packet), packet.m_packet, packet.m_first_sent, released.m_decision);
    }
    const std::set<Endpoint> shared = balancer.AddressesShortOfRoom();
    for (std::size_t budget = balancer.ReleaseBudget(m_now); budget > 0; --budget) {
      const std::optional<WaitingPacket> packet = m_waiting[index].TakeNext(m_now, shared);
      if (!packet) break;
      if (!ApplyDecision(IdOf(*packet), packet->m_packet, packet->m_first_sent,
                         balancer.SteerWaiting(m_now, packet->m_packet, packet->m_first_sent))) {
        break;
      }
    }
    if (m_pattern.m_retries > 0) RefuseExcess(index);
  }

  void RefuseExcess(std::uint32_t index) {
    SteeringDecision refused;
    refused.m_action = SteeringAction::kReset;
    for (const WaitingPacket& packet : m_waiting[index].RemoveExcess(m_balancers[index]->WaitingLimit(m_now))) {
      ApplyDecision(IdOf(packet), packet.m_packet, packet.m_first_sent, refused);
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
  ReportedDemand m_demand;
  std::vector<Flow> m_flows;
  LoadResult m_result;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_STEERING_SIMULATION_H_
