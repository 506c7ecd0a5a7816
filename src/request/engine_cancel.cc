#include <algorithm>

#include "request/engine_state.h"

namespace fighatch {
namespace {

/// The answer to a cancellation, with the outcome and code of the request that was to be cancelled.
RequestAnswer CancellationAnswer(Outcome outcome, ErrorCode code) {
  RequestAnswer answer;
  answer.m_outcome = outcome;
  answer.m_code = code;
  return answer;
}

}  // namespace

void RequestEngineState::HandleCancellation(IncomingRequest incoming, std::string_view text) {
  const Result<RequestId> id = m_codec.Parse(text);
  if (!IsOk(id)) return CancelByCorrelation(incoming, text);
  const OwnerRoute route = m_ownership.Find(ValueOf(id));
  if (route.m_kind == OwnerRoute::Kind::kLocal) return CancelOwned(std::move(incoming), ValueOf(id));
  if (route.m_kind == OwnerRoute::Kind::kNobody) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  ForwardTo(route.m_host, std::move(incoming));
}

void RequestEngineState::CancelOwned(IncomingRequest incoming, const RequestId& id) {
  const Waiter waiter = incoming.m_waiter;
  JournalEntry* entry = m_journal.Find(id);
  if (entry == nullptr) {
    const IssuerIncarnation issuer(id.m_issuer, id.m_incarnation);
    const TimePoint clock = m_ownership.IssuerClock(issuer, m_now);
    if (m_outbox.WasHandedOver(issuer)) {
      if (!PassToSuccessor(incoming)) Reply(waiter, MakeUnknownAnswer());
      return;
    }
    if (clock < ValidUntil(id)) entry = m_journal.Insert(id, 0, m_now + (ValidUntil(id) - clock) + kJournalRetention);
    if (entry == nullptr) return Reply(waiter, MakeUnknownAnswer());
    // The request may still be in transit. The refused entry prevents its dispatch on arrival.
    FinishEntry(id, entry, MakeErrorAnswer(ErrorCode::kRequestCancelled));
  } else if (Call* call = FindLocalCall(id); call != nullptr && !IsFinal(entry->m_state)) {
    (void)CancelCall(*call);
  }
  if (!IsFinal(entry->m_state)) return Reply(waiter, MakeUnknownAnswer());
  const RequestAnswer known = AnswerOf(*entry);
  Reply(waiter, CancellationAnswer(known.m_outcome, known.m_code));
}

void RequestEngineState::CancelByCorrelation(const IncomingRequest& incoming, std::string_view text) {
  const auto* canceller = std::get_if<CallerWaiter>(&incoming.m_waiter);
  const auto matches = [&](const auto& item) {
    return std::any_of(item.second.m_waiters.begin(), item.second.m_waiters.end(), [&](const Waiter& waiter) {
      const auto* caller = std::get_if<CallerWaiter>(&waiter);
      return caller != nullptr && caller->m_caller == canceller->m_caller && caller->m_correlation == text;
    });
  };
  const auto found =
      canceller == nullptr || text.empty() ? m_calls.end() : std::find_if(m_calls.begin(), m_calls.end(), matches);
  if (found == m_calls.end()) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  const RequestAnswer answer = CancelCall(found->second);
  Reply(incoming.m_waiter, CancellationAnswer(answer.m_outcome, answer.m_code));
}

RequestAnswer RequestEngineState::CancelCall(Call& call) {
  RequestAnswer answer = MakeUnknownAnswer(ErrorCode::kRequestCancelled);
  if (call.m_phase == CallPhase::kQueued && !call.m_may_have_run)
    answer = MakeErrorAnswer(ErrorCode::kRequestCancelled);
  if (call.m_phase == CallPhase::kAtTarget) {
    m_actions.push_back(CancelAtTarget{call.m_exchange});
    EndExchange(call, ExchangeResult::kCancelled);
  }
  const ServiceId service = call.m_service;
  Finish(call, answer);
  DispatchQueuedOf(service);
  return answer;
}

}  // namespace fighatch
