#ifndef FIGHATCH_DAEMON_FLOW_EXPLANATION_H_
#define FIGHATCH_DAEMON_FLOW_EXPLANATION_H_

#include <cstdint>

#include "fighatch/decision.h"
#include "fighatch/flow_decider.h"

namespace fighatch::daemon {

/// Where a later packet of the flow would go by the decider's table and records. Unlike `FlowDecider::Decide` it
/// neither refreshes records nor counts as a packet that keeps a transition open. Staleness and suspect keepers are
/// left aside.
[[nodiscard]] Decision ExplainFlow(const FlowDecider& decider, const FlowKey& key, std::uint64_t flow_hash);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_FLOW_EXPLANATION_H_
