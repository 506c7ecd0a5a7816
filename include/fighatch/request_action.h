#ifndef FIGHATCH_REQUEST_ACTION_H_
#define FIGHATCH_REQUEST_ACTION_H_

#include <variant>
#include <vector>

#include "fighatch/request_event.h"

namespace fighatch {

/// Sends an answer datagram to a caller. The actions in this header are the outputs of `RequestEngine::Handle`.
struct SendAnswer {
  Endpoint m_caller;
  Endpoint m_service_address;
  HttpResponse m_response;
};

/// Forwards a request to another balancer; the event `ForwardFailed` reports that it could not be delivered.
struct SendForward {
  HostId m_host;
  ForwardedRequest m_message;
};

/// Sends an answer to the balancer that forwarded the request.
struct SendForwardedAnswer {
  HostId m_host;
  ForwardedAnswer m_message;
};

/// Sends a request to a target on a connection that is used exclusively until the response or a failure.
struct DispatchToTarget {
  ExchangeId m_exchange;
  TargetId m_target;
  Endpoint m_endpoint;
  HttpRequest m_request;
  /// Deadline of the request. The engine cancels the exchange by then.
  TimePoint m_deadline;
};

/// Closes the connection of an exchange. The engine ignores anything that arrives on it afterwards.
struct CancelAtTarget {
  ExchangeId m_exchange;
};

/// Sends one part of a handover. The engine repeats the action until the part is acknowledged.
struct SendHandover {
  HostId m_host;
  Handover m_message;
};

/// Acknowledges one part of a handover.
struct SendHandoverAck {
  HostId m_host;
  HandoverAck m_message;
};

/// Broadcasts to all balancers which host now owns an issuer incarnation.
struct AnnounceSuccessor {
  SuccessorNotice m_notice;
};

/// How an exchange with a target ended.
enum class ExchangeResult : std::uint8_t {
  /// A complete response arrived, also one that is too large to be relayed.
  kAnswered = 0,
  /// The target proved by its response that it did not run the request.
  kShed = 1,
  /// The connection could not be opened.
  kRefused = 2,
  /// The connection ended without a complete response, or the response was for another request.
  kLost = 3,
  /// The attempt timeout or the deadline passed.
  kTimedOut = 4,
  /// The request was cancelled by its caller.
  kCancelled = 5
};

/// Reports the end of an exchange to the target module, which uses it for the ramp.
struct ReportExchange {
  TargetId m_target;
  ExchangeResult m_result = ExchangeResult::kAnswered;
  Duration m_duration{};
};

/// Sets the engine's single timer and replaces its previous time.
struct SetTimer {
  TimePoint m_at;
};

/// One output of the engine.
using RequestAction = std::variant<SendAnswer, SendForward, SendForwardedAnswer, DispatchToTarget, CancelAtTarget,
                                   SendHandover, SendHandoverAck, AnnounceSuccessor, ReportExchange, SetTimer>;
/// Actions in the order in which they are to be executed.
using RequestActions = std::vector<RequestAction>;

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ACTION_H_
