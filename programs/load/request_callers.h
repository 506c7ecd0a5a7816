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

/// Callers of one record service: sends lookups and non-idempotent entries at a fixed rate, resends what stays without
/// an answer, and checks that each answer is whole and belongs to its request.
class RequestCallers {
 public:
  using Time = std::chrono::steady_clock::time_point;

  RequestCallers(const RequestWorkload& workload, CallerEndpointAllocator* endpoints, PacketSink sink,
                 std::uint64_t seed, Time start, Time stop);

  /// Sends what is due; returns the time of the next work.
  Time Advance(Time now);

  /// Takes an answer; false if it belongs to none of these requests.
  bool Receive(const InnerPacket& packet, Time now);

  [[nodiscard]] bool IsDone() const noexcept { return m_pending.empty() && m_schedule.IsDone(); }
  [[nodiscard]] const ServiceReport& Report() const noexcept { return m_report; }
  /// Counts requests that are still open as unanswered.
  void FailUnfinished(Time now);

 private:
  struct PendingRequest {
    Endpoint m_source;
    std::string m_token;
    HttpRequest m_request;
    Time m_intended_start;
    Time m_timer_due;
    Time m_response_deadline;
    /// True once the entry was sent again after a refusal that said "not run".
    bool m_is_retry = false;
    std::string m_previous_token;
  };

  struct Timer {
    Time m_time;
    std::uint64_t m_request;
    friend bool operator>(const Timer& left, const Timer& right) { return left.m_time > right.m_time; }
  };

  struct UnusedKey {
    std::string m_key;
    Time m_received;
  };

  void StartRequest(Time intended, Time now);
  void Send(std::uint64_t id, PendingRequest& pending, Time now);
  void HandleResponse(std::uint64_t id, PendingRequest& pending, const HttpResponse& response, Time now);
  void RetryWithNewKey(std::uint64_t id, PendingRequest& pending, const std::string& next_key, Time now);
  void CountErrorCode(const HttpResponse& response);
  /// Remembers the refused id, so that a record under it at a target shows as a false refusal.
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
