#ifndef FIGHATCH_REQUEST_CALL_H_
#define FIGHATCH_REQUEST_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fighatch/request_event.h"

namespace fighatch {

/// A caller that waits for an answer.
struct CallerWaiter {
  Endpoint m_caller;
  Endpoint m_service_address;
  /// The caller's `X-Request-Id`; empty if it gave none.
  std::string m_correlation;

  friend bool operator==(const CallerWaiter&, const CallerWaiter&) = default;
};

/// A balancer that waits for the answer to a request that it forwarded.
struct PeerWaiter {
  HostId m_host;
  Incarnation m_incarnation;
  std::uint64_t m_forward_id = 0;

  friend bool operator==(const PeerWaiter&, const PeerWaiter&) = default;
};

using Waiter = std::variant<CallerWaiter, PeerWaiter>;

/// A request as it came in.
struct IncomingRequest {
  ServiceId m_service;
  HttpRequest m_request;
  Waiter m_waiter;
  TimePoint m_deadline;
  std::uint8_t m_hops = 0;
};

enum class CallPhase : std::uint8_t {
  /// Waits for a token.
  kQueued = 0,
  kAtTarget = 1,
  /// Another balancer answers it.
  kForwarded = 2,
  /// The balancer that handed over its id still runs it and will send the end.
  kAwaitingHandover = 3,
};

/// A request in progress.
struct Call {
  std::uint64_t m_id = 0;
  CallPhase m_phase = CallPhase::kQueued;
  ServiceId m_service;
  HttpRequest m_request;
  /// Set for non-idempotent requests.
  std::optional<RequestId> m_request_id;
  std::vector<Waiter> m_waiters;
  TimePoint m_deadline;
  /// When the engine looks at the call again.
  TimePoint m_timeout_at;
  std::uint8_t m_hops = 0;
  /// Host that the request was forwarded to.
  HostId m_peer;
  ExchangeId m_exchange;
  TargetId m_target;
  TimePoint m_dispatched;
  std::vector<TargetId> m_tried;
  /// True once an attempt ended without proof that it was not run: "not run" can no longer be said.
  bool m_may_have_run = false;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_CALL_H_
