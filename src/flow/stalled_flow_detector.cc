#include "fighatch/stalled_flow_detector.h"

#include "fighatch/flow_records.h"

namespace fighatch {
namespace {

constexpr std::size_t kSegmentEntries = 4096;
constexpr std::size_t kProgressEntries = 256;
constexpr std::uint32_t kMinRepeats = 4;
constexpr std::uint32_t kMinStallTicks = FlowTicks(std::chrono::seconds(3));
/// The longest back-off between a caller's retransmissions; an entry without a packet for longer is replaced.
constexpr std::uint32_t kMaxGapTicks = FlowTicks(std::chrono::seconds(10));
/// How long a segment that was seen once is watched. Most callers retransmit within 1 s.
constexpr std::uint32_t kSingleSegmentTicks = FlowTicks(std::chrono::seconds(2));
constexpr std::uint32_t kMinPayloadBytes = 2;

std::uint32_t SequenceDigest(const Packet& packet) noexcept {
  return packet.m_tcp.m_sequence * 0x9E3779B1U + packet.m_tcp.m_acknowledgement;
}

}  // namespace

StalledFlowDetector::StalledFlowDetector() : m_segments(kSegmentEntries), m_progress(kProgressEntries * 2) {}

bool StalledFlowDetector::IsStalled(const Packet& packet, TargetId target, TimePoint now) noexcept {
  if (packet.m_kind != PacketKind::kLater || packet.m_payload_bytes < kMinPayloadBytes) return false;
  const std::uint32_t tick = FlowTick(now);
  Segment& segment = m_segments[(packet.m_flow_hash >> 20U) % kSegmentEntries];
  const auto tag = static_cast<std::uint32_t>(packet.m_flow_hash >> 32U);
  if (segment.m_count > 0 && segment.m_tag == tag) return CheckRepeatedSegment(&segment, packet, target, tick);
  const auto idle = static_cast<std::uint16_t>(tick - segment.m_last_tick);
  const std::uint32_t hold_ticks = segment.m_count > 1 ? kMaxGapTicks : kSingleSegmentTicks;
  if (segment.m_count > 0 && idle <= hold_ticks) return false;
  segment = {tag, SequenceDigest(packet), tick, static_cast<std::uint16_t>(tick), 1};
  return false;
}

bool StalledFlowDetector::CheckRepeatedSegment(Segment* segment, const Packet& packet, TargetId target,
                                               std::uint32_t tick) noexcept {
  if (segment->m_sequence_digest != SequenceDigest(packet)) {
    RecordProgress(packet.m_flow_hash, target, tick);
    *segment = Segment{};
    return false;
  }
  segment->m_last_tick = static_cast<std::uint16_t>(tick);
  if (segment->m_count < kMinRepeats) ++segment->m_count;
  if (segment->m_count < kMinRepeats || tick - segment->m_first_tick < kMinStallTicks) return false;
  if (!HasOtherProgress(packet.m_flow_hash, target, tick)) return false;
  *segment = Segment{};
  return true;
}

void StalledFlowDetector::RecordProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) noexcept {
  Progress* pair = &m_progress[(target.m_value % kProgressEntries) * 2];
  // The flow with the latest progress is in the first entry; progress of another flow moves it to the second.
  if (pair[0].m_target == target.m_value && pair[0].m_fingerprint != fingerprint) pair[1] = pair[0];
  pair[0] = {target.m_value, fingerprint, tick};
}

bool StalledFlowDetector::HasOtherProgress(std::uint64_t fingerprint, TargetId target,
                                           std::uint32_t tick) const noexcept {
  const Progress* pair = &m_progress[(target.m_value % kProgressEntries) * 2];
  for (std::size_t index = 0; index < 2; ++index) {
    const bool is_other = pair[index].m_target == target.m_value && pair[index].m_fingerprint != fingerprint;
    if (is_other && tick - pair[index].m_tick <= kMinStallTicks) return true;
  }
  return false;
}

}  // namespace fighatch
