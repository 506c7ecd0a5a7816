#ifndef FIGHATCH_RECENT_FLOWS_H_
#define FIGHATCH_RECENT_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/flow_records.h"

namespace fighatch {

/// A fixed-size buffer of flows that were forwarded without a record. The caller chooses the position of each flow.
/// Times are ticks, see `FlowTick`. Visits skip blocks without a recent flow. Memory is allocated by the constructor
/// only.
class RecentFlows {
 public:
  /// Rounds the number of positions up to a multiple of the block size.
  explicit RecentFlows(std::size_t size);

  /// Stores a flow at `position % size()` and replaces the one that was there.
  void Put(std::size_t position, const FlowRecord& record) noexcept {
    const std::size_t index = position % m_records.size();
    m_records[index] = record;
    m_newest_ticks[index / kBlockSize] = record.m_last_seen;
  }

  /// Calls `remove(record)` for the flows that were seen within `ticks` before `now` and removes those for which it
  /// returns true. Older flows of the visited blocks are removed as well.
  template <typename Remove>
  void RemoveIf(std::uint32_t now, std::uint32_t ticks, const Remove& remove) {
    for (std::size_t block = 0; block < m_newest_ticks.size(); ++block) {
      if (IsOlder(m_newest_ticks[block], now, ticks)) continue;
      for (std::size_t index = block * kBlockSize; index < (block + 1) * kBlockSize; ++index) {
        FlowRecord& record = m_records[index];
        if (record.m_target.m_value == 0) continue;
        if (IsOlder(record.m_last_seen, now, ticks) || remove(record)) record = FlowRecord{};
      }
    }
  }

  [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }
  /// Memory in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  static constexpr std::size_t kBlockSize = 64;

  /// Threads that share a shard may pass times that differ by a tick, so `seen` may be later than `now`.
  static constexpr bool IsOlder(std::uint32_t seen, std::uint32_t now, std::uint32_t ticks) noexcept {
    return now > seen && now - seen > ticks;
  }

  std::vector<FlowRecord> m_records;
  /// Tick of the flow that was last stored in each block.
  std::vector<std::uint32_t> m_newest_ticks;
};

}  // namespace fighatch

#endif  // FIGHATCH_RECENT_FLOWS_H_
