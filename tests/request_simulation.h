#ifndef FIGHATCH_REQUEST_SIMULATION_H_
#define FIGHATCH_REQUEST_SIMULATION_H_

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>

#include "request_oracle.h"

namespace fighatch::testing {

/// Behaviour of a fake target.
enum class TargetMode : std::uint8_t {
  kHealthy,
  kSheds,
  kSlow,
  kSilent,
  kRefuses,
  kCloses,
  kDuplicates,
  kAnswersWrongRequest,
  kLarge,
  kMixed,
  kCount
};

/// Simulation of several balancers with fake targets, callers and network in virtual time, with injected faults. Each
/// balancer has its own clock offset. `m_oracle` collects the violations.
class RequestSimulation {
 public:
  static constexpr std::uint32_t kHosts = 4;
  static constexpr std::uint64_t kTargets = 3;

  explicit RequestSimulation(std::uint64_t seed) : m_random(seed) {
    for (std::uint32_t host = 1; host <= kHosts; ++host) Start(host);
  }

  void Advance(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().m_at <= end) {
      const Item item = m_queue.top();
      m_queue.pop();
      m_now = std::max(m_now, item.m_at);
      item.m_run();
    }
    m_now = end;
  }

  // Callers.

  void StartRequest(bool idempotent) {
    const std::uint64_t number = m_requests.size();
    CallerState& caller = m_requests.emplace_back();
    caller.m_content = "content " + std::to_string(number) + std::string(m_random.Below(60), 'c');
    caller.m_idempotent = idempotent;
    caller.m_remaining_sends = idempotent ? 1 : 1 + static_cast<int>(m_random.Below(8));
    if (!idempotent && !m_unused_ids.empty() && m_random.Below(2) == 0) {
      caller.m_id = m_unused_ids.back();
      m_unused_ids.pop_back();
    }
    Send(number);
  }

  void CancelRequest(std::uint64_t choice) {
    if (m_requests.empty()) return;
    const std::uint64_t number = m_requests.size() - 1 - choice % std::min<std::size_t>(m_requests.size(), 5);
    if (m_requests[number].m_id.empty()) return;
    CallerRequest event = MakeRequest("DELETE", "/.well-known/fighatch/request/" + m_requests[number].m_id);
    SendToRandomHost(AddCallerFields(std::move(event), number), true);
  }

  // Faults.

  void Kill(std::uint32_t host) {
    if (!m_hosts[host].m_engine) return;
    End(host);
    for (std::uint32_t other = 1; other <= kHosts; ++other) {
      if (m_random.Below(4) != 0) After(Delay(3000), [=, this] { NotifyDeath(other, host); });
    }
  }
  void Restart(std::uint32_t host) {
    if (!m_hosts[host].m_engine) Start(host);
  }
  void Stop(std::uint32_t host, std::uint32_t successor) {
    if (!m_hosts[host].m_engine || host == successor) return;
    m_hosts[host].m_stopping = true;
    Handle(host, StopRequested{HostId{successor}});
  }
  void Partition(std::uint32_t left, std::uint32_t right) { m_partitions.insert(std::minmax(left, right)); }
  void Heal() { m_partitions.clear(); }
  void NotifyDeath(std::uint32_t host, std::uint32_t dead) {
    if (host != dead) Handle(host, MemberDied{HostId{dead}, m_hosts[dead].m_incarnation});
  }
  void SetMode(std::uint64_t target, TargetMode mode) { m_modes[target % kTargets + 1] = mode; }
  void SetTokens(std::uint32_t host, std::uint32_t tokens) {
    if (!m_hosts[host].m_engine) return;
    for (auto& [target, limit] : m_hosts[host].m_allowance->m_limits) limit = tokens;
    Handle(host, AllowanceChanged{});
  }

  /// Ends all faults and runs until every deadline has passed and every id and journal entry must have expired.
  void Settle() {
    m_callers_stopped = true;
    Heal();
    for (std::uint64_t target = 0; target < kTargets; ++target) SetMode(target, TargetMode::kHealthy);
    for (std::uint32_t host = 1; host <= kHosts; ++host) Restart(host);
    Advance(seconds(150));
    for (std::uint32_t host = 1; host <= kHosts; ++host) {
      if (m_hosts[host].m_engine) m_oracle.CheckQuiescent(*m_hosts[host].m_engine, *m_hosts[host].m_allowance);
      End(host);
    }
  }

