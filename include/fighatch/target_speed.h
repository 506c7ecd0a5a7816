#ifndef FIGHATCH_TARGET_SPEED_H_
#define FIGHATCH_TARGET_SPEED_H_

#include "fighatch/time.h"

namespace fighatch {

/// What one balancer has learned about the speed of a target. `WorkEstimator` fills it.
struct TargetSpeed {
  /// Number of samples, which halves with every `WorkEstimator::kSpeedHalfLife`.
  double m_samples = 0;
  /// Mean logarithm of a request's time divided by the typical time on its route; positive at a slow target.
  double m_mean_log_ratio = 0;
  /// When `m_samples` was last brought up to date.
  TimePoint m_updated;
  /// Speed relative to the average of the service, shrunk towards 1 the fewer samples there are.
  double m_speed = 1;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_SPEED_H_
