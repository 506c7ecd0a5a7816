#include <algorithm>

#include "request/answer.h"
#include "request/engine_state.h"
#include "request/limits.h"

namespace fighatch {
namespace {

/// A target counts as unresponsive after four times its service's mean service time, but not before 200 ms.
constexpr Duration kShortestAttemptTimeout = std::chrono::milliseconds(200);
constexpr int kAttemptTimeoutFactor = 4;

}  // namespace

void RequestEngineState::DispatchQueued(ServiceState& service) {
  while (!service.m_queue.empty()) {
    Call& call = *FindCall(service.m_queue.begin()->second);
    if (!HasTimeToRun(service, call)) {
      Finish(call, MakeErrorAnswer(ErrorCode::kRequestDeadlineExpired));
      continue;
    }
    const std::vector<TargetCandidate>& candidates = service.Candidates(call.m_tried, *m_allowance, m_now);
    const std::optional<TargetId> target = m_picker.Pick(candidates, m_health, m_now, m_random);
    if (!target || !m_allowance->Take(*target, m_now)) break;
    service.m_queue.erase(service.m_queue.begin());
    Dispatch(service, call, *target);
  }
  m_allowance->ReportDemand(service.m_service.m_id, static_cast<std::uint32_t>(service.m_queue.size()), m_now);
}

void RequestEngineState::DispatchQueuedOf(ServiceId service) {
  if (ServiceState* found = FindService(service)) DispatchQueued(*found);
}

bool RequestEngineState::HasTimeToRun(const ServiceState& service, const Call& call) const {
  const Duration time_left = call.m_deadline - m_now;
  if (time_left <= Duration{}) return false;
  return !m_settings.m_limit_admission || time_left >= service.m_admission.MinTimeToRun();
}

void RequestEngineState::Dispatch(ServiceState& service, Call& call, TargetId target) {
  call.m_phase = CallPhase::kAtTarget;
  call.m_target = target;
  call.m_exchange = ExchangeId{m_next_exchange++};
  call.m_dispatched = m_now;
  ++m_statistics.m_dispatches;
  if (!call.m_tried.empty()) ++m_statistics.m_retries;
  call.m_tried.push_back(target);
  m_by_exchange[call.m_exchange] = call.m_id;
  service.OnDispatched(target);
  if (call.m_request_id) m_journal.Find(*call.m_request_id)->m_state = JournalState::kDispatched;
  const TimePoint attempt_end = m_now + AttemptTimeout(service);
  SetCallTimeout(call, call.m_request_id ? call.m_deadline : std::min(call.m_deadline, attempt_end));
  m_actions.push_back(DispatchToTarget{call.m_exchange, target, service.FindTarget(target)->m_http_endpoint,
                                       BuildTargetRequest(call.m_request, call.m_deadline - m_now), call.m_deadline});
}

void RequestEngineState::EndExchange(Call& call, ExchangeResult result) {
  const Duration duration = m_now - call.m_dispatched;
  m_by_exchange.erase(call.m_exchange);
  m_allowance->Return(call.m_target, m_now);
  m_actions.push_back(ReportExchange{call.m_target, result, duration});
  ServiceState& service = *FindService(call.m_service);
  service.OnExchangeEnded(call.m_target);
  const bool waited_long_enough = duration >= AttemptTimeout(service);
  // Timeouts are not samples: they would raise the mean and so delay the detection of the next unresponsive target.
  if (result == ExchangeResult::kAnswered) service.m_admission.OnServiceTime(duration);
  // A request with a short timeout must not make a healthy target look unresponsive.
  const bool failed = result == ExchangeResult::kRefused || result == ExchangeResult::kLost ||
                      (result == ExchangeResult::kTimedOut && waited_long_enough);
  if (failed) m_health.OnFailure(call.m_target, m_now);
}

Duration RequestEngineState::AttemptTimeout(const ServiceState& service) const {
  const Duration mean = service.m_admission.MeanServiceTime();
  // On a slow service most deadlines pass before four times the mean, so the attempt timeout is limited to twice the
  // mean or the default request timeout, whichever is longer.
  const Duration longest = std::max(kDefaultRequestTimeout, mean * 2);
  return std::clamp(mean * kAttemptTimeoutFactor, kShortestAttemptTimeout, longest);
}

bool RequestEngineState::TakeRetryToken(ServiceState& service) {
  return !m_settings.m_limit_retries || service.m_budget.Take();
}

void RequestEngineState::RetryOrFinish(Call& call, const RequestAnswer& answer) {
  ServiceState& service = *FindService(call.m_service);
  if (!HasTimeToRun(service, call) || !service.HasTargets() || !TakeRetryToken(service)) {
    Finish(call, answer);
    return DispatchQueued(service);
  }
  Requeue(call);
}

void RequestEngineState::OnAttemptTimeout(Call& call) {
  ServiceState& service = *FindService(call.m_service);
  const std::vector<TargetCandidate>& others = service.Candidates(call.m_tried, *m_allowance, m_now);
  const bool has_other = std::any_of(others.begin(), others.end(), [&call](const TargetCandidate& candidate) {
    return std::find(call.m_tried.begin(), call.m_tried.end(), candidate.m_target) == call.m_tried.end();
  });
  if (!has_other || !HasTimeToRun(service, call) || !TakeRetryToken(service))
    return SetCallTimeout(call, call.m_deadline);
  m_actions.push_back(CancelAtTarget{call.m_exchange});
  EndExchange(call, ExchangeResult::kTimedOut);
  call.m_may_have_run = true;
  Requeue(call);
}

void RequestEngineState::On(TargetResponded event) {
  const auto found = m_by_exchange.find(event.m_exchange);
  if (found == m_by_exchange.end()) {
    ++m_statistics.m_late_events;
    return;
  }
  Call& call = *FindCall(found->second);
  ServiceState& service = *FindService(call.m_service);
  if (IsForAnotherRequest(event.m_response, call.m_request)) {
    ++m_statistics.m_mismatched_responses;
    m_actions.push_back(CancelAtTarget{call.m_exchange});
    return On(TargetFailed{event.m_exchange, TargetFailure::kLost});
  }
  m_health.OnResponse(call.m_target);
  if (ProvesNotRun(event.m_response, service.m_service.m_shed_means_not_run)) {
    EndExchange(call, ExchangeResult::kShed);
    return RetryOrFinish(call, MakeErrorAnswer(ErrorCode::kRequestShed));
  }
  EndExchange(call, ExchangeResult::kAnswered);
  Finish(call, RelayAnswer(std::move(event.m_response)));
  DispatchQueued(service);
}

void RequestEngineState::On(const TargetFailed& event) {
  const auto found = m_by_exchange.find(event.m_exchange);
  if (found == m_by_exchange.end()) {
    ++m_statistics.m_late_events;
    return;
  }
  Call& call = *FindCall(found->second);
  ServiceState& service = *FindService(call.m_service);
  if (event.m_failure == TargetFailure::kRefused) {
    EndExchange(call, ExchangeResult::kRefused);
    return RetryOrFinish(call, MakeErrorAnswer(ErrorCode::kRequestNoTarget));
  }
  if (event.m_failure == TargetFailure::kResponseTooLarge) {
    EndExchange(call, ExchangeResult::kAnswered);
    Finish(call, MakeErrorAnswer(ErrorCode::kRequestAnswerTooLarge));
    return DispatchQueued(service);
  }
  EndExchange(call, ExchangeResult::kLost);
  call.m_may_have_run = true;
  if (!call.m_request_id) return RetryOrFinish(call, MakeUnknownAnswer());
  Finish(call, MakeUnknownAnswer());
  DispatchQueued(service);
}

}  // namespace fighatch
