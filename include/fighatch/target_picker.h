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

/// A target that may take a request now.
struct TargetCandidate {
  TargetId m_target;
  /// Requests in progress that this balancer sent.
  std::uint32_t m_in_progress = 0;
  /// Tokens of the target that can be taken now.
  std::uint32_t m_available = 0;
  /// The load that the target reported last, in requests in progress.
  double m_reported_load = 0;
  /// True if the target's announcements are missing.
  bool m_suspect = false;
};

/// Chooses among candidates. Strategies are small objects, so that a benchmark runs several in one program.
class PickStrategy {
 public:
  virtual ~PickStrategy() = default;
  /// The index of the chosen candidate; `candidates` is never empty.
  [[nodiscard]] virtual std::size_t Pick(std::span<const TargetCandidate> candidates, Random* random) = 0;
};

/// Least in progress by own count; ties go to the lower bounded report of two random choices.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeLeastInProgress();
/// Baseline: any candidate.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeRandomPick();
/// Baseline: candidates in turn.
[[nodiscard]] std::unique_ptr<PickStrategy> MakeRoundRobin();
/// Baseline: the lower report, as it is, of two random choices.
[[nodiscard]] std::unique_ptr<PickStrategy> MakePowerOfTwoChoices();

/// A report held against what the balancer sees: at least its own requests, at most those and the typical report above
/// it, so that one target that lies or reports late neither draws nor repels the load.
[[nodiscard]] double BoundedLoad(const TargetCandidate& candidate, double median_excess) noexcept;

/// Chooses a target for a request from those with tokens: targets in good health first, others rather than none.
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
