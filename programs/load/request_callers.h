#ifndef FIGHATCH_PROGRAMS_LOAD_REQUEST_CALLERS_H_
#define FIGHATCH_PROGRAMS_LOAD_REQUEST_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/http_message.h"
#include "fighatch/random.h"
#include "flow_callers.h"
#include "open_loop.h"

namespace fighatch::load {

/// Simulates the callers of one service in request mode: sends lookups and non-idempotent entries at a fixed rate,
/// resends requests that get no response, and checks that each response is complete and belongs to its request. Sends
/// through the packet sink; has no thread or timer of its own, so the owner calls `Advance` and `Receive`.
class RequestCallers {
 public:
  using Time = std::chrono::steady_clock::time_point;

  RequestCallers(const RequestWorkload& workload, CallerEndpointAllocator* endpoints, PacketSink sink,
                 std::uint64_t seed, Time start, Time stop);

  /// Starts and resends the requests that are due; returns when it must be called next.
  Time Advance(Time now);

  /// Processes a packet for a caller; false if it belongs to none of these requests.
  bool Receive(const InnerPacket& packet, Time now);

  [[nodiscard]] bool IsDone() const noexcept { return m_pending.empty() && m_schedule.IsDone(); }
  [[nodiscard]] const ServiceReport& Report() const noexcept { return m_report; }
  /// Counts requests that are still pending at the end of the run as unanswered.
  void FailUnfinished(Time now);

 private:
  struct PendingRequest {
    Endpoint m_source;
    /// Value of `X-Request-Id`, by which a response is matched to its request.
    std::string m_token;
    HttpRequest m_request;
    Time m_intended_start;
    /// Due time of the current timer; a timer with another time is obsolete.
    Time m_timer_due;
    Time m_response_deadline;
    /// True once the entry was sent again after a "not-run" response, under a new token.
    bool m_is_retry = false;
    std::string m_previous_token;
  };

  struct Timer {
    Time m_time;
    std::uint64_t m_request;
    friend bool operator>(const Timer& left, const Timer& right) { return left.m_time > right.m_time; }
  };

  /// A request id that a response carried and no entry has used yet.
  struct UnusedKey {
    std::string m_key;
    Time m_received;
  };

  void StartRequest(Time intended, Time now);
  void Send(std::uint64_t id, PendingRequest& pending, Time now);
  void HandleResponse(std::uint64_t id, PendingRequest& pending, const HttpResponse& response, Time now);
  void RetryWithNewKey(std::uint64_t id, PendingRequest& pending, const std::string& next_key, Time now);
  void CountErrorCode(const HttpResponse& response);
  /// Counts a "not-run" response and reports the idempotency key of its entry. A target that holds a record under such
  /// a key shows that the response was false.
  void RecordNotRunResponse(const PendingRequest& pending, const HttpResponse& response);
  void CheckResponse(const PendingRequest& pending, const HttpResponse& response);
  void Finish(std::uint64_t id, bool succeeded, Time now);
  [[nodiscard]] std::string TakeUnusedKey(Time now);

  RequestWorkload m_workload;
  CallerEndpointAllocator* m_endpoints;
  PacketSink m_sink;
  Random m_random;
  OpenLoopSchedule m_schedule;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  std::deque<UnusedKey> m_unused_keys;
  ServiceReport m_report;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_REQUEST_CALLERS_H_
