#ifndef FIGHATCH_BENCH_REQUEST_SIM_H_
#define FIGHATCH_BENCH_REQUEST_SIM_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fighatch/request_engine.h"

namespace fighatch::bench {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs scheduled events in virtual time. Events of the same time run in the order in which they were scheduled.
class Scheduler {
 public:
  void At(TimePoint time, std::function<void()> run) { m_queue.push({time, m_order++, std::move(run)}); }
  void After(Duration delay, std::function<void()> run) { At(m_now + delay, std::move(run)); }
  void RunUntil(TimePoint end) {
    while (!m_queue.empty() && m_queue.top().m_at <= end) {
      const Item item = m_queue.top();
      m_queue.pop();
      m_now = std::max(m_now, item.m_at);
      item.m_run();
    }
    m_now = end;
  }
  [[nodiscard]] TimePoint Now() const { return m_now; }

 private:
  struct Item {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Item& other) const { return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order); }
  };
  TimePoint m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Item> m_queue;
};

/// Parameters of a simulation run. Targets have `m_slots` slots each and serve requests in order of arrival.
struct SimSettings {
  std::uint64_t m_seed = 1;
  std::uint32_t m_balancers = 8;
  std::uint32_t m_targets = 15;
  std::uint32_t m_slots = 2;
  Duration m_service_time = milliseconds(50);
  /// Exponential service times; otherwise uniform between 0.5 and 1.5 times the mean. With exponential times a
  /// cancelled request wastes no work, because the remaining time does not depend on the time already spent.
  bool m_exponential_service = true;
  /// Offered load as a multiple of the targets' capacity.
  double m_load = 0.7;
  Duration m_length = seconds(60);
  std::string m_request_timeout = "2000";
  /// True leases tokens, whose sum over the balancers is the number of the targets' slots; false makes them unlimited.
  bool m_leases = true;
  bool m_limit_admission = true;
  bool m_limit_retries = true;
  std::size_t m_queue_limit = 256;
  std::function<std::unique_ptr<PickStrategy>()> m_strategy = MakeLeastInProgress;
  /// Age of a load report when it reaches the balancers.
  Duration m_report_lag = milliseconds(500);
  /// Target 1 always reports 0 and target 2 always reports 100.
  bool m_false_reports = true;
  /// Shares of the requests that a target sheds without running them, and that it never answers.
  double m_shed_share = 0;
  double m_silent_share = 0;
};

/// Results of a simulation run.
struct SimResult {
  /// Largest time-averaged number of requests in progress of a target divided by the mean of all targets, averaged over
  /// windows of 1 s.
  double m_imbalance = 0;
  /// The same ratio over the whole run as one window.
  double m_whole_run_imbalance = 0;
  std::uint64_t m_offered = 0;
  std::uint64_t m_answered_in_time = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  /// Requests answered in time over the targets' capacity.
  double m_goodput = 0;
};

/// Pool of tokens, one for each slot of a target. A balancer gets a token 1 ms after it reports demand and returns it
/// after 50 ms without use.
class TokenPool {
 public:
  TokenPool(const SimSettings& settings, Scheduler* scheduler, Random* random)
      : m_scheduler(scheduler), m_random(random), m_free(settings.m_targets, settings.m_slots) {}

  /// Grants a token of a target with the most free tokens; empty if none is free.
  std::optional<std::uint32_t> Grant() {
    std::vector<std::uint32_t> best;
    for (std::uint32_t target = 0; target < m_free.size(); ++target) {
      if (m_free[target] == 0 || (!best.empty() && m_free[target] < m_free[best[0]])) continue;
      if (!best.empty() && m_free[target] > m_free[best[0]]) best.clear();
      best.push_back(target);
    }
    if (best.empty()) return std::nullopt;
    const std::uint32_t chosen = best[m_random->Below(best.size())];
    --m_free[chosen];
    return chosen;
  }
  void ReturnToken(std::uint32_t target) {
    ++m_free[target];
    if (!m_waiting.empty()) {
      const std::function<void()> next = std::move(m_waiting.front());
      m_waiting.pop_front();
      m_scheduler->After(milliseconds(1), next);
    }
  }
  void Wait(std::function<void()> retry) { m_waiting.push_back(std::move(retry)); }

 private:
  Scheduler* m_scheduler;
  Random* m_random;
  std::vector<std::uint32_t> m_free;
  std::deque<std::function<void()>> m_waiting;
};

/// The tokens that one balancer holds from the pool.
class PooledAllowance : public TargetAllowance {
 public:
  PooledAllowance(Scheduler* scheduler, TokenPool* pool, std::function<void()> changed)
      : m_scheduler(scheduler), m_pool(pool), m_changed(std::move(changed)) {}