  RequestOracle m_oracle;
  Random m_random;

 private:
  struct Item {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Item& other) const { return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order); }
  };
  struct HostState {
    Incarnation m_incarnation;
    Duration m_clock{};
    bool m_stopping = false;
    std::unique_ptr<FakeAllowance> m_allowance;
    std::unique_ptr<RequestEngine> m_engine;
    std::uint64_t m_timer = 0;
    std::set<ExchangeId> m_cancelled;
  };
  struct CallerState {
    std::string m_content;
    std::string m_id;
    bool m_idempotent = false;
    int m_remaining_sends = 0;
  };

  void After(Duration delay, std::function<void()> run) { m_queue.push({m_now + delay, m_order++, std::move(run)}); }
  Duration Delay(std::uint64_t most_ms) { return std::chrono::microseconds(100 + m_random.Below(most_ms * 1000)); }
  /// Mostly short, sometimes long enough for a message to be overtaken by others or to arrive after a timeout.
  Duration NetworkDelay() { return m_random.Below(20) == 0 ? Delay(4000) : Delay(3); }

  void Start(std::uint32_t host) {
    HostState& state = m_hosts[host];
    ++state.m_incarnation.m_value;
    state.m_clock = milliseconds(m_random.Below(1'000'000'000));
    state.m_stopping = false;
    state.m_cancelled.clear();
    state.m_allowance = std::make_unique<FakeAllowance>();
    state.m_engine = std::make_unique<RequestEngine>(MakeSettings(host, state.m_incarnation.m_value),
                                                     state.m_allowance.get(), MakeLeastInProgress(), &m_random);
    std::vector<TargetInfo> targets;
    for (std::uint64_t target = 1; target <= kTargets; ++target) {
      targets.push_back(MakeTarget(target));
      state.m_allowance->m_limits[TargetId{target}] = 2;
    }
    Handle(host, ServiceChanged{MakeService()});
    Handle(host, TargetsChanged{kService, targets});
    for (std::uint32_t other = 1; other <= kHosts; ++other) {
      const Incarnation incarnation = state.m_incarnation;
      if (other == host) continue;
      After(Delay(1000), [=, this] { Handle(other, MemberAlive{HostId{host}, incarnation}); });
    }
  }

  void End(std::uint32_t host) {
    HostState& state = m_hosts[host];
    if (!state.m_engine) return;
    m_oracle.OnEngineEnd(state.m_engine->Statistics());
    state.m_engine.reset();
  }

  void Handle(std::uint32_t host, RequestEvent event) {
    HostState& state = m_hosts[host];
    if (!state.m_engine) return;
    for (RequestAction& action : state.m_engine->Handle(m_now + state.m_clock, std::move(event))) {
      std::visit([&](auto& alternative) { ExecuteAction(host, alternative); }, action);
    }
    if (state.m_stopping && state.m_engine->IsDrained()) End(host);
  }

  /// Delivers an event later, unless the host has been restarted by then.
  void HandleLater(Duration delay, std::uint32_t host, RequestEvent event) {
    After(delay, [this, host, incarnation = m_hosts[host].m_incarnation, event = std::move(event)] {
      if (m_hosts[host].m_incarnation == incarnation) Handle(host, event);
    });
  }

  // Network.

  bool IsPartitioned(std::uint32_t left, std::uint32_t right) const {
    return m_partitions.contains(std::minmax(left, right));
  }

  void SendToRandomHost(CallerRequest event, bool may_duplicate) {
    const int copies = may_duplicate && m_random.Below(10) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (m_random.Below(10) == 0) continue;
      const std::uint32_t host = 1 + static_cast<std::uint32_t>(m_random.Below(kHosts));
      After(NetworkDelay(), [=, this] { Handle(host, event); });
    }
  }

  void SendBetweenHosts(std::uint32_t from, std::uint32_t host, RequestEvent event) {
    if (IsPartitioned(from, host)) return;
    // In production the replay window of sealed messages drops copies. Here only messages that may also be resent are
    // duplicated.
    const auto* forwarded = std::get_if<ForwardedRequest>(&event);
    const bool may_copy = forwarded == nullptr || forwarded->m_request.m_method != "GET";
    if (may_copy && m_random.Below(20) == 0) HandleLater(NetworkDelay(), host, event);
    HandleLater(NetworkDelay(), host, std::move(event));
  }

  void ExecuteAction(std::uint32_t host, SendAnswer& action) {
    if (m_random.Below(10) == 0) return;
    const int copies = m_random.Below(10) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) After(NetworkDelay(), [=, this] { OnAnswer(action); });
    (void)host;
  }
  void ExecuteAction(std::uint32_t host, SendForward& action) {
    const std::uint32_t to = action.m_host.m_value;
    const bool fails = !m_hosts[to].m_engine || (IsPartitioned(host, to) && m_random.Below(2) == 0);
    if (fails) return HandleLater(NetworkDelay(), host, ForwardFailed{action.m_message.m_forward_id});
    SendBetweenHosts(host, to, std::move(action.m_message));
  }
  void ExecuteAction(std::uint32_t host, SendForwardedAnswer& action) {
    SendBetweenHosts(host, action.m_host.m_value, std::move(action.m_message));
  }
  void ExecuteAction(std::uint32_t host, SendHandover& action) {
    SendBetweenHosts(host, action.m_host.m_value, std::move(action.m_message));
  }
  void ExecuteAction(std::uint32_t host, SendHandoverAck& action) {
    SendBetweenHosts(host, action.m_host.m_value, std::move(action.m_message));
  }
  void ExecuteAction(std::uint32_t host, AnnounceSuccessor& action) {
    for (std::uint32_t other = 1; other <= kHosts; ++other) {
      if (other != host && m_random.Below(5) != 0) SendBetweenHosts(host, other, action.m_notice);
    }
  }
  void ExecuteAction(std::uint32_t /*host*/, ReportExchange& /*action*/) {}
  void ExecuteAction(std::uint32_t host, SetTimer& action) {
    const std::uint64_t timer = ++m_hosts[host].m_timer;
    After(std::max(Duration{}, action.m_at - m_hosts[host].m_clock - m_now),
          [this, host, timer, incarnation = m_hosts[host].m_incarnation] {
            const HostState& state = m_hosts[host];
            if (state.m_timer == timer && state.m_incarnation == incarnation) Handle(host, TimerExpired{});
          });
  }

  // Targets.

  void ExecuteAction(std::uint32_t host, CancelAtTarget& action) {
    m_hosts[host].m_cancelled.insert(action.m_exchange);
  }

  void ExecuteAction(std::uint32_t host, DispatchToTarget& action) {
    TargetMode mode = m_modes[action.m_target.m_value];
    if (mode == TargetMode::kMixed) mode = static_cast<TargetMode>(m_random.Below(9));
    if (mode == TargetMode::kRefuses) {
      return HandleLater(Delay(3), host, TargetFailed{action.m_exchange, TargetFailure::kRefused});
    }
    // A slow target may start after its balancer has timed out, and a cancellation may not reach it in time.
    const Duration start = mode == TargetMode::kSlow ? Delay(5000) : Delay(2);
    const Incarnation incarnation = m_hosts[host].m_incarnation;
    After(start, [=, this] {
      const bool cancelled = m_hosts[host].m_incarnation == incarnation && m_random.Below(2) == 0 &&
                             m_hosts[host].m_cancelled.contains(action.m_exchange);
      if (!cancelled) Run(host, incarnation, action, mode);
    });
  }

  void Run(std::uint32_t host, Incarnation incarnation, const DispatchToTarget& action, TargetMode mode) {
    const auto reply = [&](Duration delay, RequestEvent event) {
      After(delay, [this, host, incarnation, event = std::move(event)] {
        if (m_hosts[host].m_incarnation == incarnation) Handle(host, event);
      });
    };
    const Duration service_time = mode == TargetMode::kSlow ? Delay(5000) : Delay(40);
    if (mode == TargetMode::kSheds) {
      return reply(service_time, TargetResponded{action.m_exchange, MakeResponse(503, "", {{"Retry-After", "1"}})});
    }
    if (mode == TargetMode::kCloses && m_random.Below(2) == 0) {
      return reply(service_time, TargetFailed{action.m_exchange, TargetFailure::kLost});
    }
    const auto id = FindHeader(action.m_request.m_headers, "Idempotency-Key");
    const std::string number(FindHeader(action.m_request.m_headers, "X-Request-Id").value_or(""));
    m_oracle.OnRecord(std::string(id.value_or(number)), id.has_value());
    if (mode == TargetMode::kSilent) return;
    if (mode == TargetMode::kCloses) {
      return reply(service_time, TargetFailed{action.m_exchange, TargetFailure::kLost});
    }
    HttpResponse response =
        MakeResponse(200, RequestOracle::ExpectedBody(action.m_request.m_body), {{"X-Request-Id", number}});
    if (mode == TargetMode::kLarge) response.m_body.resize(20'000, 'x');
    std::swap(m_last_response, response);
    // A target in mode `kAnswersWrongRequest` sends the response to the previous request. Without a previous response,
    // or with one that names no request, it sends nothing.
    const bool answers_wrong_request = mode == TargetMode::kAnswersWrongRequest;
    const HttpResponse sent = answers_wrong_request ? response : m_last_response;
    if (answers_wrong_request && HeaderValue(sent, "X-Request-Id").empty()) return;
    reply(service_time, TargetResponded{action.m_exchange, sent});
    if (mode == TargetMode::kDuplicates) reply(Delay(100), TargetResponded{action.m_exchange, sent});
  }

  // Callers.

  CallerRequest AddCallerFields(CallerRequest event, std::uint64_t number) {
    event.m_caller.m_address = IpAddress::FromV4(0x0A000000U + static_cast<std::uint32_t>(number));
    event.m_request.m_headers.push_back({"X-Request-Id", std::to_string(number)});
    return event;
  }

  void Send(std::uint64_t number) {
    CallerState& caller = m_requests[number];
    if (m_callers_stopped || caller.m_remaining_sends-- <= 0) return;
    CallerRequest event = MakeRequest(caller.m_idempotent ? "GET" : "POST", "/weigh", caller.m_id, caller.m_content);
    event.m_request.m_headers.push_back({"Request-Timeout", std::to_string(100 + m_random.Below(3000))});
    SendToRandomHost(AddCallerFields(std::move(event), number), !caller.m_idempotent);
    // A few resends come after the validity of the id, or after its journal entry has expired.
    After(m_random.Below(12) == 0 ? Delay(70'000) : Delay(600), [=, this] { Send(number); });
  }

  void OnAnswer(const SendAnswer& action) {
    const std::uint64_t number = action.m_caller.m_address.ToV4() - 0x0A000000U;
    CallerState& caller = m_requests[number];
    if (HeaderValue(action.m_response, "X-Request-Id") != std::to_string(number)) {
      return m_oracle.OnAnswer("caller " + std::to_string(number), "answer of another caller", action.m_response);
    }
    const std::string next_id = HeaderValue(action.m_response, "Idempotency-Key");
    if (HeaderValue(action.m_response, "Fighatch-Code") == "5004") {
      if (caller.m_id.empty()) caller.m_id = next_id;
      return;
    }
    // A duplicated answer must not make two requests share one id.
    if (!next_id.empty() && m_seen_ids.insert(next_id).second) m_unused_ids.push_back(next_id);
    const std::string key = caller.m_idempotent ? std::to_string(number) : caller.m_id;
    const bool is_cancel_answer = action.m_response.m_status == 200 && action.m_response.m_body.empty();
    if (is_cancel_answer && HeaderValue(action.m_response, "Fighatch-Outcome") == "answered") return;
    // An answer to a datagram without id applies to that datagram only.
    if (!key.empty()) m_oracle.OnAnswer(key, caller.m_content, action.m_response);
  }

  bool m_callers_stopped = false;
  TimePoint m_now{seconds(1000)};
  std::uint64_t m_order = 0;
  std::priority_queue<Item> m_queue;
  std::map<std::uint32_t, HostState> m_hosts;
  std::map<std::uint64_t, TargetMode> m_modes;
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_partitions;
  std::vector<CallerState> m_requests;
  std::vector<std::string> m_unused_ids;
  std::set<std::string> m_seen_ids;
  HttpResponse m_last_response;
};

}  // namespace fighatch::testing

#endif  // FIGHATCH_REQUEST_SIMULATION_H_
