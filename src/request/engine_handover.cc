#include <vector>

#include "request/engine_state.h"

namespace fighatch {

void RequestEngineState::On(const ForwardedAnswer& event) {
  Call* call = FindCall(event.m_forward_id);
  const bool is_ours = event.m_origin == m_settings.m_host && event.m_origin_incarnation == m_settings.m_incarnation;
  if (!is_ours || call == nullptr || call->m_phase != CallPhase::kForwarded) {
    ++m_statistics.m_late_events;
    return;
  }
  Finish(*call, event.m_answer);
}

void RequestEngineState::On(const ForwardFailed& event) {
  Call* call = FindCall(event.m_forward_id);
  if (call == nullptr || call->m_phase != CallPhase::kForwarded) return;
  ServiceState* service = FindService(call->m_service);
  if (service == nullptr || !service->IsIdempotent(call->m_request)) return Finish(*call, MakeUnknownAnswer());
  // The other balancer may have received it before the failure, which is harmless for an idempotent request.
  call->m_may_have_run = true;
  call->m_phase = CallPhase::kQueued;
  Enqueue(*call);
}

void RequestEngineState::On(const MemberAlive& event) {
  m_ownership.OnMemberAlive(event.m_host, event.m_incarnation);
  if (event.m_host == m_successor) m_successor_alive = true;
  // A balancer that has just started missed earlier notices, and the fabric may route requests with ids of any issuer
  // to it.
  for (const auto& [issuer, incarnation] : m_ownership.CompletelyReceived()) {
    m_actions.push_back(AnnounceSuccessor{{issuer, incarnation, m_settings.m_host}});
  }
}

void RequestEngineState::On(const MemberDied& event) {
  m_ownership.OnMemberDied(event.m_host, event.m_incarnation);
  if (event.m_host == m_successor) m_successor_alive = false;
  FinishForwardedTo(event.m_host);
  FinishRequestsRunBy(event.m_host);
}

void RequestEngineState::FinishForwardedTo(HostId host) {
  std::vector<std::uint64_t> forwarded;
  for (const auto& [id, call] : m_calls) {
    if (call.m_phase == CallPhase::kForwarded && call.m_peer == host) forwarded.push_back(id);
  }
  for (const std::uint64_t id : forwarded) Finish(*FindCall(id), MakeUnknownAnswer());
}

void RequestEngineState::FinishRequestsRunBy(HostId host) {
  for (const IssuerIncarnation& issuer : m_ownership.ReceivedFrom(host)) {
    for (const RequestId& id : m_journal.NonFinalIds(issuer.first, issuer.second)) {
      Call* call = FindLocalCall(id);
      // Requests that this balancer dispatched itself continue.
      if (call != nullptr && call->m_phase != CallPhase::kAwaitingHandover) continue;
      FinishEntry(id, m_journal.Find(id), MakeUnknownAnswer());
      if (call != nullptr) Finish(*call, MakeUnknownAnswer());
    }
  }
}

void RequestEngineState::On(const StopRequested& event) {
  if (IsStopping()) return;
  m_successor = event.m_successor;
  m_successor_alive = true;
  HandOver({m_settings.m_host, m_settings.m_incarnation});
  for (const IssuerIncarnation& issuer : m_ownership.CompletelyReceived()) HandOver(issuer);
}

void RequestEngineState::HandOver(const IssuerIncarnation& issuer) {
  m_outbox.AddInitial(issuer, m_ownership.IssuerClock(issuer, m_now),
                      m_journal.Export(issuer.first, issuer.second, m_now));
}

void RequestEngineState::On(const Handover& event) {
  const IssuerIncarnation issuer(event.m_issuer, event.m_issuer_incarnation);
  // A stopping balancer accepts ownership of no further incarnation, but still accepts the final states of requests of
  // the incarnations that it has already received.
  const bool refuses = event.m_shard != m_settings.m_shard || (IsStopping() && !m_ownership.HasPartsOf(issuer));
  if (refuses || !m_ownership.AcceptsHandover(event)) return;
  for (const JournalRecord& record : event.m_records) {
    if (!m_journal.Import(record, m_now)) return;
    ApplyRecord(record);
  }
  if (m_ownership.RecordPart(event, m_now)) {
    m_actions.push_back(AnnounceSuccessor{{event.m_issuer, event.m_issuer_incarnation, m_settings.m_host}});
    if (IsStopping()) HandOver(issuer);
  }
  m_actions.push_back(SendHandoverAck{
      event.m_sender,
      {m_settings.m_host, event.m_issuer, event.m_issuer_incarnation, m_settings.m_shard, event.m_part}});
}

void RequestEngineState::ApplyRecord(const JournalRecord& record) {
  if (!IsFinal(record.m_state)) return;
  Call* call = FindLocalCall(record.m_id);
  if (call != nullptr && call->m_phase == CallPhase::kAwaitingHandover) {
    Finish(*call, AnswerOf(*m_journal.Find(record.m_id)));
  }
  const IssuerIncarnation issuer(record.m_id.m_issuer, record.m_id.m_incarnation);
  if (!m_outbox.WasHandedOver(issuer)) return;
  const JournalEntry& entry = *m_journal.Find(record.m_id);
  m_outbox.AddUpdate(issuer, m_ownership.IssuerClock(issuer, m_now),
                     RequestJournal::ToRecord(record.m_id, entry, m_now));
}

void RequestEngineState::On(const HandoverAck& event) {
  if (event.m_shard == m_settings.m_shard && event.m_successor == m_successor) m_outbox.OnAck(event);
}

void RequestEngineState::On(const SuccessorNotice& event) { m_ownership.OnNotice(event, m_now); }

}  // namespace fighatch