  std::uint32_t Available(TargetId target, TimePoint /*now*/) const override {
    const auto found = m_idle.find(target);
    return found == m_idle.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
  }
  bool Take(TargetId target, TimePoint /*now*/) override {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) return false;
    found->second.pop_back();
    if (found->second.empty()) m_idle.erase(found);
    return true;
  }
  void Return(TargetId target, TimePoint /*now*/) override { AddIdleToken(target, microseconds(0)); }
  void ReportDemand(ServiceId /*service*/, std::uint32_t waiting, TimePoint /*now*/) override {
    m_demand = waiting;
    while (m_pending_grants < waiting) {
      ++m_pending_grants;
      m_scheduler->After(milliseconds(1), [this] { RequestToken(); });
    }
  }

 private:
  void RequestToken() {
    if (m_demand == 0) {
      --m_pending_grants;
      return;
    }
    const std::optional<std::uint32_t> target = m_pool->Grant();
    if (!target) return m_pool->Wait([this] { RequestToken(); });
    --m_pending_grants;
    AddIdleToken(TargetId{*target + 1}, milliseconds(50));
    m_changed();
  }
  /// Keeps a token until it is taken or `idle_limit` has passed. A token from a finished request has a limit of 0, so
  /// it goes back to the pool unless a request that waits here takes it at once.
  void AddIdleToken(TargetId target, Duration idle_limit) {
    const std::uint64_t token = ++m_last_token;
    m_idle[target].push_back(token);
    m_scheduler->After(idle_limit, [this, target, token] { Release(target, token); });
  }
  void Release(TargetId target, std::uint64_t token) {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) return;
    if (std::erase(found->second, token) == 0) return;
    if (found->second.empty()) m_idle.erase(found);
    m_pool->ReturnToken(static_cast<std::uint32_t>(target.m_value - 1));
  }

  Scheduler* m_scheduler;
  TokenPool* m_pool;
  std::function<void()> m_changed;
  std::map<TargetId, std::vector<std::uint64_t>> m_idle;
  std::uint64_t m_last_token = 0;
  std::uint32_t m_demand = 0;
  std::uint32_t m_pending_grants = 0;
};

/// Unlimited tokens, as in a balancer without leases.
class UnlimitedAllowance : public TargetAllowance {
 public:
  std::uint32_t Available(TargetId /*target*/, TimePoint /*now*/) const override { return 1000; }
  bool Take(TargetId /*target*/, TimePoint /*now*/) override { return true; }
  void Return(TargetId /*target*/, TimePoint /*now*/) override {}
  void ReportDemand(ServiceId /*service*/, std::uint32_t /*waiting*/, TimePoint /*now*/) override {}
};

/// Simulates balancers and their targets with Poisson arrivals of idempotent requests.
class RequestSim {
 public:
  explicit RequestSim(const SimSettings& settings);
  SimResult Run();

 private:
  struct Work {
    std::uint32_t m_balancer;
    ExchangeId m_exchange;
  };
  struct Target {
    std::vector<Work> m_running;
    std::deque<Work> m_waiting;
    /// Time integral of the requests in progress, over the current window and over the run.
    double m_window = 0;
    double m_total = 0;
    TimePoint m_changed{};
  };
  struct Balancer {
    std::unique_ptr<TargetAllowance> m_allowance;
    std::unique_ptr<RequestEngine> m_engine;
    std::uint64_t m_timer = 0;
  };

  void AddBalancer(std::uint32_t index);
  void Handle(std::uint32_t balancer, RequestEvent event);
  void StartRequest();
  void OnAnswer(const SendAnswer& answer);
  void OnDispatch(std::uint32_t balancer, const DispatchToTarget& action);
  void OnCancel(std::uint32_t balancer, ExchangeId exchange);
  void StartNext(std::uint32_t target);
  void End(std::uint32_t target, Work work);
  void AccumulateLoad(Target& target) const;
  void CloseWindow();
  void ReportLoads();
  [[nodiscard]] Duration Exponential(Duration mean);
  [[nodiscard]] Duration ServiceTime();

  SimSettings m_settings;
  Scheduler m_scheduler;
  Random m_random;
  TokenPool m_pool;
  std::vector<Balancer> m_balancers;
  std::vector<Target> m_targets;
  std::map<std::uint64_t, TimePoint> m_deadlines;
  std::uint64_t m_next_caller = 0;
  std::vector<double> m_windows;
  SimResult m_result;
};

