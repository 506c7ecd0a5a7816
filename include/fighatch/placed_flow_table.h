#ifndef FIGHATCH_PLACED_FLOW_TABLE_H_
#define FIGHATCH_PLACED_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fighatch/cookie_packet.h"
#include "fighatch/ids.h"
#include "fighatch/open_request.h"
#include "fighatch/time.h"

namespace fighatch {

/// A flow that this balancer has placed at a target.
struct PlacedFlow {
  TargetId m_target;
  TimePoint m_placed;
  TimePoint m_last_packet;
  /// Flows known at the target when this one was placed there, this one included.
  std::uint32_t m_load_at_placement = 1;
  /// False until a packet shows that the target has answered the opening packet.
  bool m_established = false;
  /// True while the flow counts as load of its target.
  bool m_counts_as_load = true;
  /// Time from placing the flow to the packet that showed that the target has answered.
  Duration m_opened_after{0};
  /// The following members are only used for placement by remaining work: the request in progress, whose route is that
  /// of the flow.
  OpenRequest m_request;
  bool m_in_request = false;
  /// True if the request found a free slot, as far as this balancer knew.
  bool m_found_free_slot = false;
  /// When the last new data of the request was forwarded.
  TimePoint m_last_data;
  /// Sequence number of that data.
  std::uint32_t m_last_sequence = 0;
  /// Number of requests that the flow has carried.
  std::uint32_t m_requests = 0;
};

/// The flows that a balancer has placed, kept to count the load of targets and to handle retransmitted opening packets.
/// It is not needed for correctness: the packets of a flow find their target by the cookie. Beyond `kMaxFlows` new
/// flows are not recorded.
class PlacedFlowTable {
 public:
  static constexpr std::size_t kMaxFlows = 65536;

  /// The flow with these endpoints; null if it is not known. The pointer is valid until the next call that adds or
  /// removes a flow.
  [[nodiscard]] PlacedFlow* Find(const FlowEndpoints& endpoints);

  [[nodiscard]] bool Contains(const FlowEndpoints& endpoints) const { return m_flows.contains(endpoints); }

  /// Adds or replaces a flow; false if the table is full.
  bool Put(const FlowEndpoints& endpoints, const PlacedFlow& flow);

  /// Removes and returns a flow; empty if it is not known.
  std::optional<PlacedFlow> Take(const FlowEndpoints& endpoints);

  /// Calls `visit` with a pointer to each flow, which it may modify.
  template <typename Visitor>
  void ForEach(const Visitor& visit) {
    for (auto& [endpoints, flow] : m_flows) visit(&flow);
  }

  /// Removes and returns the flows without a packet for longer than `idle`.
  [[nodiscard]] std::vector<PlacedFlow> RemoveIdle(TimePoint now, Duration idle);

  [[nodiscard]] std::size_t Size() const noexcept { return m_flows.size(); }

 private:
  std::unordered_map<FlowEndpoints, PlacedFlow> m_flows;
};

}  // namespace fighatch

#endif  // FIGHATCH_PLACED_FLOW_TABLE_H_
