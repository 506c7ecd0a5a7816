#ifndef FIGHATCH_RAMP_H_
#define FIGHATCH_RAMP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/target_facts.h"
#include "fighatch/time.h"

namespace fighatch {

/// Shares of the capacity on the ramp, in sixteenths: 1/8, 1/4, 1/2, 1.
inline constexpr std::array<std::uint16_t, 4> kRampSixteenths = {2, 4, 8, 16};
/// Time without a shed after which the next step is taken.
inline constexpr Duration kRampStepTime = std::chrono::seconds(2);
/// Pause of a target that shed its single token; it doubles up to the limit.
inline constexpr Duration kFirstShedPause = std::chrono::seconds(1);
inline constexpr Duration kLongestShedPause = std::chrono::seconds(8);

/// How much of its capacity a target may be given. It starts cold, rises in steps, and falls back on signs of a cold
/// start: a new incarnation, sheds, latency over four times its moving median, or an uptime that went back.
class Ramp {
 public:
  /// Starts cold for an incarnation; does nothing if this incarnation is known.
  void Begin(Incarnation incarnation, TimePoint now);

  /// Starts at a known step (index into `kRampSixteenths`), after the coordinator has changed.
  void Resume(Incarnation incarnation, std::size_t step, TimePoint now);

  /// The target has answered a health check since its incarnation began.
  void OnHealthy(TimePoint now);

  /// The target refused work. Sheds within one lease renewal count as one.
  void OnShed(std::uint32_t capacity, TimePoint now);

  /// A request took this long. Three values in a row over four times the median count as a fall back to cold start: a
  /// single slow request is common.
  void OnLatency(Duration latency, TimePoint now);

  /// An announcement reported this load.
  void OnLoad(const TargetLoad& load, TimePoint now);

  /// Takes a step up if one is due.
  void Tick(TimePoint now);

  /// Tokens of the target: `max(1, floor(capacity x step))`, or 0 before its first health check and during a pause.
  [[nodiscard]] std::uint32_t Allowance(std::uint32_t capacity, TimePoint now) const noexcept;

  /// Weight of the target in its owner table, in sixteenths; 0 before its first health check.
  [[nodiscard]] std::uint16_t Weight() const noexcept { return m_healthy ? kRampSixteenths[m_step] : std::uint16_t{0}; }

  [[nodiscard]] Incarnation CurrentIncarnation() const noexcept { return m_incarnation; }
  [[nodiscard]] bool IsHealthy() const noexcept { return m_healthy; }

 private:
  void ResetToFirstStep(TimePoint now);
  [[nodiscard]] Duration MedianLatency() const;

  Incarnation m_incarnation;
  std::size_t m_step = 0;
  TimePoint m_step_since;
  bool m_healthy = false;
  TargetLoad m_load;
  bool m_shed_seen = false;
  TimePoint m_last_shed;
  TimePoint m_paused_until;
  Duration m_next_pause = kFirstShedPause;
  std::vector<Duration> m_latencies;
  std::size_t m_next_latency = 0;
  std::uint32_t m_consecutive_slow = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_RAMP_H_
