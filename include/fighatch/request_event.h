#ifndef FIGHATCH_REQUEST_EVENT_H_
#define FIGHATCH_REQUEST_EVENT_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/http_message.h"
#include "fighatch/request_message.h"
#include "fighatch/state_document.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// Names one use of a target connection for one request; it is not used again by this engine.
using ExchangeId = StrongId<struct ExchangeIdTag, std::uint64_t>;

/// A request datagram of a caller.
struct CallerRequest {
  Endpoint m_caller;
  /// The service address that the datagram was sent to; the answer has it as source.
  Endpoint m_service_address;
  ServiceId m_service;
  HttpRequest m_request;
};

/// A datagram of a caller that `ParseRequestDatagram` refused.
struct MalformedDatagram {
  Endpoint m_caller;
  Endpoint m_service_address;
  /// `kRequestMalformed` or `kRequestTooLarge`.
  ErrorCode m_code = ErrorCode::kRequestMalformed;
};

/// A forwarded request could not be passed to the other balancer.
struct ForwardFailed {
  std::uint64_t m_forward_id = 0;
};

/// A whole response arrived on the connection of an exchange.
struct TargetResponded {
  ExchangeId m_exchange;
  HttpResponse m_response;
};

/// How an exchange with a target failed.
enum class TargetFailure : std::uint8_t {
  /// The connection could not be opened, and no byte of the request was written: proof that it was not run.
  kRefused = 0,
  /// The connection ended before a whole response arrived.
  kLost = 1,
  /// The response is larger than the limit.
  kResponseTooLarge = 2,
};

/// An exchange failed; its connection is closed.
struct TargetFailed {
  ExchangeId m_exchange;
  TargetFailure m_failure = TargetFailure::kLost;
};

/// The time of the last `SetTimer` has come.
struct TimerExpired {};

/// Tokens of targets came, or reported loads changed.
struct AllowanceChanged {};

/// The load that a target reported last, in requests in progress.
struct LoadReported {
  TargetId m_target;
  double m_load = 0;
};

/// A balancer is there under this incarnation.
struct MemberAlive {
  HostId m_host;
  Incarnation m_incarnation;
};

/// This incarnation of a balancer does not answer any more. `MemberAlive` revokes it.
struct MemberDied {
  HostId m_host;
  Incarnation m_incarnation;
};

/// The settings of a service came or changed.
struct ServiceChanged {
  Service m_service;
};

/// The list of a service's targets that this balancer may use, whole.
struct TargetsChanged {
  ServiceId m_service;
  std::vector<TargetInfo> m_targets;
};

/// The balancer stops as planned and hands over to the successor.
struct StopRequested {
  HostId m_successor;
};

/// An input of the engine.
using RequestEvent =
    std::variant<CallerRequest, MalformedDatagram, ForwardedRequest, ForwardedAnswer, ForwardFailed, TargetResponded,
                 TargetFailed, TimerExpired, AllowanceChanged, LoadReported, MemberAlive, MemberDied, ServiceChanged,
                 TargetsChanged, StopRequested, Handover, HandoverAck, SuccessorNotice>;

/// Parses a datagram that must hold one whole request. Errors: `kRequestMalformed`, `kRequestTooLarge`.
[[nodiscard]] Result<HttpRequest> ParseRequestDatagram(std::span<const std::byte> datagram);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_EVENT_H_
