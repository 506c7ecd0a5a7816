#ifndef FIGHATCH_OPEN_REQUEST_H_
#define FIGHATCH_OPEN_REQUEST_H_

#include <cstdint>

#include "fighatch/time.h"

namespace fighatch {

/// A request in progress that this balancer has forwarded.
struct OpenRequest {
  /// Index of the request's route in the `WorkEstimator`.
  std::uint32_t m_route = 0;
  /// When the target is expected to have begun with it.
  TimePoint m_started;

  friend bool operator==(const OpenRequest&, const OpenRequest&) = default;
};

}  // namespace fighatch

#endif  // FIGHATCH_OPEN_REQUEST_H_