inline RequestSim::RequestSim(const SimSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_pool(settings, &m_scheduler, &m_random),
      m_balancers(settings.m_balancers),
      m_targets(settings.m_targets) {
  for (std::uint32_t index = 0; index < settings.m_balancers; ++index) AddBalancer(index);
}

inline void RequestSim::AddBalancer(std::uint32_t index) {
  Balancer& balancer = m_balancers[index];
  if (m_settings.m_leases) {
    balancer.m_allowance =
        std::make_unique<PooledAllowance>(&m_scheduler, &m_pool, [this, index] { Handle(index, AllowanceChanged{}); });
  } else {
    balancer.m_allowance = std::make_unique<UnlimitedAllowance>();
  }
  RequestEngineSettings engine;
  engine.m_host = HostId{index + 1};
  engine.m_limit_admission = m_settings.m_limit_admission;
  engine.m_limit_retries = m_settings.m_limit_retries;
  engine.m_queue_limit = m_settings.m_queue_limit;
  balancer.m_engine =
      std::make_unique<RequestEngine>(engine, balancer.m_allowance.get(), m_settings.m_strategy(), &m_random);
  Service service;
  service.m_id = ServiceId{1};
  std::vector<TargetInfo> targets(m_settings.m_targets);
  for (std::uint32_t target = 0; target < m_settings.m_targets; ++target) {
    targets[target].m_id = TargetId{target + 1};
    targets[target].m_state = TargetState::kServing;
  }
  Handle(index, ServiceChanged{service});
  Handle(index, TargetsChanged{service.m_id, targets});
}

inline Duration RequestSim::Exponential(Duration mean) {
  return Duration(static_cast<Duration::rep>(-std::log(1 - m_random.NextDouble()) * static_cast<double>(mean.count())));
}

inline Duration RequestSim::ServiceTime() {
  const Duration mean = m_settings.m_service_time;
  if (m_settings.m_exponential_service) return Exponential(mean);
  return mean / 2 + Duration(static_cast<Duration::rep>(m_random.Below(static_cast<std::uint64_t>(mean.count()))));
}

inline void RequestSim::Handle(std::uint32_t balancer, RequestEvent event) {
  for (const RequestAction& action : m_balancers[balancer].m_engine->Handle(m_scheduler.Now(), std::move(event))) {
    if (const auto* answer = std::get_if<SendAnswer>(&action)) OnAnswer(*answer);
    if (const auto* dispatch = std::get_if<DispatchToTarget>(&action)) OnDispatch(balancer, *dispatch);
    if (const auto* cancel = std::get_if<CancelAtTarget>(&action)) OnCancel(balancer, cancel->m_exchange);
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      const std::uint64_t number = ++m_balancers[balancer].m_timer;
      m_scheduler.At(timer->m_at, [this, balancer, number] {
        if (m_balancers[balancer].m_timer == number) Handle(balancer, TimerExpired{});
      });
    }
  }
}

inline void RequestSim::StartRequest() {
  CallerRequest event;
  const std::uint64_t caller = ++m_next_caller;
  event.m_caller.m_address = IpAddress::FromV4(static_cast<std::uint32_t>(caller));
  event.m_service = ServiceId{1};
  event.m_request.m_headers.push_back({"Request-Timeout", m_settings.m_request_timeout});
  m_deadlines[caller] = m_scheduler.Now() + milliseconds(std::stoi(m_settings.m_request_timeout));
  ++m_result.m_offered;
  Handle(static_cast<std::uint32_t>(m_random.Below(m_settings.m_balancers)), std::move(event));
  const double capacity =
      m_settings.m_targets * m_settings.m_slots / std::chrono::duration<double>(m_settings.m_service_time).count();
  const auto gap =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (capacity * m_settings.m_load)));
  m_scheduler.After(Exponential(gap), [this] { StartRequest(); });
}

inline void RequestSim::OnAnswer(const SendAnswer& answer) {
  const std::string outcome(FindHeader(answer.m_response.m_headers, "Fighatch-Outcome").value_or(""));
  const auto deadline = m_deadlines.find(answer.m_caller.m_address.ToV4());
  if (outcome == "not-run") ++m_result.m_not_run;
  if (outcome == "unknown") ++m_result.m_unknown;
  if (outcome == "answered" && m_scheduler.Now() <= deadline->second) ++m_result.m_answered_in_time;
  m_deadlines.erase(deadline);
}

inline void RequestSim::AccumulateLoad(Target& target) const {
  const double in_progress = static_cast<double>(target.m_running.size() + target.m_waiting.size());
  const double area = in_progress * std::chrono::duration<double>(m_scheduler.Now() - target.m_changed).count();
  target.m_window += area;
  target.m_total += area;
  target.m_changed = m_scheduler.Now();
}

