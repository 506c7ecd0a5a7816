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
/// Pause of a target that shed a request while its allowance was one token; it doubles with each such shed up to the
/// limit.
inline constexpr Duration kFirstShedPause = std::chrono::seconds(1);
inline constexpr Duration kLongestShedPause = std::chrono::seconds(8);

/// Slow start of a target: the share of its capacity that the coordinator may grant. It starts at the first step and
/// rises in steps. Each shed takes it back one step; signs of a cold start take it back to the first one: a new
/// incarnation, latency over four times its moving median, or an uptime that decreased.
class Ramp {
 public:
  /// Starts at the first step for a new incarnation; does nothing for the current one.
  void Begin(Incarnation incarnation, TimePoint now);

  /// Continues at the step (index into `kRampSixteenths`) that the former coordinator published.
  void Resume(Incarnation incarnation, std::size_t step, TimePoint now);

  /// Records that the target has answered a health check since its incarnation began.
  void OnHealthy(TimePoint now);

  /// Records that the target refused a request. Sheds within one lease renewal count as one.
  void OnShed(std::uint32_t capacity, TimePoint now);

  /// Records the latency of requests. Three values in a row over four times the median count as a cold start, because a
  /// single slow request is common.
  void OnLatency(Duration latency, TimePoint now);

  /// Records the load of an announcement; an uptime below the last one counts as a cold start.
  void OnLoad(const TargetLoad& load, TimePoint now);

  /// Advances to the next step if it is due.
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
