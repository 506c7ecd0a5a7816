#ifndef FIGHATCH_STALLED_FLOW_DETECTOR_H_
#define FIGHATCH_STALLED_FLOW_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/packet.h"
#include "fighatch/time.h"

namespace fighatch {

/// Detects stalled TCP flows: the caller sends the same segment 4 times over at least 3 s, while other flows of the
/// target make progress. Answers bypass the balancer, so retransmissions are the only sign that it sees.
///
/// Segments with less than 2 bytes of payload are ignored: keep-alives and window probes repeat on healthy flows. The
/// table has a fixed size. An entry watches one flow until the flow makes progress or another flow takes the entry,
/// which it may 2 s after a single segment and 10 s after a repeated one. With many flows a stalled one waits for a
/// free entry, which delays its detection.
class StalledFlowDetector {
 public:
  StalledFlowDetector();

  /// Takes a packet on its way to a target into account. True if its flow is stalled; the flow is then no longer
  /// watched.
  [[nodiscard]] bool IsStalled(const Packet& packet, TargetId target, TimePoint now) noexcept;

  /// Memory in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept {
    return m_segments.size() * sizeof(Segment) + m_progress.size() * sizeof(Progress);
  }

 private:
  /// The segment by which a flow is watched. Times are ticks, see `FlowTick`.
  struct Segment {
    /// Upper half of the flow's fingerprint.
    std::uint32_t m_tag = 0;
    /// Sequence and acknowledgement number combined.
    std::uint32_t m_sequence_digest = 0;
    std::uint32_t m_first_tick = 0;
    std::uint16_t m_last_tick = 0;
    /// Times that the segment was seen; 0 if the entry is free.
    std::uint16_t m_count = 0;
  };
  /// When a flow of a target last sent a new segment.
  struct Progress {
    std::uint64_t m_target = 0;
    std::uint64_t m_fingerprint = 0;
    std::uint32_t m_tick = 0;
  };

  /// Handles a packet of the flow that the entry watches.
  [[nodiscard]] bool CheckRepeatedSegment(Segment* segment, const Packet& packet, TargetId target,
                                          std::uint32_t tick) noexcept;
  void RecordProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) noexcept;
  /// True if another flow of the target has made progress within the last 3 s.
  [[nodiscard]] bool HasOtherProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) const noexcept;

  std::vector<Segment> m_segments;
  /// Two entries for each target hash, for different flows, so that one is not the stalled flow.
  std::vector<Progress> m_progress;
};

}  // namespace fighatch

#endif  // FIGHATCH_STALLED_FLOW_DETECTOR_H_
