#ifndef FIGHATCH_REQUEST_CALL_H_
#define FIGHATCH_REQUEST_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fighatch/request_event.h"

namespace fighatch {

/// A caller waiting for an answer.
struct CallerWaiter {
  Endpoint m_caller;
  Endpoint m_service_address;
  /// The caller's `X-Request-Id`; empty if it gave none.
  std::string m_correlation;

  friend bool operator==(const CallerWaiter&, const CallerWaiter&) = default;
};

/// A balancer waiting for the answer to a request that it forwarded.
struct PeerWaiter {
  HostId m_host;
  Incarnation m_incarnation;
  std::uint64_t m_forward_id = 0;

  friend bool operator==(const PeerWaiter&, const PeerWaiter&) = default;
};

/// Recipient of the answer to a request.
using Waiter = std::variant<CallerWaiter, PeerWaiter>;

/// A request received from a caller or from another balancer, before the engine decides what to do with it.
struct IncomingRequest {
  ServiceId m_service;
  HttpRequest m_request;
  Waiter m_waiter;
  TimePoint m_deadline;
  std::uint8_t m_hops = 0;
};

/// Where a request in progress is being handled.
enum class CallPhase : std::uint8_t {
  /// Waits for a token.
  kQueued = 0,
  /// Dispatched to a target.
  kAtTarget = 1,
  /// Forwarded to another balancer, which answers it.
  kForwarded = 2,
  /// Still run by the balancer that handed over ownership of its id, which will send the final state.
  kAwaitingHandover = 3,
};

/// A request in progress, which becomes part of the engine's state until it is answered.
struct Call {
  std::uint64_t m_id = 0;
  CallPhase m_phase = CallPhase::kQueued;
  ServiceId m_service;
  HttpRequest m_request;
  /// Set for non-idempotent requests.
  std::optional<RequestId> m_request_id;
  std::vector<Waiter> m_waiters;
  TimePoint m_deadline;
  /// Time of the next check of the call: its deadline, or the end of the current attempt.
  TimePoint m_timeout_at;
  std::uint8_t m_hops = 0;
  /// Host that the request was forwarded to; set in phase `kForwarded`.
  HostId m_peer;
  ExchangeId m_exchange;
  TargetId m_target;
  TimePoint m_dispatched;
  std::vector<TargetId> m_tried;
  /// True once an attempt ended without proof that the target did not run it. The answer must not be "not run" then.
  bool m_may_have_run = false;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_CALL_H_
