#ifndef FIGHATCH_TESTS_SYNC_TIME_H_
#define FIGHATCH_TESTS_SYNC_TIME_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "fighatch/random.h"

namespace fighatch::testing_support {

using std::chrono::milliseconds;

/// How long a sync takes: a random time in a range, and in some percent of the syncs a stall.
struct SyncTime {
  milliseconds m_shortest{0};
  milliseconds m_longest{0};
  std::uint64_t m_stall_percent = 0;
  milliseconds m_stall{0};

  [[nodiscard]] milliseconds Longest() const { return m_stall_percent > 0 ? std::max(m_longest, m_stall) : m_longest; }

  milliseconds Draw(Random* random) const {
    if (Longest() == milliseconds(0)) return milliseconds(0);
    if (random->Below(100) < m_stall_percent) return m_stall;
    return m_shortest + milliseconds(random->Below(static_cast<std::uint64_t>((m_longest - m_shortest).count()) + 1));
  }
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_SYNC_TIME_H_
