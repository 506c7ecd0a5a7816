#ifndef FIGHATCH_REQUEST_ACTION_H_
#define FIGHATCH_REQUEST_ACTION_H_

#include <variant>
#include <vector>

#include "fighatch/request_event.h"

namespace fighatch {

/// Sends an answer datagram to a caller.
struct SendAnswer {
  Endpoint m_caller;
  Endpoint m_service_address;
  HttpResponse m_response;
};

/// Passes a request to another balancer; `ForwardFailed` reports that it could not be passed.
struct SendForward {
  HostId m_host;
  ForwardedRequest m_message;
};

/// Sends an answer to the balancer that forwarded the request.
struct SendForwardedAnswer {
  HostId m_host;
  ForwardedAnswer m_message;
};

/// Sends a request to a target on a connection that carries nothing else until the response or a failure.
struct DispatchToTarget {
  ExchangeId m_exchange;
  TargetId m_target;
  Endpoint m_endpoint;
  HttpRequest m_request;
  /// The engine cancels the exchange by this time.
  TimePoint m_deadline;
};

/// Closes the connection of an exchange; nothing that arrives on it later counts.
struct CancelAtTarget {
  ExchangeId m_exchange;
};

/// Sends a part of a handover; it is repeated until it is confirmed.
struct SendHandover {
  HostId m_host;
  Handover m_message;
};

/// Confirms a part of a handover.
struct SendHandoverAck {
  HostId m_host;
  HandoverAck m_message;
};

/// Sends the notice to all balancers.
struct AnnounceSuccessor {
  SuccessorNotice m_notice;
};

/// How an exchange with a target ended.
enum class ExchangeResult : std::uint8_t {
  kAnswered = 0,
  kShed = 1,
  kRefused = 2,
  kLost = 3,
  kTimedOut = 4,
  kCancelled = 5
};

/// Tells the target module how an exchange ended, for the ramp.
struct ReportExchange {
  TargetId m_target;
  ExchangeResult m_result = ExchangeResult::kAnswered;
  Duration m_duration{};
};

/// Replaces the engine's one timer.
struct SetTimer {
  TimePoint m_at;
};

/// An output of the engine.
using RequestAction = std::variant<SendAnswer, SendForward, SendForwardedAnswer, DispatchToTarget, CancelAtTarget,
                                   SendHandover, SendHandoverAck, AnnounceSuccessor, ReportExchange, SetTimer>;
/// Outputs in the order in which they are to be carried out.
using RequestActions = std::vector<RequestAction>;

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ACTION_H_
