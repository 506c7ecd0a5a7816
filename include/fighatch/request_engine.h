#ifndef FIGHATCH_REQUEST_ENGINE_H_
#define FIGHATCH_REQUEST_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "fighatch/random.h"
#include "fighatch/request_action.h"
#include "fighatch/request_event.h"
#include "fighatch/request_id.h"
#include "fighatch/request_journal.h"
#include "fighatch/target_allowance.h"
#include "fighatch/target_picker.h"

namespace fighatch {

/// What a shard of a balancer's request engine is set up with.
struct RequestEngineSettings {
  HostId m_host;
  Incarnation m_incarnation;
  std::uint32_t m_shard = 0;
  /// Equal on all balancers, since a shard hands over to the shard of the same number.
  std::uint32_t m_shard_count = 1;
  RequestIdKey m_key{};
  std::optional<RequestIdKey> m_previous_key;
  JournalLimits m_journal;
  /// Requests of one service that wait for a token.
  std::size_t m_queue_limit = 256;
  /// Requests in progress of all services, with those forwarded.
  std::size_t m_call_limit = 100'000;
  /// Size of a part of a handover. It keeps a part well below the 64 KiB limit of a message, also with an answer of
  /// 16 KiB at its end.
  std::size_t m_handover_part_bytes = 32UL * 1024;
  /// False admits every request; only for measurements against a baseline.
  bool m_limit_admission = true;
  /// False retries without a budget; only for measurements against a baseline.
  bool m_limit_retries = true;
};

/// Counts since the start of the engine.
struct RequestStatistics {
  /// Requests that this engine was the one to dispatch, without resends.
  std::uint64_t m_requests = 0;
  std::uint64_t m_dispatches = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  /// Responses, failures and answers that came for nothing in progress.
  std::uint64_t m_late_events = 0;
  /// Responses that named another request than the one of their exchange.
  std::uint64_t m_mismatched_responses = 0;
};

/// The shard of a balancer that owns the request of an id.
[[nodiscard]] constexpr std::uint32_t ShardOf(const RequestId& id, std::uint32_t shard_count) noexcept {
  return static_cast<std::uint32_t>(id.m_counter % shard_count);
}

class RequestEngineState;

/// The state machine of one balancer shard for services in request mode. It has no sockets, clocks or threads: an event
/// goes in with the time, and actions come out that the caller carries out in order.
///
/// \code
/// RequestEngine engine(settings, &allowance, MakeLeastInProgress(), &random);
/// engine.Handle(now, ServiceChanged{service});
/// engine.Handle(now, TargetsChanged{service.m_id, targets});
/// for (const RequestAction& action : engine.Handle(now, CallerRequest{caller, address, service.m_id, request})) {
///   CarryOut(action);
/// }
/// \endcode
class RequestEngine {
 public:
  /// `allowance` and `random` must outlive the engine.
  RequestEngine(const RequestEngineSettings& settings, TargetAllowance* allowance,
                std::unique_ptr<PickStrategy> strategy, Random* random);
  ~RequestEngine();
  RequestEngine(const RequestEngine&) = delete;
  RequestEngine& operator=(const RequestEngine&) = delete;

  /// Takes one event. Times must not go back.
  [[nodiscard]] RequestActions Handle(TimePoint now, RequestEvent event);

  /// True after `StopRequested` once nothing is in progress and the successor has confirmed every part.
  [[nodiscard]] bool IsDrained() const noexcept;

  /// Requests in progress, with those forwarded.
  [[nodiscard]] std::size_t CallsInProgress() const noexcept;
  /// Exchanges with targets in progress; each holds a token.
  [[nodiscard]] std::size_t ExchangesInProgress() const noexcept;
  [[nodiscard]] std::size_t JournalEntries() const noexcept;
  [[nodiscard]] const RequestStatistics& Statistics() const noexcept;

 private:
  std::unique_ptr<RequestEngineState> m_state;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ENGINE_H_
