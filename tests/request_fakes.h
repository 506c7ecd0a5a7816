#ifndef FIGHATCH_REQUEST_FAKES_H_
#define FIGHATCH_REQUEST_FAKES_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fighatch/request_engine.h"

namespace fighatch::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr ServiceId kService{1};

/// Token allowance whose limit for each target is set by the test.
class FakeAllowance : public TargetAllowance {
 public:
  std::uint32_t Available(TargetId target, TimePoint /*now*/) const override {
    const auto limit = m_limits.find(target);
    if (limit == m_limits.end()) return 0;
    const auto used = m_used.find(target);
    const std::uint32_t in_use = used == m_used.end() ? 0 : used->second;
    return limit->second > in_use ? limit->second - in_use : 0;
  }
  bool Take(TargetId target, TimePoint now) override {
    if (Available(target, now) == 0) return false;
    ++m_used[target];
    return true;
  }
  void Return(TargetId target, TimePoint /*now*/) override { --m_used.at(target); }
  void ReportDemand(ServiceId /*service*/, std::uint32_t waiting, TimePoint /*now*/) override { m_demand = waiting; }

  [[nodiscard]] std::uint32_t InUse() const {
    std::uint32_t total = 0;
    for (const auto& [target, used] : m_used) total += used;
    return total;
  }

  std::map<TargetId, std::uint32_t> m_limits;
  std::map<TargetId, std::uint32_t> m_used;
  std::uint32_t m_demand = 0;
};

inline Service MakeService() {
  Service service;
  service.m_name = "crate-desk";
  service.m_id = kService;
  service.m_mode = ServiceMode::kRequest;
  service.m_idempotent_paths = {"/lookup"};
  return service;
}

inline TargetInfo MakeTarget(std::uint64_t id) {
  TargetInfo target;
  target.m_id = TargetId{id};
  target.m_service = kService;
  target.m_state = TargetState::kServing;
  target.m_slots = 2;
  target.m_http_endpoint.m_port = static_cast<std::uint16_t>(8000 + id);
  return target;
}

inline RequestEngineSettings MakeSettings(std::uint32_t host, std::uint64_t incarnation = 1) {
  RequestEngineSettings settings;
  settings.m_host = HostId{host};
  settings.m_incarnation = Incarnation{incarnation};
  settings.m_key.fill(9);
  // Small, so that a handover has several parts.
  settings.m_handover_part_bytes = 512;
  return settings;
}

inline CallerRequest MakeRequest(std::string method, std::string path, std::string id = {}, std::string body = {}) {
  CallerRequest event;
  event.m_caller.m_port = 4000;
  event.m_service = kService;
  event.m_request.m_method = std::move(method);
  event.m_request.m_path = std::move(path);
  event.m_request.m_body = std::move(body);
  if (!id.empty()) event.m_request.m_headers.push_back({"Idempotency-Key", std::move(id)});
  return event;
}

inline std::string HeaderValue(const HttpResponse& response, std::string_view name) {
  return std::string(FindHeader(response.m_headers, name).value_or(""));
}

/// "outcome code", for example "not-run 5001".
inline std::string OutcomeAndCode(const HttpResponse& response) {
  return HeaderValue(response, "Fighatch-Outcome") + " " + HeaderValue(response, "Fighatch-Code");
}

/// All actions of this type.
template <typename Action>
std::vector<Action> All(const RequestActions& actions) {
  std::vector<Action> found;
  for (const RequestAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
  }
  return found;
}

/// The only action of this type; throws if there is none or more than one.
template <typename Action>
Action Only(const RequestActions& actions) {
  const std::vector<Action> found = All<Action>(actions);
  if (found.size() != 1) throw std::runtime_error("expected one action, got " + std::to_string(found.size()));
  return found[0];
}

inline HttpResponse MakeResponse(int status, std::string body, HttpHeaders headers = {}) {
  return {status, std::move(headers), std::move(body)};
}

/// One engine for one service, with `targets` targets that have `tokens` tokens each.
struct EngineFixture {
  explicit EngineFixture(std::uint64_t targets = 2, std::uint32_t tokens = 2,
                         RequestEngineSettings settings = MakeSettings(1))
      : m_engine(settings, &m_allowance, MakeLeastInProgress(), &m_random) {
    std::vector<TargetInfo> infos;
    for (std::uint64_t id = 1; id <= targets; ++id) {
      infos.push_back(MakeTarget(id));
      m_allowance.m_limits[TargetId{id}] = tokens;
    }
    (void)Handle(ServiceChanged{MakeService()});
    (void)Handle(TargetsChanged{kService, infos});
  }

  RequestActions Handle(RequestEvent event) { return m_engine.Handle(m_now, std::move(event)); }

  /// Advances the time and fires the timer.
  RequestActions Advance(Duration duration) {
    m_now += duration;
    return Handle(TimerExpired{});
  }

  /// A new request id in text form, taken from the 428 answer to a request without id.
  std::string NewId() {
    return HeaderValue(Only<SendAnswer>(Handle(MakeRequest("POST", "/weigh"))).m_response, "Idempotency-Key");
  }

  /// Fills the retry budget by ten answered requests for each retry.
  void FillRetryBudget(int retries) {
    for (int count = 0; count < retries * 10; ++count) {
      const auto sent = Only<DispatchToTarget>(Handle(MakeRequest("GET", "/")));
      (void)Handle(TargetResponded{sent.m_exchange, MakeResponse(200, "")});
    }
  }

  FakeAllowance m_allowance;
  Random m_random{1};
  TimePoint m_now{seconds(100)};
  RequestEngine m_engine;
};

}  // namespace fighatch::testing

#endif  // FIGHATCH_REQUEST_FAKES_H_
