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
#include "fighatch/time.h"

namespace fighatch {

/// A flow that passes through this balancer.
struct PlacedFlow {
  TargetId m_target;
  TimePoint m_placed;
  TimePoint m_last_packet;
  /// Requests that the target had in progress or waiting when the flow was placed there, this one included.
  std::uint32_t m_load_at_placement = 1;
  /// False until a packet shows that the target has answered the opening packet.
  bool m_established = false;
  /// True while the flow counts as load of its target.
  bool m_counts_as_load = true;
};

/// Remembers where this balancer has placed flows, for counting load and for copies of opening packets. Nothing is
/// lost if it is: packets of a flow find their target by the cookie. Its size is limited; over the limit new flows are
/// not remembered.
class PlacedFlowTable {
 public:
  static constexpr std::size_t kMaxFlows = 65536;

  /// The flow with these ends; null if it is not known. The pointer is valid until the next call that adds or removes.
  [[nodiscard]] PlacedFlow* Find(const FlowEndpoints& endpoints);

  /// Adds or replaces a flow; false if there is no room.
  bool Put(const FlowEndpoints& endpoints, const PlacedFlow& flow);

  /// Removes and returns a flow.
  std::optional<PlacedFlow> Take(const FlowEndpoints& endpoints);

  /// Calls `visit` for each flow, which it may change.
  template <typename Visitor>
  void ForEach(const Visitor& visit) {
    for (auto& [endpoints, flow] : m_flows) visit(&flow);
  }

  /// Removes flows without a packet for `idle`, and returns them.
  [[nodiscard]] std::vector<PlacedFlow> RemoveIdle(TimePoint now, Duration idle);

  [[nodiscard]] std::size_t Size() const noexcept { return m_flows.size(); }

 private:
  std::unordered_map<FlowEndpoints, PlacedFlow> m_flows;
};

}  // namespace fighatch

#endif  // FIGHATCH_PLACED_FLOW_TABLE_H_
