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

/// Implementation of `RequestEngine`. Its functions are grouped by file: `engine_state.cc` handles events and the
/// timer, `engine_arrivals.cc` incoming requests, `engine_cancel.cc` cancellations, `engine_calls.cc` requests in
/// progress and answers, `engine_targets.cc` exchanges with targets, `engine_handover.cc` membership and the planned
/// stop.
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

  // Incoming requests.
  [[nodiscard]] RequestAnswer OverloadAnswer(const IncomingRequest& incoming);
  void HandleRequest(IncomingRequest incoming);
  void HandleIdempotent(IncomingRequest incoming);
  void HandleNonIdempotent(IncomingRequest incoming, ServiceState& service);
  void HandleOwned(IncomingRequest incoming, const RequestId& id);
  void HandleJournaled(IncomingRequest incoming, const RequestId& id, const JournalEntry& entry);
  void StartNonIdempotent(IncomingRequest incoming, const RequestId& id);
  void IssueIds(const IncomingRequest& incoming);
  void ForwardTo(HostId host, IncomingRequest incoming);
  /// Forwards a new request to the successor while this balancer is stopping; false if it must be handled here.
  [[nodiscard]] bool PassToSuccessor(IncomingRequest& incoming);

  // Cancellation.
  void HandleCancellation(IncomingRequest incoming, std::string_view text);
  void CancelOwned(IncomingRequest incoming, const RequestId& id);
  void CancelByCorrelation(const IncomingRequest& incoming, std::string_view text);
  RequestAnswer CancelCall(Call& call);

  // Calls and answers.
  Call& AddCall(IncomingRequest incoming, CallPhase phase);
  /// Adds a recipient of the answer, unless it is there already or the limit is reached.
  void AddCallWaiter(Call& call, Waiter waiter);
  /// Admits a new request to its service's queue, or finishes it with an error answer.
  void Enqueue(Call& call);
  /// Puts a request into its service's queue without an admission check, for a new request or a retry.
  void Requeue(Call& call);
  void SetCallTimeout(Call& call, TimePoint wake);
  /// Ends a call: updates the journal, removes the call and answers all its waiters.
  void Finish(Call& call, RequestAnswer answer);
  /// Makes a journal entry final, and queues its state for the successor if the incarnation was handed over.
  void FinishEntry(const RequestId& id, JournalEntry* entry, const RequestAnswer& answer);
  void Reply(const Waiter& waiter, const RequestAnswer& answer);
  void OnCallTimeout(Call& call);
  void OnDeadline(Call& call);
  [[nodiscard]] Call* FindCall(std::uint64_t id);
  [[nodiscard]] Call* FindLocalCall(const RequestId& id);

  // Exchanges with targets.
  /// Dispatches queued requests, earliest deadline first, while targets with tokens are available.
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

  // Membership and planned stop.
  void FinishForwardedTo(HostId host);
  /// Ends as "unknown" the requests of issuer incarnations that a dead host handed over to this host, except those that
  /// this host dispatched itself.
  void FinishRequestsRunBy(HostId host);
  void HandOver(const IssuerIncarnation& issuer);
  void SendUnsentParts();
  /// Answers the callers that wait for a final state received in a handover, and passes the state on to the successor
  /// of this host if there is one.
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
  /// Next check time and id of each call that has one.
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
