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

/// Configuration of one shard of a balancer's request engine.
struct RequestEngineSettings {
  HostId m_host;
  Incarnation m_incarnation;
  std::uint32_t m_shard = 0;
  /// Must be equal on all balancers, since a shard hands over to the shard of the same number.
  std::uint32_t m_shard_count = 1;
  RequestIdKey m_key{};
  std::optional<RequestIdKey> m_previous_key;
  JournalLimits m_journal;
  /// Maximum number of queued requests of one service, which wait for a token.
  std::size_t m_queue_limit = 256;
  /// Maximum number of requests in progress over all services, including forwarded ones.
  std::size_t m_call_limit = 100'000;
  /// Target size of one handover part. It keeps a part well below the 64 KiB limit of a message, even with an answer
  /// of 16 KiB as its last record.
  std::size_t m_handover_part_bytes = 32UL * 1024;
  /// False admits every request; only for baseline measurements.
  bool m_limit_admission = true;
  /// False retries without a budget; only for baseline measurements.
  bool m_limit_retries = true;
};

/// Counters since the start of the engine.
struct RequestStatistics {
  /// Requests that this engine was responsible for dispatching, without resends.
  std::uint64_t m_requests = 0;
  std::uint64_t m_dispatches = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  /// Responses, failures and forwarded answers for an exchange or request that is no longer in progress.
  std::uint64_t m_late_events = 0;
  /// Responses whose request id or `X-Request-Id` is not that of the request of their exchange.
  std::uint64_t m_mismatched_responses = 0;
};

/// The shard that handles the request with this id.
[[nodiscard]] constexpr std::uint32_t ShardOf(const RequestId& id, std::uint32_t shard_count) noexcept {
  return static_cast<std::uint32_t>(id.m_counter % shard_count);
}

class RequestEngineState;

/// State machine of one balancer shard for services in request mode: admits, queues, dispatches, retries and answers
/// requests, and keeps a non-idempotent request from being run twice. It has no sockets, clocks or threads: each event
/// is passed in with the current time, and the returned actions must be executed in order.
///
/// \code
/// RequestEngine engine(settings, &allowance, MakeLeastInProgress(), &random);
/// engine.Handle(now, ServiceChanged{service});
/// engine.Handle(now, TargetsChanged{service.m_id, targets});
/// for (const RequestAction& action : engine.Handle(now, CallerRequest{caller, address, service.m_id, request})) {
///   PerformAction(action);
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

  /// Processes one event. `now` must not decrease between calls.
  [[nodiscard]] RequestActions Handle(TimePoint now, RequestEvent event);

  /// True after `StopRequested` once no request is in progress and the successor has acknowledged every handover part.
  [[nodiscard]] bool IsDrained() const noexcept;

  /// Requests in progress, including forwarded ones.
  [[nodiscard]] std::size_t CallsInProgress() const noexcept;
  /// Exchanges with targets in progress. Each holds one token.
  [[nodiscard]] std::size_t ExchangesInProgress() const noexcept;
  [[nodiscard]] std::size_t JournalEntries() const noexcept;
  [[nodiscard]] const RequestStatistics& Statistics() const noexcept;

 private:
  std::unique_ptr<RequestEngineState> m_state;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ENGINE_H_
