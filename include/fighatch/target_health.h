#ifndef FIGHATCH_TARGET_HEALTH_H_
#define FIGHATCH_TARGET_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// Passive health check (outlier ejection): detects targets that fail or no longer respond from the results of the
/// balancer's own requests.
class TargetHealth {
 public:
  /// A complete response arrived, whatever its status. It resets the target's failures and ends its ejection.
  void OnResponse(TargetId target) { m_targets.erase(target); }

  /// A connection failed or a request timed out. Three consecutive failures eject the target for 1 s; each further
  /// ejection lasts twice as long, up to 8 s.
  void OnFailure(TargetId target, TimePoint now);

  /// Removes the record of a target that left or was restarted.
  void Remove(TargetId target) { m_targets.erase(target); }

  /// True while the target is ejected. After that it gets requests again, and a single failure ejects it anew.
  [[nodiscard]] bool IsEjected(TargetId target, TimePoint now) const noexcept;

 private:
  struct Record {
    std::uint32_t m_failures = 0;
    TimePoint m_ejected_until;
    Duration m_next_ejection_time{};
  };

  std::unordered_map<TargetId, Record> m_targets;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_HEALTH_H_
