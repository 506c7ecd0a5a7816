#include "fighatch/target_picker.h"

#include <algorithm>

namespace fighatch {
namespace {

/// The median over the candidates of the load that they report beyond this balancer's own requests.
double MedianExcess(std::span<const TargetCandidate> candidates) {
  std::vector<double> excess;
  excess.reserve(candidates.size());
  for (const TargetCandidate& candidate : candidates) {
    excess.push_back(std::max(0.0, candidate.m_reported_load - candidate.m_in_progress));
  }
  const auto middle = excess.begin() + static_cast<std::ptrdiff_t>((excess.size() - 1) / 2);
  std::nth_element(excess.begin(), middle, excess.end());
  return *middle;
}

/// Two different random indices below `count`, or the same one twice if `count` is 1.
std::pair<std::size_t, std::size_t> TwoChoices(std::size_t count, Random* random) {
  const std::size_t first = random->Below(count);
  if (count == 1) return {first, first};
  const std::size_t second = (first + 1 + random->Below(count - 1)) % count;
  return {first, second};
}

class LeastInProgress : public PickStrategy {
 public:
  std::size_t Pick(std::span<const TargetCandidate> candidates, Random* random) override {
    CollectLeast(candidates);
    const auto [first, second] = TwoChoices(m_least.size(), random);
    const double median_excess = MedianExcess(candidates);
    const double first_load = BoundedLoad(candidates[m_least[first]], median_excess);
    const double second_load = BoundedLoad(candidates[m_least[second]], median_excess);
    return second_load < first_load ? m_least[second] : m_least[first];
  }

 private:
  void CollectLeast(std::span<const TargetCandidate> candidates) {
    m_least.clear();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      const std::uint32_t in_progress = candidates[index].m_in_progress;
      if (!m_least.empty() && in_progress > candidates[m_least[0]].m_in_progress) continue;
      if (!m_least.empty() && in_progress < candidates[m_least[0]].m_in_progress) m_least.clear();
      m_least.push_back(index);
    }
  }

  std::vector<std::size_t> m_least;
};

class RandomPick : public PickStrategy {
 public:
  std::size_t Pick(std::span<const TargetCandidate> candidates, Random* random) override {
    return random->Below(candidates.size());
  }
};

class RoundRobin : public PickStrategy {
 public:
  std::size_t Pick(std::span<const TargetCandidate> candidates, Random* /*random*/) override {
    return m_next++ % candidates.size();
  }

 private:
  std::size_t m_next = 0;
};

class PowerOfTwoChoices : public PickStrategy {
 public:
  std::size_t Pick(std::span<const TargetCandidate> candidates, Random* random) override {
    const auto [first, second] = TwoChoices(candidates.size(), random);
    return candidates[second].m_reported_load < candidates[first].m_reported_load ? second : first;
  }
};

}  // namespace

std::unique_ptr<PickStrategy> MakeLeastInProgress() { return std::make_unique<LeastInProgress>(); }
std::unique_ptr<PickStrategy> MakeRandomPick() { return std::make_unique<RandomPick>(); }
std::unique_ptr<PickStrategy> MakeRoundRobin() { return std::make_unique<RoundRobin>(); }
std::unique_ptr<PickStrategy> MakePowerOfTwoChoices() { return std::make_unique<PowerOfTwoChoices>(); }

double BoundedLoad(const TargetCandidate& candidate, double median_excess) noexcept {
  const double own = candidate.m_in_progress;
  return std::clamp(candidate.m_reported_load, own, own + 2 * median_excess + 1);
}

std::optional<TargetId> TargetPicker::Pick(std::span<const TargetCandidate> candidates, const TargetHealth& health,
                                           TimePoint now, Random* random) {
  m_usable.clear();
  for (const TargetCandidate& candidate : candidates) {
    if (candidate.m_available == 0 || candidate.m_suspect) continue;
    if (!health.IsEjected(candidate.m_target, now)) m_usable.push_back(candidate);
  }
  if (m_usable.empty()) {
    for (const TargetCandidate& candidate : candidates) {
      if (candidate.m_available > 0) m_usable.push_back(candidate);
    }
  }
  if (m_usable.empty()) return std::nullopt;
  return m_usable[m_strategy->Pick(m_usable, random)].m_target;
}

}  // namespace fighatch
