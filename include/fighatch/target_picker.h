#ifndef FIGHATCH_TARGET_PICKER_H_
#define FIGHATCH_TARGET_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/random.h"
#include "fighatch/target_health.h"

namespace fighatch {

/// A target that a request may be dispatched to, with the load known about it.
struct TargetCandidate {
  TargetId m_target;
  /// Requests in progress that this balancer sent.
  std::uint32_t m_in_progress = 0;
  /// Tokens of the target that are available now.
  std::uint32_t m_available = 0;
  /// The target's latest load report, in requests in progress.
  double m_reported_load = 0;
  /// True if the target's announcements are overdue.
  bool m_suspect = false;
};

/// Load-balancing policy: chooses one of the candidates. It is an object, so that a benchmark can compare several
/// policies in one program.
class PickStrategy {
 public:
  virtual ~PickStrategy() = default;
  /// The index of the chosen candidate; `candidates` is never empty.
  [[nodiscard]] virtual std::size_t Pick(std::span<const TargetCandidate> candidates, Random* random) = 0;
};

/// Fewest requests in progress from this balancer. Ties are broken by two random choices and the lower `BoundedLoad`.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeLeastInProgress();
/// Baseline: a random candidate.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeRandomPick();
/// Baseline: the candidates in rotation.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeRoundRobin();
/// Baseline: the lower reported load of two random choices, without a bound on the report.
[[nodiscard]] std::unique_ptr<PickStrategy> MakePowerOfTwoChoices();

/// A target's reported load, clamped by what the balancer knows itself: at least its own requests to the target, at
/// most those plus 2 x `median_excess` + 1. So one target with false or outdated reports neither attracts nor repels
/// the load. `median_excess` is the median over the candidates of the load that they report beyond this balancer's own
/// requests.
[[nodiscard]] double BoundedLoad(const TargetCandidate& candidate, double median_excess) noexcept;

/// Chooses a target for a request among those with tokens: a healthy one if there is any, otherwise a suspect or
/// ejected one.
class TargetPicker {
 public:
  explicit TargetPicker(std::unique_ptr<PickStrategy> strategy) : m_strategy(std::move(strategy)) {}

  /// The chosen target; empty if no candidate has a token.
  [[nodiscard]] std::optional<TargetId> Pick(std::span<const TargetCandidate> candidates, const TargetHealth& health,
                                             TimePoint now, Random* random);

 private:
  std::unique_ptr<PickStrategy> m_strategy;
  std::vector<TargetCandidate> m_usable;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_PICKER_H_
