#ifndef FIGHATCH_BALANCER_PACKET_COUNTERS_H_
#define FIGHATCH_BALANCER_PACKET_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "fighatch/error.h"

namespace fighatch::daemon {

/// Packet counters of the data plane. The receive threads write them, and the metrics page reads them.
struct PacketCounters {
  /// Number of error codes with a drop counter: 1000 to 1000 + `kCodeCount` - 1.
  static constexpr std::size_t kCodeCount = 16;

  std::atomic<std::uint64_t> m_received{0};
  std::atomic<std::uint64_t> m_to_targets{0};
  std::atomic<std::uint64_t> m_to_balancers{0};
  std::atomic<std::uint64_t> m_to_requests{0};
  std::atomic<std::uint64_t> m_resets{0};
  std::array<std::atomic<std::uint64_t>, kCodeCount> m_dropped{};

  /// Counts a dropped packet under its error code.
  void CountDrop(ErrorCode code) noexcept {
    const std::size_t index = static_cast<std::size_t>(code) % 1000;
    if (index < kCodeCount) m_dropped[index].fetch_add(1, std::memory_order_relaxed);
  }
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_PACKET_COUNTERS_H_
