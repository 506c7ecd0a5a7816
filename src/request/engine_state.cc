#include "request/engine_state.h"

#include <algorithm>

namespace fighatch {
namespace {

constexpr Duration kHandoverResend = std::chrono::milliseconds(200);

Handover HandoverFrame(const RequestEngineSettings& settings) {
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
      m_duties(settings.m_host, settings.m_incarnation),
      m_picker(std::move(strategy)),
      m_outbox(HandoverFrame(settings), settings.m_handover_part_bytes) {}

RequestActions RequestEngineState::Handle(TimePoint now, RequestEvent event) {
  m_now = now;
  m_actions.clear();
  Expire();
  std::visit([this](auto& alternative) { On(std::move(alternative)); }, event);
  SendNewParts();
  UpdateTimer();
  return std::move(m_actions);
}

bool RequestEngineState::IsDrained() const noexcept { return IsStopping() && m_calls.empty() && m_outbox.IsEmpty(); }

void RequestEngineState::Expire() {
  m_journal.Expire(m_now);
  m_duties.Expire(m_now);
}

void RequestEngineState::On(const TimerExpired& /*event*/) {
  m_timer.reset();
  while (!m_wakes.empty() && m_wakes.begin()->first <= m_now) {
    Call& call = *FindCall(m_wakes.begin()->second);
    m_wakes.erase(m_wakes.begin());
    OnWake(call);
  }
  if (!IsStopping() || m_outbox.IsEmpty() || m_now < m_next_resend) return;
  for (Handover& part : m_outbox.Unconfirmed()) m_actions.push_back(SendHandover{*m_successor, std::move(part)});
  m_next_resend = m_now + kHandoverResend;
}

void RequestEngineState::SendNewParts() {
  for (Handover& part : m_outbox.TakeNew()) {
    m_actions.push_back(SendHandover{*m_successor, std::move(part)});
    m_next_resend = m_now + kHandoverResend;
  }
}

std::optional<TimePoint> RequestEngineState::NextWake() const {
  std::optional<TimePoint> next = m_journal.NextExpiry();
  const auto take = [&next](TimePoint time) { next = std::min(next.value_or(time), time); };
  if (!m_wakes.empty()) take(m_wakes.begin()->first);
  if (IsStopping() && !m_outbox.IsEmpty()) take(m_next_resend);
  return next;
}

void RequestEngineState::UpdateTimer() {
  const std::optional<TimePoint> next = NextWake();
  if (!next || next == m_timer) return;
  m_timer = next;
  m_actions.push_back(SetTimer{*next});
}

void RequestEngineState::On(const AllowanceChanged& /*event*/) {
  for (auto& [id, service] : m_services) Pump(service);
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
  Pump(*service);
}

ServiceState* RequestEngineState::FindService(ServiceId service) {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

}  // namespace fighatch
