#include "request/engine_state.h"

#include <algorithm>

namespace fighatch {
namespace {

/// Interval after which unacknowledged handover parts are sent again.
constexpr Duration kHandoverResend = std::chrono::milliseconds(200);

Handover MakePartTemplate(const RequestEngineSettings& settings) {
  Handover frame;
  frame.m_sender = settings.m_host;
  frame.m_sender_incarnation = settings.m_incarnation;
  frame.m_shard = settings.m_shard;
  return frame;
}

}  // namespace

RequestEngineState::RequestEngineState(const RequestEngineSettings& settings, TargetAllowance* allowance,
                                       std::unique_ptr<PickStrategy> strategy, Random* random)
    : m_settings(settings),
      m_journal(settings.m_journal),
      m_allowance(allowance),
      m_random(random),
      m_codec(settings.m_key, settings.m_previous_key),
      m_issuer(settings.m_host, settings.m_incarnation, settings.m_shard, settings.m_shard_count),
      m_ownership(settings.m_host, settings.m_incarnation),
      m_picker(std::move(strategy)),
      m_outbox(MakePartTemplate(settings), settings.m_handover_part_bytes) {}

RequestActions RequestEngineState::Handle(TimePoint now, RequestEvent event) {
  m_now = now;
  m_actions.clear();
  Expire();
  std::visit([this](auto& alternative) { On(std::move(alternative)); }, event);
  SendUnsentParts();
  UpdateTimer();
  return std::move(m_actions);
}

bool RequestEngineState::IsDrained() const noexcept { return IsStopping() && m_calls.empty() && m_outbox.IsEmpty(); }

void RequestEngineState::Expire() {
  m_journal.Expire(m_now);
  m_ownership.Expire(m_now);
}

void RequestEngineState::On(const TimerExpired& /*event*/) {
  m_timer.reset();
  while (!m_timeouts.empty() && m_timeouts.begin()->first <= m_now) {
    Call& call = *FindCall(m_timeouts.begin()->second);
    m_timeouts.erase(m_timeouts.begin());
    OnCallTimeout(call);
  }
  if (!IsStopping() || m_outbox.IsEmpty() || m_now < m_next_resend) return;
  for (Handover& part : m_outbox.Unconfirmed()) m_actions.push_back(SendHandover{*m_successor, std::move(part)});
  m_next_resend = m_now + kHandoverResend;
}

void RequestEngineState::SendUnsentParts() {
  for (Handover& part : m_outbox.TakeUnsent()) {
    m_actions.push_back(SendHandover{*m_successor, std::move(part)});
    m_next_resend = m_now + kHandoverResend;
  }
}

std::optional<TimePoint> RequestEngineState::NextTimeout() const {
  std::optional<TimePoint> next = m_journal.NextExpiry();
  const auto keep_earliest = [&next](TimePoint time) { next = std::min(next.value_or(time), time); };
  if (!m_timeouts.empty()) keep_earliest(m_timeouts.begin()->first);
  if (IsStopping() && !m_outbox.IsEmpty()) keep_earliest(m_next_resend);
  return next;
}

void RequestEngineState::UpdateTimer() {
  const std::optional<TimePoint> next = NextTimeout();
  if (!next || next == m_timer) return;
  m_timer = next;
  m_actions.push_back(SetTimer{*next});
}

void RequestEngineState::On(const AllowanceChanged& /*event*/) {
  for (auto& [id, service] : m_services) DispatchQueued(service);
}

void RequestEngineState::On(const LoadReported& event) {
  for (auto& [id, service] : m_services) service.SetReportedLoad(event.m_target, event.m_load);
}

void RequestEngineState::On(const ServiceChanged& event) {
  const auto [place, added] = m_services.try_emplace(event.m_service.m_id, event.m_service, m_settings.m_queue_limit);
  if (!added) place->second.m_service = event.m_service;
}

void RequestEngineState::On(const TargetsChanged& event) {
  ServiceState* service = FindService(event.m_service);
  if (service == nullptr) return;
  service->SetTargets(event.m_targets, &m_health);
  DispatchQueued(*service);
}

ServiceState* RequestEngineState::FindService(ServiceId service) {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

}  // namespace fighatch
