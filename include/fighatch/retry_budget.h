#ifndef FIGHATCH_RETRY_BUDGET_H_
#define FIGHATCH_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace fighatch {

/// Limits the retries of a service to a tenth of its requests: a token bucket that starts empty and gains a tenth of a
/// token with each request.
class RetryBudget {
 public:
  /// Adds a tenth of a token for a new request.
  void OnRequest() noexcept { m_tenths = std::min(m_tenths + 1, kMaxTenths); }

  /// Takes a token for a retry; false if there is none.
  [[nodiscard]] bool Take() noexcept {
    if (m_tenths < kTenthsPerRetry) return false;
    m_tenths -= kTenthsPerRetry;
    return true;
  }

 private:
  static constexpr std::uint32_t kTenthsPerRetry = 10;
  /// Limits a burst of retries after a long time without failures to 100.
  static constexpr std::uint32_t kMaxTenths = 1000;

  std::uint32_t m_tenths = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_RETRY_BUDGET_H_
