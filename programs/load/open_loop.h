#ifndef FIGHATCH_PROGRAMS_LOAD_OPEN_LOOP_H_
#define FIGHATCH_PROGRAMS_LOAD_OPEN_LOOP_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace fighatch::load {

/// Start times of an open-loop workload: a fixed rate from start to stop, independent of the responses. If the load
/// generator falls behind, it starts work late but latencies still count from the intended times.
class OpenLoopSchedule {
 public:
  using Time = std::chrono::steady_clock::time_point;

  OpenLoopSchedule(double rate, Time start, Time stop)
      : m_rate(rate), m_start(start), m_stop(rate > 0 ? stop : start), m_next(start) {}

  /// Returns the next intended time and advances to the one after it; empty if it is later than `now` or
  /// the workload has ended.
  [[nodiscard]] std::optional<Time> TakeDue(Time now) {
    if (m_next > now || IsDone()) return std::nullopt;
    const Time due = m_next;
    ++m_taken;
    const std::chrono::duration<double> offset(static_cast<double>(m_taken) / m_rate);
    m_next = m_start + std::chrono::duration_cast<Time::duration>(offset);
    return due;
  }

  /// The next intended time; the clock's maximum after the last one.
  [[nodiscard]] Time Next() const { return IsDone() ? Time::max() : m_next; }
  [[nodiscard]] bool IsDone() const { return m_next >= m_stop; }
  /// Number of start times that `TakeDue` has returned.
  [[nodiscard]] std::uint64_t TakenCount() const { return m_taken; }
  [[nodiscard]] Time Start() const { return m_start; }

 private:
  double m_rate;
  Time m_start;
  Time m_stop;
  Time m_next;
  std::uint64_t m_taken = 0;
};

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_OPEN_LOOP_H_
