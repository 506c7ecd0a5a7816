#ifndef FIGHATCH_TARGET_HEALTH_H_
#define FIGHATCH_TARGET_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// Detects targets that fail or have gone silent from the balancer's own requests.
class TargetHealth {
 public:
  /// A whole response arrived, whatever its status.
  void OnResponse(TargetId target) { m_targets.erase(target); }

  /// A connection failed or a request timed out. Three in a row set the target aside for 1 s, doubling to 8 s.
  void OnFailure(TargetId target, TimePoint now);

  /// Forgets a target that left.
  void Remove(TargetId target) { m_targets.erase(target); }

  /// True while the target is set aside. Once the pause is over it is tried again, and one failure sets it aside.
  [[nodiscard]] bool IsEjected(TargetId target, TimePoint now) const noexcept;

 private:
  struct Record {
    std::uint32_t m_failures = 0;
    TimePoint m_ejected_until;
    Duration m_next_ejection{};
  };

  std::unordered_map<TargetId, Record> m_targets;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_HEALTH_H_
