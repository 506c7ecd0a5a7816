#include "fighatch/silence_detector.h"

#include "fighatch/flow_records.h"

namespace fighatch {
namespace {

constexpr std::size_t kSegments = 8192;
constexpr std::size_t kWays = 4;
constexpr std::size_t kProgressPlaces = 256;
constexpr std::uint32_t kMinRepeats = 4;
constexpr std::uint32_t kMinSilenceTicks = FlowTicks(std::chrono::seconds(3));
/// A caller backs off up to this long between retransmissions; an older entry is replaced.
constexpr std::uint32_t kMaxGapTicks = FlowTicks(std::chrono::seconds(10));
constexpr std::uint32_t kMinPayloadBytes = 2;

}  // namespace

SilenceDetector::SilenceDetector() : m_segments(kSegments), m_progress(kProgressPlaces * 2) {}

bool SilenceDetector::IsSilent(const Packet& packet, TargetId target, TimePoint now) noexcept {
  if (packet.m_kind != PacketKind::kLater || packet.m_payload_bytes < kMinPayloadBytes) return false;
  const std::uint32_t tick = FlowTick(now);
  Segment* segment = FindSegment(packet.m_flow_hash, tick);
  const bool is_same = segment->m_fingerprint == packet.m_flow_hash && segment->m_count > 0;
  const bool is_repeat = is_same && segment->m_sequence == packet.m_tcp.m_sequence &&
                         segment->m_acknowledgement == packet.m_tcp.m_acknowledgement;
  if (!is_repeat) {
    if (is_same) NoteProgress(packet.m_flow_hash, target, tick);
    *segment = {packet.m_flow_hash, packet.m_tcp.m_sequence, packet.m_tcp.m_acknowledgement, tick, tick, 1};
    return false;
  }
  ++segment->m_count;
  segment->m_last_tick = tick;
  if (segment->m_count < kMinRepeats || tick - segment->m_first_tick < kMinSilenceTicks) return false;
  if (!OthersProgress(packet.m_flow_hash, target, tick)) return false;
  *segment = Segment{};
  return true;
}

SilenceDetector::Segment* SilenceDetector::FindSegment(std::uint64_t fingerprint, std::uint32_t tick) noexcept {
  // The upper half of the fingerprint: the lower bits select the slot.
  Segment* set = &m_segments[((fingerprint >> 32U) % (kSegments / kWays)) * kWays];
  Segment* victim = set;
  std::uint32_t victim_rank = 0;
  for (std::size_t way = 0; way < kWays; ++way) {
    Segment& segment = set[way];
    if (segment.m_count > 0 && segment.m_fingerprint == fingerprint) return &segment;
    // Entries that repeat are kept longest: they are the ones that may be silent.
    const std::uint32_t idle = tick - segment.m_last_tick;
    const bool is_expendable = segment.m_count == 0 || idle > kMaxGapTicks;
    const std::uint32_t rank = is_expendable ? ~0U : (segment.m_count == 1 ? 1000000U + idle : idle + 1);
    if (rank <= victim_rank) continue;
    victim = &segment;
    victim_rank = rank;
  }
  return victim;
}

void SilenceDetector::NoteProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) noexcept {
  Progress* pair = &m_progress[(target.m_value % kProgressPlaces) * 2];
  // The newest flow is first; another flow moves it to the second place.
  if (pair[0].m_target == target.m_value && pair[0].m_fingerprint != fingerprint) pair[1] = pair[0];
  pair[0] = {target.m_value, fingerprint, tick};
}

bool SilenceDetector::OthersProgress(std::uint64_t fingerprint, TargetId target, std::uint32_t tick) const noexcept {
  const Progress* pair = &m_progress[(target.m_value % kProgressPlaces) * 2];
  for (std::size_t index = 0; index < 2; ++index) {
    const bool is_other = pair[index].m_target == target.m_value && pair[index].m_fingerprint != fingerprint;
    if (is_other && tick - pair[index].m_tick <= kMinSilenceTicks) return true;
  }
  return false;
}

}  // namespace fighatch
