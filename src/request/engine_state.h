#ifndef FIGHATCH_REQUEST_ENGINE_STATE_H_
#define FIGHATCH_REQUEST_ENGINE_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "fighatch/request_engine.h"
#include "request/call.h"
#include "request/handover_outbox.h"
#include "request/ownership_table.h"
#include "request/service_state.h"

namespace fighatch {

/// The engine behind `RequestEngine`. Its functions are grouped by file: `engine_state.cc` takes events and time,
/// `engine_arrivals.cc` requests, `engine_cancel.cc` cancellations, `engine_calls.cc` answers, `engine_targets.cc`
/// exchanges with targets, `engine_handover.cc` members and the planned stop.
class RequestEngineState {
 public:
  RequestEngineState(const RequestEngineSettings& settings, TargetAllowance* allowance,
                     std::unique_ptr<PickStrategy> strategy, Random* random);

  RequestActions Handle(TimePoint now, RequestEvent event);
  [[nodiscard]] bool IsDrained() const noexcept;

  RequestEngineSettings m_settings;
  RequestJournal m_journal;
  RequestStatistics m_statistics;
  std::unordered_map<std::uint64_t, Call> m_calls;
  std::unordered_map<ExchangeId, std::uint64_t> m_by_exchange;

 private:
  void On(CallerRequest event);
  void On(const MalformedDatagram& event);
  void On(ForwardedRequest event);
  void On(const ForwardedAnswer& event);
  void On(const ForwardFailed& event);
  void On(TargetResponded event);
  void On(const TargetFailed& event);
  void On(const TimerExpired& event);
  void On(const AllowanceChanged& event);
  void On(const LoadReported& event);
  void On(const MemberAlive& event);
  void On(const MemberDied& event);
  void On(const ServiceChanged& event);
  void On(const TargetsChanged& event);
  void On(const StopRequested& event);
  void On(const Handover& event);
  void On(const HandoverAck& event);
  void On(const SuccessorNotice& event);

  // Arrivals.
  [[nodiscard]] RequestAnswer OverloadAnswer(const IncomingRequest& incoming);
  void HandleRequest(IncomingRequest incoming);
  void HandleIdempotent(IncomingRequest incoming);
  void HandleNonIdempotent(IncomingRequest incoming, ServiceState& service);
  void HandleOwned(IncomingRequest incoming, const RequestId& id);
  void HandleJournaled(IncomingRequest incoming, const RequestId& id, const JournalEntry& entry);
  void StartNonIdempotent(IncomingRequest incoming, const RequestId& id);
  void IssueIds(const IncomingRequest& incoming);
  void ForwardTo(HostId host, IncomingRequest incoming);
  /// Passes new work of a stopping balancer on; false if it must be served here.
  [[nodiscard]] bool PassToSuccessor(IncomingRequest& incoming);

  // Cancellation.
  void HandleCancellation(IncomingRequest incoming, std::string_view text);
  void CancelOwned(IncomingRequest incoming, const RequestId& id);
  void CancelByCorrelation(const IncomingRequest& incoming, std::string_view text);
  RequestAnswer CancelCall(Call& call);

  // Calls and answers.
  Call& AddCall(IncomingRequest incoming, CallPhase phase);
  void AddCallWaiter(Call& call, Waiter waiter);
  void Enqueue(Call& call);
  void Requeue(Call& call);
  void SetCallTimeout(Call& call, TimePoint wake);
  void Finish(Call& call, RequestAnswer answer);
  void FinishEntry(const RequestId& id, JournalEntry* entry, const RequestAnswer& answer);
  void Reply(const Waiter& waiter, const RequestAnswer& answer);
  void OnCallTimeout(Call& call);
  void OnDeadline(Call& call);
  [[nodiscard]] Call* FindCall(std::uint64_t id);
  [[nodiscard]] Call* FindLocalCall(const RequestId& id);

  // Exchanges with targets.
  void DispatchQueued(ServiceState& service);
  void DispatchQueuedOf(ServiceId service);
  void Dispatch(ServiceState& service, Call& call, TargetId target);
  [[nodiscard]] bool HasTimeToRun(const ServiceState& service, const Call& call) const;
  void EndExchange(Call& call, ExchangeResult result);
  void RetryOrFinish(Call& call, const RequestAnswer& answer);
  void OnAttemptTimeout(Call& call);
  [[nodiscard]] Duration AttemptTimeout(const ServiceState& service) const;
  [[nodiscard]] bool TakeRetryToken(ServiceState& service);
  [[nodiscard]] ServiceState* FindService(ServiceId service);

  // Members and planned stop.
  void FinishForwardedTo(HostId host);
  void FinishRequestsRunBy(HostId host);
  void HandOver(const IssuerIncarnation& issuer);
  void SendUnsentParts();
  void ApplyRecord(const JournalRecord& record);
  [[nodiscard]] bool IsStopping() const noexcept { return m_successor.has_value(); }

  void Expire();
  void UpdateTimer();
  [[nodiscard]] std::optional<TimePoint> NextTimeout() const;

  TargetAllowance* m_allowance;
  Random* m_random;
  RequestIdCodec m_codec;
  RequestIdIssuer m_issuer;
  OwnershipTable m_ownership;
  TargetPicker m_picker;
  TargetHealth m_health;
  HandoverOutbox m_outbox;
  std::map<ServiceId, ServiceState> m_services;
  std::unordered_map<RequestId, std::uint64_t> m_by_request_id;
  std::set<std::pair<TimePoint, std::uint64_t>> m_timeouts;
  std::uint64_t m_next_call = 1;
  std::uint64_t m_next_exchange = 1;
  std::optional<HostId> m_successor;
  bool m_successor_alive = false;
  TimePoint m_next_resend;
  std::optional<TimePoint> m_timer;
  TimePoint m_now;
  RequestActions m_actions;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ENGINE_STATE_H_
