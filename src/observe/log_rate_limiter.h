#ifndef FIGHATCH_OBSERVE_LOG_RATE_LIMITER_H_
#define FIGHATCH_OBSERVE_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace fighatch::observe {

/// Limits the rate of log lines with a token bucket that holds one second's worth of lines, so that a burst of
/// decisions costs no more logging than a steady flow of them. Suppressed lines are counted. Not thread-safe.
///
/// \code
/// if (m_lines.Allow()) LOG(INFO) << "event=placed ... suppressed=" << m_lines.TakeSuppressed();
/// \endcode
class LogRateLimiter {
 public:
  explicit LogRateLimiter(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second),
        m_tokens(lines_per_second),
        m_last_refill(std::chrono::steady_clock::now()) {}

  /// Takes a token and returns true if a line may be logged now; otherwise counts the line as suppressed.
  [[nodiscard]] bool Allow() {
    const auto now = std::chrono::steady_clock::now();
    m_tokens = std::min(m_lines_per_second,
                        m_tokens + std::chrono::duration<double>(now - m_last_refill).count() * m_lines_per_second);
    m_last_refill = now;
    if (m_tokens >= 1) {
      m_tokens -= 1;
      return true;
    }
    ++m_suppressed;
    return false;
  }

  /// Number of lines suppressed since the last call; resets the count.
  [[nodiscard]] std::uint64_t TakeSuppressed() {
    const std::uint64_t suppressed = m_suppressed;
    m_suppressed = 0;
    return suppressed;
  }

 private:
  double m_lines_per_second;
  double m_tokens;
  std::chrono::steady_clock::time_point m_last_refill;
  std::uint64_t m_suppressed = 0;
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_LOG_RATE_LIMITER_H_