inline void RequestSim::OnDispatch(std::uint32_t balancer, const DispatchToTarget& action) {
  if (m_random.NextDouble() < m_settings.m_silent_share) return;
  if (m_random.NextDouble() < m_settings.m_shed_share) {
    const ExchangeId exchange = action.m_exchange;
    m_scheduler.After(milliseconds(1), [this, balancer, exchange] {
      Handle(balancer, TargetResponded{exchange, {503, {{"Fighatch-Not-Run", "1"}}, ""}});
    });
    return;
  }
  const auto target = static_cast<std::uint32_t>(action.m_target.m_value - 1);
  AccumulateLoad(m_targets[target]);
  m_targets[target].m_waiting.push_back({balancer, action.m_exchange});
  StartNext(target);
}

inline void RequestSim::StartNext(std::uint32_t target) {
  Target& state = m_targets[target];
  if (state.m_running.size() >= m_settings.m_slots || state.m_waiting.empty()) return;
  const Work work = state.m_waiting.front();
  state.m_waiting.pop_front();
  state.m_running.push_back(work);
  m_scheduler.After(ServiceTime(), [this, target, work] { End(target, work); });
}

inline void RequestSim::End(std::uint32_t target, Work work) {
  Target& state = m_targets[target];
  AccumulateLoad(state);
  const auto is_work = [&work](const Work& other) {
    return other.m_balancer == work.m_balancer && other.m_exchange == work.m_exchange;
  };
  if (std::erase_if(state.m_running, is_work) == 0) return;
  StartNext(target);
  Handle(work.m_balancer, TargetResponded{work.m_exchange, {}});
}

inline void RequestSim::OnCancel(std::uint32_t balancer, ExchangeId exchange) {
  const auto is_work = [&](const Work& work) { return work.m_balancer == balancer && work.m_exchange == exchange; };
  for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
    AccumulateLoad(m_targets[target]);
    std::erase_if(m_targets[target].m_waiting, is_work);
    if (std::erase_if(m_targets[target].m_running, is_work) > 0) StartNext(target);
  }
}

inline void RequestSim::CloseWindow() {
  double sum = 0;
  double greatest = 0;
  for (Target& target : m_targets) {
    AccumulateLoad(target);
    sum += target.m_window;
    greatest = std::max(greatest, target.m_window);
    target.m_window = 0;
  }
  if (sum > 0) m_windows.push_back(greatest * static_cast<double>(m_targets.size()) / sum);
  m_scheduler.After(seconds(1), [this] { CloseWindow(); });
}

inline void RequestSim::ReportLoads() {
  for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
    double load = static_cast<double>(m_targets[target].m_running.size() + m_targets[target].m_waiting.size());
    if (m_settings.m_false_reports && target < 2) load = target == 0 ? 0 : 100;
    m_scheduler.After(m_settings.m_report_lag, [this, target, load] {
      for (Balancer& balancer : m_balancers) {
        (void)balancer.m_engine->Handle(m_scheduler.Now(), LoadReported{TargetId{target + 1}, load});
      }
    });
  }
  m_scheduler.After(milliseconds(500), [this] { ReportLoads(); });
}

inline SimResult RequestSim::Run() {
  m_scheduler.After(Duration{}, [this] { StartRequest(); });
  m_scheduler.After(Duration{}, [this] { ReportLoads(); });
  m_scheduler.After(seconds(1), [this] { CloseWindow(); });
  m_scheduler.RunUntil(TimePoint(m_settings.m_length));
  double sum = 0;
  double greatest = 0;
  for (const Target& target : m_targets) {
    sum += target.m_total;
    greatest = std::max(greatest, target.m_total);
  }
  m_result.m_whole_run_imbalance = greatest * static_cast<double>(m_targets.size()) / sum;
  for (const double window : m_windows) m_result.m_imbalance += window / static_cast<double>(m_windows.size());
  for (const Balancer& balancer : m_balancers) {
    m_result.m_requests += balancer.m_engine->Statistics().m_requests;
    m_result.m_retries += balancer.m_engine->Statistics().m_retries;
  }
  const double capacity =
      m_settings.m_targets * m_settings.m_slots / std::chrono::duration<double>(m_settings.m_service_time).count();
  m_result.m_goodput = static_cast<double>(m_result.m_answered_in_time) /
                       (capacity * std::chrono::duration<double>(m_settings.m_length).count());
  return m_result;
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_REQUEST_SIM_H_
