#include "fighatch/egress_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fighatch {
namespace {

constexpr double kBytesPerMegabit = 125000;
// Headers of IPv4 and UDP, which the link carries besides the datagram.
constexpr std::size_t kIpOverheadBytes = 28;
// A full packet of a client on the link: 1,200 bytes of data and the headers.
constexpr double kFullPacketBytes = 1268;
// Credit is limited to a few packets, so that a class does not send a burst after a long wait.
constexpr double kMaxCreditBytes = 4096;
constexpr Duration kUtilisationWindow = std::chrono::seconds(1);

constexpr std::array<std::string_view, 2> kClassNames{"short", "bulk"};
constexpr std::array<std::string_view, kEgressDropReasons> kDropReasonNames{"duplicate", "queue_full", "flow_silent",
                                                                            "too_late"};

double Seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

std::string_view EgressClassName(EgressClass egress_class) noexcept {
  return kClassNames[static_cast<std::size_t>(egress_class)];
}

std::string_view EgressDropReasonName(EgressDropReason reason) noexcept {
  return kDropReasonNames[static_cast<std::size_t>(reason)];
}

void EgressScheduler::ShareCredit::Earn(std::size_t bytes) {
  m_bytes = std::min(kMaxCreditBytes, m_bytes + static_cast<double>(bytes) * kGuaranteedShare / (1 - kGuaranteedShare));
}

void EgressScheduler::ShareCredit::Spend(std::size_t bytes, bool contended) {
  const double rest = m_bytes - static_cast<double>(bytes);
  m_bytes = contended ? rest : std::min(m_bytes, std::max(0.0, rest));
}

EgressScheduler::EgressScheduler(double link_mbps)
    : m_link_bytes_per_second(link_mbps * kBytesPerMegabit),
      m_bytes_per_second(m_link_bytes_per_second * kPacedShareOfLink) {}

bool EgressScheduler::IsNeeded(double link_mbps, std::size_t batch_packets) noexcept {
  if (link_mbps <= 0) return false;
  const double batch_bytes = static_cast<double>(batch_packets) * kFullPacketBytes;
  return batch_bytes / (link_mbps * kBytesPerMegabit * kPacedShareOfLink) >= Seconds(kPacingInterval);
}

bool EgressScheduler::Offer(TimePoint now, const CookiePacket& packet, Duration objective, const Endpoint& destination,
                            std::span<const std::byte> bytes) {
  RemoveSilentFlows(now);
  if (DropDuplicateOpening(now, packet, bytes.size())) return false;
  Flow* flow = Track(now, packet, objective);
  const bool has_data = packet.m_data_bytes > 0;
  if (flow != nullptr && has_data && !packet.m_closing && flow->m_queued_sequences.contains(packet.m_sequence)) {
    CountDrop(EgressDropReason::kDuplicate, bytes.size());
    return false;
  }
  if (flow != nullptr) BeginRequestIfAnswered(now, packet, flow);
  const EgressClass egress_class = ClassOf(flow, packet);
  const std::uint64_t bytes_before = flow != nullptr && has_data ? flow->m_seen_bytes : 0;
  if (flow != nullptr) Record(packet, flow);
  if (MaySendNow(now, egress_class)) {
    if (egress_class == EgressClass::kShort) EarnBulkCredit(bytes.size());
    CountSent(now, bytes.size());
    if (flow != nullptr) RemoveIfFinished(now, flow);
    return true;
  }
  QueuedPacket queued;
  queued.m_datagram = {destination, {bytes.begin(), bytes.end()}, egress_class, now};
  queued.m_endpoints = packet.m_endpoints;
  queued.m_flow_id = flow != nullptr ? flow->m_id : 0;
  queued.m_sequence = packet.m_sequence;
  queued.m_data_bytes = packet.m_data_bytes;
  queued.m_opening = packet.m_opening;
  queued.m_keeps_order = has_data || packet.m_closing;
  Enqueue(now, flow, std::move(queued), bytes_before);
  DropExcess(now);
  return false;
}

void EgressScheduler::Charge(TimePoint now, std::size_t bytes) {
  EarnBulkCredit(bytes);
  const TimePoint latest = std::max(m_link_free_at, now + kMaxChargedDelay);
  UseLink(now, bytes);
  m_link_free_at = std::min(m_link_free_at, latest);
}

bool EgressScheduler::DropDuplicateOpening(TimePoint now, const CookiePacket& packet, std::size_t bytes) {
  if (!packet.m_opening || packet.m_retransmissions == 0) return false;
  DropLateShort(now);
  const Flow* flow = Find(packet.m_endpoints);
  if (flow == nullptr || flow->m_queued_openings == 0) return false;
  CountDrop(EgressDropReason::kDuplicate, bytes);
  return true;
}

std::optional<EgressDatagram> EgressScheduler::Take(TimePoint now) {
  RemoveSilentFlows(now);
  DropLateShort(now);
  DropShortOfRemovedFlows(now);
  if (IsEmpty() || m_link_free_at - kMaxBurst > now) return std::nullopt;
  MoveLateFlows(now);
  if (!m_short.empty() && !IsBulkDue()) {
    QueuedPacket packet = RemoveShort(now, m_short.begin());
    EarnBulkCredit(packet.m_datagram.m_bytes.size());
    CountPaced(now, packet.m_datagram.m_bytes.size());
    return std::move(packet.m_datagram);
  }
  Flow* flow = NextBulkFlow();
  if (flow == nullptr) return std::nullopt;
  return TakeBulk(now, flow);
}

EgressDatagram EgressScheduler::TakeBulk(TimePoint now, Flow* flow) {
  QueuedPacket packet = std::move(flow->m_bulk.front());
  const std::size_t size = packet.m_datagram.m_bytes.size();
  flow->m_bulk.pop_front();
  const bool is_late = flow->m_order == &m_late;
  if (is_late) m_late_credit.Spend(size, !m_on_time.empty());
  if (!is_late && !m_late.empty()) m_late_credit.Earn(size);
  m_bulk_credit.Spend(size, !m_short.empty());
  ChangeQueued(now, -1, -static_cast<std::ptrdiff_t>(size));
  CountPaced(now, size);
  AfterDequeue(now, packet, flow);
  return std::move(packet.m_datagram);
}

EgressScheduler::QueuedPacket EgressScheduler::RemoveShort(TimePoint now,
                                                           std::multimap<TimePoint, QueuedPacket>::iterator place) {
  QueuedPacket packet = std::move(place->second);
  m_short.erase(place);
  m_short_bytes -= packet.m_datagram.m_bytes.size();
  ChangeQueued(now, -1, -static_cast<std::ptrdiff_t>(packet.m_datagram.m_bytes.size()));
  Flow* flow = packet.m_flow_id == 0 ? nullptr : Find(packet.m_endpoints);
  if (flow != nullptr && flow->m_id == packet.m_flow_id) {
    --flow->m_short_packets;
    flow->m_ordered_short_packets -= packet.m_keeps_order ? 1 : 0;
    AfterDequeue(now, packet, flow);
  }
  return packet;
}

void EgressScheduler::DropShortOfRemovedFlows(TimePoint now) {
  while (!m_short.empty()) {
    const QueuedPacket& front = m_short.begin()->second;
    if (front.m_flow_id == 0) return;
    const Flow* flow = Find(front.m_endpoints);
    if (flow != nullptr && flow->m_id == front.m_flow_id) return;
    DropShort(now, m_short.begin(), EgressDropReason::kFlowRemoved);
  }
}

void EgressScheduler::DropLateShort(TimePoint now) {
  while (!m_short.empty() && now - m_short.begin()->first > kMaxShortWait) {
    DropShort(now, m_short.begin(), EgressDropReason::kTooLate);
  }
}

bool EgressScheduler::ShortPacketsExceedTheirPart() const {
  constexpr double kShortPart = 1 - kGuaranteedShare;
  return static_cast<double>(m_short.size()) > kShortPart * kMaxQueuedPackets ||
         static_cast<double>(m_short_bytes) > kShortPart * kMaxQueuedBytes;
}

void EgressScheduler::DropExcess(TimePoint now) {
  while (m_queued_packets > kMaxQueuedPackets || m_queued_bytes > kMaxQueuedBytes) {
    if (ShortPacketsExceedTheirPart()) {
      DropShort(now, std::prev(m_short.end()), EgressDropReason::kQueueFull);
      continue;
    }
    Flow* last = LastBulkFlow();
    if (last == nullptr) return;
    const QueuedPacket packet = std::move(last->m_bulk.back());
    last->m_bulk.pop_back();
    CountBulkDrop(now, packet, EgressDropReason::kQueueFull);
    AfterDequeue(now, packet, last);
  }
}

EgressClass EgressScheduler::ClassOf(const Flow* flow, const CookiePacket& packet) {
  if (flow == nullptr) return EgressClass::kShort;
  const bool has_bulk_queued = !flow->m_bulk.empty();
  // A closing packet stays behind the data that it closes.
  if (packet.m_closing) return has_bulk_queued ? EgressClass::kBulk : EgressClass::kShort;
  if (packet.m_opening || packet.m_data_bytes == 0) return EgressClass::kShort;
  if (has_bulk_queued) return EgressClass::kBulk;
  return flow->m_seen_bytes + packet.m_data_bytes <= kShortBytes ? EgressClass::kShort : EgressClass::kBulk;
}

bool EgressScheduler::MaySendNow(TimePoint now, EgressClass egress_class) const {
  if (m_link_free_at - kMaxBurst > now) return false;
  if (egress_class == EgressClass::kBulk) return IsEmpty();
  return m_short.empty() && !IsBulkDue();
}

void EgressScheduler::Enqueue(TimePoint now, Flow* flow, QueuedPacket packet, std::uint64_t bytes_before) {
  ChangeQueued(now, 1, static_cast<std::ptrdiff_t>(packet.m_datagram.m_bytes.size()));
  if (flow != nullptr) {
    flow->m_queued_bytes += packet.m_data_bytes;
    if (packet.m_data_bytes > 0) flow->m_queued_sequences.insert(packet.m_sequence);
    flow->m_queued_openings += packet.m_opening ? 1 : 0;
  }
  if (packet.m_datagram.m_class == EgressClass::kBulk) {
    flow->m_bulk.push_back(std::move(packet));
  } else {
    const double spread = static_cast<double>(bytes_before) / kShortBytes;
    TimePoint position = now + std::chrono::duration_cast<Duration>(kShortSpread * std::min(1.0, spread));
    if (flow != nullptr) {
      if (packet.m_keeps_order) {
        if (flow->m_ordered_short_packets > 0) position = std::max(position, flow->m_short_position);
        flow->m_short_position = position;
        ++flow->m_ordered_short_packets;
      }
      ++flow->m_short_packets;
    }
    m_short_bytes += packet.m_datagram.m_bytes.size();
    m_short.emplace(position, std::move(packet));
  }
  if (flow == nullptr) return;
  UpdateRemaining(flow);
  UpdateOrder(now, flow);
}

bool EgressScheduler::IsBulkDue() const { return m_bulk_credit.IsDue() && HasBulkQueued(); }

void EgressScheduler::EarnBulkCredit(std::size_t bytes) {
  if (HasBulkQueued()) {
    m_bulk_credit.Earn(bytes);
  } else if (m_blocked.empty()) {
    m_bulk_credit = {};
  }
}

void EgressScheduler::CountDrop(EgressDropReason reason, std::size_t bytes) {
  ++m_counters.m_dropped[static_cast<std::size_t>(reason)];
  m_counters.m_dropped_bytes[static_cast<std::size_t>(reason)] += bytes;
}

void EgressScheduler::DropShort(TimePoint now, std::multimap<TimePoint, QueuedPacket>::iterator place,
                                EgressDropReason reason) {
  CountDrop(reason, RemoveShort(now, place).m_datagram.m_bytes.size());
}

void EgressScheduler::CountBulkDrop(TimePoint now, const QueuedPacket& packet, EgressDropReason reason) {
  ChangeQueued(now, -1, -static_cast<std::ptrdiff_t>(packet.m_datagram.m_bytes.size()));
  CountDrop(reason, packet.m_datagram.m_bytes.size());
}

void EgressScheduler::CountPaced(TimePoint now, std::size_t bytes) {
  CountSent(now, bytes);
  ++m_counters.m_paced;
  m_counters.m_paced_bytes += bytes;
}

void EgressScheduler::CountSent(TimePoint now, std::size_t bytes) {
  ++m_counters.m_sent;
  m_counters.m_sent_bytes += bytes;
  UseLink(now, bytes);
}

void EgressScheduler::ChangeQueued(TimePoint now, std::ptrdiff_t packets, std::ptrdiff_t bytes) {
  const bool was_empty = IsEmpty();
  m_queued_packets += static_cast<std::size_t>(packets);
  m_queued_bytes += static_cast<std::size_t>(bytes);
  if (IsEmpty() != was_empty) m_queue_switched_at = now;
}

void EgressScheduler::UseLink(TimePoint now, std::size_t bytes) {
  const std::size_t link_bytes = bytes + kIpOverheadBytes;
  m_link_free_at = std::max(m_link_free_at, now) + LinkTime(static_cast<double>(link_bytes));
  if (now - m_window_start >= kUtilisationWindow) {
    m_last_utilisation =
        static_cast<double>(m_window_bytes) / (m_link_bytes_per_second * Seconds(now - m_window_start));
    m_window_start = now;
    m_window_bytes = 0;
  }
  m_window_bytes += link_bytes;
}

double EgressScheduler::Utilisation(TimePoint now) const {
  const Duration window = now - m_window_start;
  if (window < 2 * kUtilisationWindow) return m_last_utilisation;
  return static_cast<double>(m_window_bytes) / (m_link_bytes_per_second * Seconds(window));
}

bool EgressScheduler::UpdateSaturation(TimePoint now) {
  const bool is_waiting = !IsEmpty();
  if (is_waiting != m_saturated && now - m_queue_switched_at > kSaturationTime) m_saturated = is_waiting;
  return m_saturated;
}

Duration EgressScheduler::LinkTime(double bytes) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_bytes_per_second));
}

}  // namespace fighatch
