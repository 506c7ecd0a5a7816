#ifndef FIGHATCH_TARGET_ALLOWANCE_H_
#define FIGHATCH_TARGET_ALLOWANCE_H_

#include <cstdint>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// Interface to the leased tokens that a balancer holds, each of which allows one request in progress at a target.
class TargetAllowance {
 public:
  virtual ~TargetAllowance() = default;

  /// Tokens of the target that can be taken now: held under a valid lease and not in use.
  [[nodiscard]] virtual std::uint32_t Available(TargetId target, TimePoint now) const = 0;

  /// Takes a token for a request; false if none is available.
  [[nodiscard]] virtual bool Take(TargetId target, TimePoint now) = 0;

  /// Returns a token after the request has ended at the target.
  virtual void Return(TargetId target, TimePoint now) = 0;

  /// Reports how many requests of the service wait for a token, so that more tokens are requested.
  virtual void ReportDemand(ServiceId service, std::uint32_t waiting, TimePoint now) = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_ALLOWANCE_H_
