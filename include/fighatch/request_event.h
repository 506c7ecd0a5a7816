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

/// Identifies one use of a target connection for one request. An engine never reuses a value.
using ExchangeId = StrongId<struct ExchangeIdTag, std::uint64_t>;

/// A request datagram from a caller. The structures in this header are the inputs of `RequestEngine::Handle`.
struct CallerRequest {
  Endpoint m_caller;
  /// Destination address of the datagram, which becomes the source address of the answer.
  Endpoint m_service_address;
  ServiceId m_service;
  HttpRequest m_request;
};

/// A datagram from a caller that `ParseRequestDatagram` rejected.
struct MalformedDatagram {
  Endpoint m_caller;
  Endpoint m_service_address;
  /// `kRequestMalformed` or `kRequestTooLarge`.
  ErrorCode m_code = ErrorCode::kRequestMalformed;
};

/// A forwarded request could not be delivered to the other balancer.
struct ForwardFailed {
  std::uint64_t m_forward_id = 0;
};

/// A complete response arrived on the connection of an exchange.
struct TargetResponded {
  ExchangeId m_exchange;
  HttpResponse m_response;
};

/// How an exchange with a target failed.
enum class TargetFailure : std::uint8_t {
  /// The connection could not be opened and no byte of the request was written, which proves that it was not run.
  kRefused = 0,
  /// The connection ended before a complete response arrived.
  kLost = 1,
  /// The response is larger than the limit.
  kResponseTooLarge = 2,
};

/// An exchange failed; its connection is closed.
struct TargetFailed {
  ExchangeId m_exchange;
  TargetFailure m_failure = TargetFailure::kLost;
};

/// The time of the last `SetTimer` was reached.
struct TimerExpired {};

/// Tokens of targets were granted, or reported loads changed.
struct AllowanceChanged {};

/// A target's latest load report, in requests in progress.
struct LoadReported {
  TargetId m_target;
  double m_load = 0;
};

/// A balancer is a live member with this incarnation.
struct MemberAlive {
  HostId m_host;
  Incarnation m_incarnation;
};

/// This incarnation of a balancer is considered dead. `MemberAlive` revokes it.
struct MemberDied {
  HostId m_host;
  Incarnation m_incarnation;
};

/// A service was added or its settings changed.
struct ServiceChanged {
  Service m_service;
};

/// The complete list of a service's targets that this balancer may use.
struct TargetsChanged {
  ServiceId m_service;
  std::vector<TargetInfo> m_targets;
};

/// A planned stop of this balancer begins, with a handover to the successor.
struct StopRequested {
  HostId m_successor;
};

/// One input of the engine.
using RequestEvent =
    std::variant<CallerRequest, MalformedDatagram, ForwardedRequest, ForwardedAnswer, ForwardFailed, TargetResponded,
                 TargetFailed, TimerExpired, AllowanceChanged, LoadReported, MemberAlive, MemberDied, ServiceChanged,
                 TargetsChanged, StopRequested, Handover, HandoverAck, SuccessorNotice>;

/// Parses a datagram that must hold exactly one complete request. Errors: `kRequestMalformed`, `kRequestTooLarge`.
[[nodiscard]] Result<HttpRequest> ParseRequestDatagram(std::span<const std::byte> datagram);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_EVENT_H_
