#ifndef FIGHATCH_RANDOM_H_
#define FIGHATCH_RANDOM_H_

#include <cstdint>
#include <limits>

namespace fighatch {

/// A seeded pseudo-random generator (SplitMix64) that satisfies UniformRandomBitGenerator. The caller passes it into
/// the core, so that a seed reproduces a run exactly. It is not cryptographically secure and must not be used for keys.
class Random {
 public:
  using result_type = std::uint64_t;  // NOLINT(readability-identifier-naming): name fixed by the standard.

  explicit Random(std::uint64_t seed) noexcept : m_state(seed) {}

  [[nodiscard]] static constexpr std::uint64_t min() noexcept { return 0; }  // NOLINT(readability-identifier-naming)
  // NOLINTNEXTLINE(readability-identifier-naming)
  [[nodiscard]] static constexpr std::uint64_t max() noexcept { return std::numeric_limits<std::uint64_t>::max(); }

  /// The next 64 random bits.
  std::uint64_t operator()() noexcept {
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
  }

  /// A random integer in [0, bound); 0 if `bound` is 0.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) noexcept { return bound == 0 ? 0 : (*this)() % bound; }

  /// A random real number in [0, 1).
  [[nodiscard]] double NextDouble() noexcept { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

 private:
  std::uint64_t m_state;
};

}  // namespace fighatch

#endif  // FIGHATCH_RANDOM_H_
