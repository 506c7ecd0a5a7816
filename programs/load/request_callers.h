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

  RequestCallers(const RequestWorkload& workload, CallerEndpoints* endpoints, PacketSink sink, std::uint64_t seed,
                 Time start, Time stop);

  /// Sends what is due; returns the time of the next work.
  Time Advance(Time now);

  /// Takes an answer; false if it belongs to none of these requests.
  bool Receive(const InnerPacket& packet, Time now);

  [[nodiscard]] bool IsDone() const noexcept { return m_pending.empty() && m_schedule.IsDone(); }
  [[nodiscard]] const ServiceReport& Report() const noexcept { return m_report; }
  /// Counts requests that are still open as unanswered.
  void GiveUp(Time now);

 private:
  struct Pending {
    Endpoint m_source;
    std::string m_token;
    HttpRequest m_request;
    Time m_intended;
    Time m_due;
    Time m_give_up;
    /// True once the entry was sent again after a refusal that said "not run".
    bool m_sent_again = false;
    std::string m_former_token;
  };

  struct Due {
    Time m_time;
    std::uint64_t m_request;
    friend bool operator>(const Due& left, const Due& right) { return left.m_time > right.m_time; }
  };

  struct SpareId {
    std::string m_id;
    Time m_received;
  };

  void Open(Time intended, Time now);
  void Send(std::uint64_t id, Pending& pending, Time now);
  void TakeAnswer(std::uint64_t id, Pending& pending, const HttpResponse& response, Time now);
  void SendAgain(std::uint64_t id, Pending& pending, const std::string& next_id, Time now);
  void CountCode(const HttpResponse& response);
  /// Remembers the refused id, so that a record under it at a target shows as a false refusal.
  void NoteRefusal(const Pending& pending, const HttpResponse& response);
  void CheckAnswer(const Pending& pending, const HttpResponse& response);
  void Finish(std::uint64_t id, bool good, Time now);
  [[nodiscard]] std::string TakeSpareId(Time now);

  RequestWorkload m_workload;
  CallerEndpoints* m_endpoints;
  PacketSink m_sink;
  Random m_random;
  OpenLoop m_schedule;
  std::unordered_map<std::uint64_t, Pending> m_pending;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
  std::deque<SpareId> m_spare_ids;
  ServiceReport m_report;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_REQUEST_CALLERS_H_
