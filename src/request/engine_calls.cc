#include <algorithm>

#include "request/answer.h"
#include "request/engine_state.h"

namespace fighatch {
namespace {

/// Maximum number of recipients of one answer. A caller may resend from several addresses; resends from further
/// addresses get no answer of their own.
constexpr std::size_t kMaxWaiters = 8;

}  // namespace

Call& RequestEngineState::AddCall(IncomingRequest incoming, CallPhase phase) {
  Call& call = m_calls[m_next_call];
  call.m_id = m_next_call++;
  call.m_phase = phase;
  call.m_service = incoming.m_service;
  call.m_request = std::move(incoming.m_request);
  call.m_waiters.push_back(std::move(incoming.m_waiter));
  call.m_deadline = incoming.m_deadline;
  call.m_hops = incoming.m_hops;
  return call;
}

void RequestEngineState::AddCallWaiter(Call& call, Waiter waiter) {
  const bool waits = std::find(call.m_waiters.begin(), call.m_waiters.end(), waiter) != call.m_waiters.end();
  if (!waits && call.m_waiters.size() < kMaxWaiters) call.m_waiters.push_back(std::move(waiter));
}

void RequestEngineState::Enqueue(Call& call) {
  ServiceState& service = *FindService(call.m_service);
  ++m_statistics.m_requests;
  service.m_budget.OnRequest();
  if (!service.HasTargets()) return Finish(call, MakeErrorAnswer(ErrorCode::kRequestNoTarget));
  const Duration time_left = call.m_deadline - m_now;
  if (time_left <= Duration{}) return Finish(call, MakeErrorAnswer(ErrorCode::kRequestDeadlineExpired));
  const std::uint32_t tokens = service.TokensHeld(*m_allowance, m_now);
  if (m_settings.m_limit_admission && !service.m_admission.Admits(service.m_queue.size(), tokens, time_left)) {
    return Finish(call, MakeErrorAnswer(ErrorCode::kRequestOverloaded));
  }
  Requeue(call);
}

void RequestEngineState::Requeue(Call& call) {
  ServiceState& service = *FindService(call.m_service);
  call.m_phase = CallPhase::kQueued;
  service.m_queue.emplace(call.m_deadline, call.m_id);
  SetCallTimeout(call, call.m_deadline);
  DispatchQueued(service);
}

void RequestEngineState::SetCallTimeout(Call& call, TimePoint wake) {
  m_timeouts.erase({call.m_timeout_at, call.m_id});
  call.m_timeout_at = wake;
  m_timeouts.emplace(wake, call.m_id);
}

void RequestEngineState::Finish(Call& call, RequestAnswer answer) {
  if (call.m_may_have_run && answer.m_outcome == Outcome::kNotRun) answer = MakeUnknownAnswer(answer.m_code);
  m_timeouts.erase({call.m_timeout_at, call.m_id});
  if (call.m_phase == CallPhase::kQueued) {
    if (ServiceState* service = FindService(call.m_service)) service->m_queue.erase({call.m_deadline, call.m_id});
  }
  if (call.m_request_id) {
    m_by_request_id.erase(*call.m_request_id);
    JournalEntry* entry = m_journal.Find(*call.m_request_id);
    const bool decided_here = call.m_phase != CallPhase::kAwaitingHandover;
    if (entry != nullptr && decided_here) FinishEntry(*call.m_request_id, entry, answer);
  }
  const std::vector<Waiter> waiters = std::move(call.m_waiters);
  m_calls.erase(call.m_id);
  for (const Waiter& waiter : waiters) Reply(waiter, answer);
}

void RequestEngineState::FinishEntry(const RequestId& id, JournalEntry* entry, const RequestAnswer& answer) {
  if (IsFinal(entry->m_state)) return;
  m_journal.Finish(entry, answer);
  const IssuerIncarnation issuer(id.m_issuer, id.m_incarnation);
  if (!m_outbox.WasHandedOver(issuer)) return;
  m_outbox.AddUpdate(issuer, m_ownership.IssuerClock(issuer, m_now), RequestJournal::ToRecord(id, *entry, m_now));
}

void RequestEngineState::Reply(const Waiter& waiter, const RequestAnswer& answer) {
  if (const auto* peer = std::get_if<PeerWaiter>(&waiter)) {
    m_actions.push_back(
        SendForwardedAnswer{peer->m_host, {peer->m_host, peer->m_incarnation, peer->m_forward_id, answer}});
    return;
  }
  const auto& caller = std::get<CallerWaiter>(waiter);
  if (answer.m_outcome == Outcome::kAnswered) ++m_statistics.m_answered;
  if (answer.m_outcome == Outcome::kNotRun) ++m_statistics.m_not_run;
  if (answer.m_outcome == Outcome::kUnknown) ++m_statistics.m_unknown;
  const std::string next_id = IsStopping() ? std::string() : m_codec.Format(m_issuer.Issue(m_now));
  m_actions.push_back(
      SendAnswer{caller.m_caller, caller.m_service_address, BuildAnswer(answer, next_id, caller.m_correlation)});
}

void RequestEngineState::OnCallTimeout(Call& call) {
  if (m_now >= call.m_deadline) return OnDeadline(call);
  if (call.m_phase == CallPhase::kAtTarget) OnAttemptTimeout(call);
}

void RequestEngineState::OnDeadline(Call& call) {
  if (call.m_phase == CallPhase::kQueued) return Finish(call, MakeErrorAnswer(ErrorCode::kRequestDeadlineExpired));
  if (call.m_phase == CallPhase::kAtTarget) {
    m_actions.push_back(CancelAtTarget{call.m_exchange});
    EndExchange(call, ExchangeResult::kTimedOut);
  }
  const ServiceId service = call.m_service;
  Finish(call, MakeUnknownAnswer());
  DispatchQueuedOf(service);
}

Call* RequestEngineState::FindCall(std::uint64_t id) {
  const auto found = m_calls.find(id);
  return found == m_calls.end() ? nullptr : &found->second;
}

Call* RequestEngineState::FindLocalCall(const RequestId& id) {
  const auto found = m_by_request_id.find(id);
  return found == m_by_request_id.end() ? nullptr : FindCall(found->second);
}

}  // namespace fighatch
