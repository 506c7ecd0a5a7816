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

/// Detects flows whose path has gone silent: the caller sends the same segment 4 times over at least 3 s, while other
/// flows of the target make progress. Answers bypass the balancer, so retransmissions are all that it sees.
///
/// Segments with less than 2 bytes of payload are left aside: keep-alives and window probes repeat on healthy flows.
/// The table has a fixed size. An entry watches one flow: until the flow makes progress, or for 2 s, or for 10 s after
/// a repetition. Under many flows a silent one waits for a free entry, which delays its detection.
class StalledFlowDetector {
 public:
  StalledFlowDetector();

  /// Notes a packet on its way to a target. True if the flow is silent; it is then forgotten.
  [[nodiscard]] bool IsStalled(const Packet& packet, TargetId target, TimePoint now) noexcept;

  /// Memory in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept {
    return m_segments.size() * sizeof(Segment) + m_progress.size() * sizeof(Progress);
  }

 private:
  struct Segment {
    /// Upper half of the fingerprint.
    std::uint32_t m_tag = 0;
    /// Sequence and acknowledgement number, mixed.
    std::uint32_t m_sequence_digest = 0;
    std::uint32_t m_first_tick = 0;
    std::uint16_t m_last_tick = 0;
    /// Times that the segment was seen; 0 if the entry is free.
    std::uint16_t m_count = 0;
  };
  struct Progress {
    std::uint64_t m_target = 0;
    std::uint64_t m_fingerprint = 0;
    std::uint32_t m_tick = 0;
  };

  [[nodiscard]] bool CheckRepeatedSegment(Segment* segment, const Packet& packet, TargetId target,
                                          std::uint32_t tick) noexcept;
  void RecordProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) noexcept;
  [[nodiscard]] bool HasOtherProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) const noexcept;

  std::vector<Segment> m_segments;
  /// Two entries for each place, so that another flow than the silent one is found.
  std::vector<Progress> m_progress;
};

}  // namespace fighatch

#endif  // FIGHATCH_STALLED_FLOW_DETECTOR_H_
