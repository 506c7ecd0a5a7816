#ifndef FIGHATCH_SERVICE_DEMAND_H_
#define FIGHATCH_SERVICE_DEMAND_H_

#include <cstdint>
#include <map>

namespace fighatch {

/// Demand for one service, summed over the balancers that have reported theirs.
struct ServiceDemand {
  /// Offered rate of new flows in flows per second, by priority of the route; 0 is the highest priority.
  std::map<std::uint32_t, double> m_flows_per_second;
  /// Number of balancers whose demand is included.
  std::uint32_t m_balancers = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_SERVICE_DEMAND_H_
