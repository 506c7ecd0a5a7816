#include "fighatch/admission.h"

namespace fighatch {
namespace {

/// A new sample enters the moving mean with a weight of 1/16.
constexpr int kSampleDivisor = 16;

}  // namespace

void Admission::OnServiceTime(Duration service_time) noexcept {
  m_mean = m_mean == Duration{} ? service_time : m_mean + (service_time - m_mean) / kSampleDivisor;
}

Duration Admission::ExpectedWait(std::size_t queued, std::uint32_t tokens_held) const noexcept {
  if (tokens_held == 0) return Duration{};
  return m_mean * static_cast<Duration::rep>(queued) / tokens_held;
}

bool Admission::Admits(std::size_t queued, std::uint32_t tokens_held, Duration time_left) const noexcept {
  if (queued >= m_queue_limit) return false;
  return ExpectedWait(queued, tokens_held) + MinTimeToRun() <= time_left;
}

}  // namespace fighatch
