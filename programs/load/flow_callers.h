#ifndef FIGHATCH_PROGRAMS_LOAD_FLOW_CALLERS_H_
#define FIGHATCH_PROGRAMS_LOAD_FLOW_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/inner_packet.h"
#include "load_settings.h"
#include "open_loop.h"
#include "report.h"

namespace fighatch::load {

/// Receives each inner packet that a caller sends.
using PacketSink = std::function<void(const std::vector<std::byte>& inner)>;

/// Allocates source endpoints for callers. Each is used once in a run: all ports of an address, then the next address.
class CallerEndpointAllocator {
 public:
  explicit CallerEndpointAllocator(const IpAddress& base) : m_base(base) {}

  [[nodiscard]] Endpoint Next();

 private:
  IpAddress m_base;
  std::uint32_t m_count = 0;
};

/// Simulates the callers of one service in flow mode: opens flows at a fixed rate, sends segments on each, checks that
/// all responses of a flow come from one target of the service, and counts flows that break. Sends through the packet
/// sink; has no thread or timer of its own, so the owner calls `Advance` and `Receive`.
class FlowCallers {
 public:
  using Time = std::chrono::steady_clock::time_point;

  FlowCallers(const FlowWorkload& workload, CallerEndpointAllocator* endpoints, PacketSink sink, Time start, Time stop);

  /// Opens the flows and sends the segments that are due; returns when it must be called next.
  Time Advance(Time now);

  /// Processes a packet for a caller; false if it belongs to none of these flows.
  bool Receive(const InnerPacket& packet, Time now);

  /// True when all flows of the run have been opened and have ended.
  [[nodiscard]] bool IsDone() const noexcept { return m_flows.empty() && m_schedule.IsDone(); }
  [[nodiscard]] const ServiceReport& Report() const noexcept { return m_report; }
  /// Ends the flows that are still open at the end of the run: as broken, or as failed to open if not established.
  void FailUnfinished(Time now);

 private:
  enum class State : std::uint8_t { kConnecting, kOpen, kClosing };

  struct Flow {
    Endpoint m_source;
    State m_state = State::kConnecting;
    std::uint32_t m_sequence = 1;
    std::uint32_t m_acknowledgement = 0;
    int m_attempts = 0;
    bool m_awaiting_response = false;
    /// Name of the target that answers the flow; empty until a response names it.
    std::string m_target;
    Time m_intended_start;
    Time m_sent;
    /// Due time of the current timer; a timer with another time is obsolete.
    Time m_timer_due;
    Time m_close_time;
  };

  struct Timer {
    Time m_time;
    std::uint64_t m_flow;
    friend bool operator>(const Timer& left, const Timer& right) { return left.m_time > right.m_time; }
  };

  void OpenFlow(Time intended);
  void HandleTimer(std::uint64_t id, Flow& flow, Time now);
  void Send(const Flow& flow);
  void SendFirstAttempt(std::uint64_t id, Flow& flow, Time now);
  void Schedule(std::uint64_t id, Flow& flow, Time due);
  void ReceiveOnOpenFlow(std::uint64_t id, Flow& flow, const InnerPacket& packet, Time now);
  void CheckTarget(Flow& flow, const InnerPacket& packet);
  void Finish(std::uint64_t id, bool succeeded, Time now);

  FlowWorkload m_workload;
  CallerEndpointAllocator* m_endpoints;
  PacketSink m_sink;
  OpenLoopSchedule m_schedule;
  std::unordered_map<std::uint64_t, Flow> m_flows;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  ServiceReport m_report;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_FLOW_CALLERS_H_
