#include <algorithm>

#include "request/engine_state.h"

namespace fighatch {
namespace {

/// The answer to a cancellation: its outcome is that of the request which it names.
RequestAnswer AckOf(Outcome outcome, ErrorCode code) {
  RequestAnswer answer;
  answer.m_outcome = outcome;
  answer.m_code = code;
  return answer;
}

}  // namespace

void RequestEngineState::Cancel(Arrival arrival, std::string_view text) {
  const Result<RequestId> id = m_codec.Parse(text);
  if (!IsOk(id)) return CancelByCorrelation(arrival, text);
  const DutyRoute route = m_duties.Find(ValueOf(id));
  if (route.m_kind == DutyRoute::Kind::kLocal) return CancelLocal(std::move(arrival), ValueOf(id));
  if (route.m_kind == DutyRoute::Kind::kNobody) return Reply(arrival.m_waiter, MakeUnknown());
  ForwardTo(route.m_host, std::move(arrival));
}

void RequestEngineState::CancelLocal(Arrival arrival, const RequestId& id) {
  const Waiter waiter = arrival.m_waiter;
  JournalEntry* entry = m_journal.Find(id);
  if (entry == nullptr) {
    const IssuerKey issuer(id.m_issuer, id.m_incarnation);
    const TimePoint clock = m_duties.IssuerClock(issuer, m_now);
    if (m_outbox.HandedOver(issuer)) {
      if (!PassToSuccessor(arrival)) Reply(waiter, MakeUnknown());
      return;
    }
    if (clock < ValidUntil(id)) entry = m_journal.Insert(id, 0, m_now + (ValidUntil(id) - clock) + kJournalRetention);
    if (entry == nullptr) return Reply(waiter, MakeUnknown());
    // The request may still be on its way; the entry keeps it from being dispatched when it arrives.
    FinishEntry(id, entry, MakeRefusal(ErrorCode::kRequestCancelled));
  } else if (Call* call = FindLocalCall(id); call != nullptr && !IsFinal(entry->m_state)) {
    (void)CancelCall(*call);
  }
  if (!IsFinal(entry->m_state)) return Reply(waiter, MakeUnknown());
  const RequestAnswer known = AnswerOf(*entry);
  Reply(waiter, AckOf(known.m_outcome, known.m_code));
}

void RequestEngineState::CancelByCorrelation(const Arrival& arrival, std::string_view text) {
  const auto* canceller = std::get_if<CallerWaiter>(&arrival.m_waiter);
  const auto is_named = [&](const auto& item) {
    return std::any_of(item.second.m_waiters.begin(), item.second.m_waiters.end(), [&](const Waiter& waiter) {
      const auto* caller = std::get_if<CallerWaiter>(&waiter);
      return caller != nullptr && caller->m_caller == canceller->m_caller && caller->m_correlation == text;
    });
  };
  const auto found =
      canceller == nullptr || text.empty() ? m_calls.end() : std::find_if(m_calls.begin(), m_calls.end(), is_named);
  if (found == m_calls.end()) return Reply(arrival.m_waiter, MakeUnknown());
  const RequestAnswer answer = CancelCall(found->second);
  Reply(arrival.m_waiter, AckOf(answer.m_outcome, answer.m_code));
}

RequestAnswer RequestEngineState::CancelCall(Call& call) {
  RequestAnswer answer = MakeUnknown(ErrorCode::kRequestCancelled);
  if (call.m_phase == CallPhase::kQueued && !call.m_may_have_run) answer = MakeRefusal(ErrorCode::kRequestCancelled);
  if (call.m_phase == CallPhase::kAtTarget) {
    m_actions.push_back(CancelAtTarget{call.m_exchange});
    EndExchange(call, ExchangeResult::kCancelled);
  }
  const ServiceId service = call.m_service;
  Finish(call, answer);
  PumpService(service);
  return answer;
}

}  // namespace fighatch
