#ifndef FIGHATCH_FLOW_RECORDS_H_
#define FIGHATCH_FLOW_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// The target that a flow was opened at. The keepers of the flow hold the record while the owners of its slot change.
struct FlowRecord {
  std::uint64_t m_fingerprint = 0;
  TargetId m_target;
  ServiceId m_service;
  /// Time of the last packet in ticks of 2^27 ns (134 ms).
  std::uint32_t m_last_seen = 0;

  friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

static_assert(sizeof(FlowRecord) <= 64, "a flow record takes at most 64 bytes");

/// The tick of 2^27 ns that a time point falls in.
[[nodiscard]] constexpr std::uint32_t FlowTick(TimePoint time) noexcept {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(time.time_since_epoch().count()) >> 27U);
}

/// The number of ticks that a duration spans, rounded up.
[[nodiscard]] constexpr std::uint32_t FlowTicks(Duration duration) noexcept {
  return static_cast<std::uint32_t>((static_cast<std::uint64_t>(duration.count()) + (1ULL << 27U) - 1) >> 27U);
}

/// A bounded hash table of flow records, keyed by fingerprint and service, with open addressing. Memory is allocated by
/// the constructor only.
class FlowRecords {
 public:
  /// A table for up to `capacity` records. It has 24 bytes for each position; the number of positions is the next power
  /// of two above `capacity` / 0.8.
  explicit FlowRecords(std::size_t capacity);

  /// The record of the flow; null if there is none.
  [[nodiscard]] const FlowRecord* Find(std::uint64_t fingerprint, ServiceId service) const noexcept;

  /// Like `Find`, and updates the time of the last packet.
  [[nodiscard]] const FlowRecord* Touch(std::uint64_t fingerprint, ServiceId service, std::uint32_t tick) noexcept;

  /// Adds a record. If the flow has one already, its target stays, since a flow never changes its target, and the later
  /// time is kept. False if the table is full or the record names target 0.
  [[nodiscard]] bool Insert(const FlowRecord& record) noexcept;

  /// Removes the record of the flow if there is one.
  void Erase(std::uint64_t fingerprint, ServiceId service) noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return m_size; }
  [[nodiscard]] std::size_t Capacity() const noexcept { return m_capacity; }
  [[nodiscard]] std::size_t Bytes() const noexcept { return m_entries.size() * sizeof(FlowRecord); }

  /// Number of positions for `At`, occupied or free.
  [[nodiscard]] std::size_t PositionCount() const noexcept { return m_entries.size(); }
  /// The record at a position; null if the position is free.
  [[nodiscard]] const FlowRecord* At(std::size_t position) const noexcept;

  /// Visits the next `count` positions and removes the records for which `expired(record)` is true.
  template <typename Expired>
  void Sweep(std::size_t count, const Expired& expired) {
    for (; count > 0; --count) {
      m_sweep_position &= m_mask;
      const FlowRecord* record = At(m_sweep_position);
      // Erasing may move a later record to this position, so it is visited again.
      if (record != nullptr && expired(*record)) {
        EraseAt(m_sweep_position);
      } else {
        ++m_sweep_position;
      }
    }
  }

 private:
  [[nodiscard]] std::size_t FindPosition(std::uint64_t fingerprint, ServiceId service) const noexcept;
  void EraseAt(std::size_t position) noexcept;

  std::size_t m_capacity;
  std::size_t m_size = 0;
  std::size_t m_mask = 0;
  std::size_t m_sweep_position = 0;
  std::vector<FlowRecord> m_entries;
};

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_RECORDS_H_
