#ifndef FIGHATCH_BALANCER_FLOW_EXPLANATION_H_
#define FIGHATCH_BALANCER_FLOW_EXPLANATION_H_

#include <cstdint>

#include "fighatch/decision.h"
#include "fighatch/flow_decider.h"

namespace fighatch::daemon {

/// Where a later packet of an open flow would go by the decider's table and records, for the operator's explain query.
/// Unlike `FlowDecider::Decide`, it changes nothing: it neither refreshes a record nor delays the end of a transition.
/// It ignores whether the table is stale or a keeper is suspect. Failures are returned as a decision with an error
/// code.
[[nodiscard]] Decision ExplainFlow(const FlowDecider& decider, const FlowKey& key, std::uint64_t flow_hash);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_FLOW_EXPLANATION_H_
