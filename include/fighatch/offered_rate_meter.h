#ifndef FIGHATCH_OFFERED_RATE_METER_H_
#define FIGHATCH_OFFERED_RATE_METER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fighatch/offered_load.h"
#include "fighatch/time.h"

namespace fighatch {

/// Measures the offered rate of new flows by service and priority, as a count that decays exponentially. It reads no
/// clock: each call gets the time. At most `kMaxOfferedRates` pairs of service and priority are measured; further ones
/// are ignored, as are services whose name exceeds `kMaxServiceNameBytes`.
class OfferedRateMeter {
 public:
  /// Time constant of the decay.
  static constexpr Duration kWindow = std::chrono::milliseconds(500);

  /// Counts `flows` new flows; a flow that may go to several services counts in part for each.
  void Count(TimePoint now, const std::string& service, std::uint32_t priority, double flows = 1);

  /// The present rates, in ascending order of service and priority. Pairs without a flow for ten windows are forgotten.
  [[nodiscard]] std::vector<OfferedRate> Rates(TimePoint now);

 private:
  struct DecayedCount {
    double m_flows = 0;
    TimePoint m_updated;
    TimePoint m_last_flow;
  };
  static void Decay(TimePoint now, DecayedCount* count);

  std::map<std::string, std::map<std::uint32_t, DecayedCount>> m_counts;
  // Number of pairs in `m_counts`.
  std::size_t m_size = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_OFFERED_RATE_METER_H_
