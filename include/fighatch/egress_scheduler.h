#ifndef FIGHATCH_EGRESS_SCHEDULER_H_
#define FIGHATCH_EGRESS_SCHEDULER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "fighatch/bulk_admission.h"
#include "fighatch/cookie_packet.h"
#include "fighatch/time.h"

namespace fighatch {

/// Traffic classes of the uplink.
enum class EgressClass : std::uint8_t {
  /// Opening and closing packets, packets without data, and the first bytes of each flow.
  kShort = 0,
  /// The rest of a flow's data.
  kBulk = 1,
};

/// The name of the class in metrics: "short" or "bulk".
[[nodiscard]] std::string_view EgressClassName(EgressClass egress_class) noexcept;

/// Why a packet was dropped instead of sent.
enum class EgressDropReason : std::uint8_t {
  /// The same data, or an opening packet of the same flow, is still in the queue.
  kDuplicate = 0,
  /// The queue has reached its limit.
  kQueueFull = 1,
  /// The client sent nothing for `EgressScheduler::kFlowIdleTimeout`, or the flow was reset or replaced.
  kFlowRemoved = 2,
  /// A short packet has waited for longer than `EgressScheduler::kMaxShortWait`.
  kTooLate = 3,
};
inline constexpr std::size_t kEgressDropReasons = 4;

/// The name of the reason in metrics, for example "queue_full".
[[nodiscard]] std::string_view EgressDropReasonName(EgressDropReason reason) noexcept;

/// A datagram that has waited in the queue.
struct EgressDatagram {
  Endpoint m_destination;
  std::vector<std::byte> m_bytes;
  EgressClass m_class = EgressClass::kShort;
  TimePoint m_queued_at;
};

/// Counters of an `EgressScheduler` since its start. Bytes are those of the datagrams, without their IP headers.
struct EgressCounters {
  /// All datagrams to targets that were passed on to the link.
  std::uint64_t m_sent = 0;
  std::uint64_t m_sent_bytes = 0;
  /// Those of them that have waited in the queue.
  std::uint64_t m_paced = 0;
  std::uint64_t m_paced_bytes = 0;
  /// Indexed by `EgressDropReason`.
  std::array<std::uint64_t, kEgressDropReasons> m_dropped{};
  std::array<std::uint64_t, kEgressDropReasons> m_dropped_bytes{};
};

/// Paces what a balancer sends, so that its own uplink drops nothing, and decides what is sent next: short packets
/// before bulk data, and bulk data by flow. The first flow is the one that opened earliest among those that can still
/// finish within their objective; the others follow, oldest first. It reads no clock: each call gets the time.
///
/// \code
/// EgressScheduler scheduler(2.8);
/// if (scheduler.Offer(now, packet, objective, destination, bytes)) socket.Send(destination, bytes);
/// while (std::optional<EgressDatagram> next = scheduler.Take(now)) socket.Send(next->m_destination, next->m_bytes);
/// \endcode
class EgressScheduler {
 public:
  /// Interval at which the owner takes datagrams while there are any.
  static constexpr Duration kPacingInterval = std::chrono::milliseconds(4);
  /// The link is never given more than this much of its time in advance.
  static constexpr Duration kMaxBurst = std::chrono::milliseconds(8);
  /// Share of the link rate that is used; the rest absorbs traffic that is not charged here, such as HTTP answers.
  static constexpr double kPacedShareOfLink = 0.95;
  /// Data of a flow up to this many bytes is short, so that small uploads do not wait behind bulk data.
  static constexpr std::uint64_t kShortBytes = 8000;
  /// A short packet yields to others that arrive up to this much later, in proportion to what its flow has sent of
  /// `kShortBytes`: the first packets of many large flows do not delay flows of one packet.
  static constexpr Duration kShortSpread = std::chrono::milliseconds(500);
  /// A short packet that waits for longer is dropped, counted from when it was queued plus its part of `kShortSpread`.
  /// Clients retransmit after 200 ms: later packets would leave the link less for those that can be in time.
  static constexpr Duration kMaxShortWait = std::chrono::milliseconds(150);
  /// What bulk data gets of the link at least while short packets fill it, and late flows of the bulk data at least
  /// while others can still finish in time.
  static constexpr double kGuaranteedShare = 0.1;
  /// Datagrams that do not wait, such as resets, delay the others by at most this much.
  static constexpr Duration kMaxChargedDelay = std::chrono::milliseconds(150);
  /// A flow that is silent for this long gives up its queue. Clients retransmit after 1,600 ms at the latest.
  static constexpr Duration kFlowIdleTimeout = std::chrono::seconds(2);
  /// A flow that is silent for this long is not expected to send more than what is queued, until its next packet.
  static constexpr Duration kExpectationTimeout = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaxQueuedPackets = 4096;
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{2} << 20;
  /// Beyond `kMaxFlows` a new flow replaces the least recently active one if that one has nothing queued; otherwise its
  /// packets count as short. Beyond `kMaxServices` sizes of further services are not learned.
  static constexpr std::size_t kMaxFlows = 16384;
  static constexpr std::size_t kMaxServices = 1024;
  /// The link counts as saturated after datagrams have waited without a break for this long.
  static constexpr Duration kSaturationTime = std::chrono::seconds(1);

  /// `link_mbps` is the rate of the uplink in megabits per second, greater than 0.
  explicit EgressScheduler(double link_mbps);
  EgressScheduler(const EgressScheduler&) = delete;
  EgressScheduler& operator=(const EgressScheduler&) = delete;

  /// True if pacing makes a difference: the link has a limit, and a batch of `batch_packets` takes it longer than one
  /// pacing interval.
  [[nodiscard]] static bool IsNeeded(double link_mbps, std::size_t batch_packets) noexcept;

  /// Offers the datagram of a client's packet. Returns true if the caller has to send it now; otherwise the datagram
  /// has been copied into the queue or dropped. `objective` is the latency objective of the packet's route; 0 keeps
  /// that of the flow's service.
  [[nodiscard]] bool Offer(TimePoint now, const CookiePacket& packet, Duration objective, const Endpoint& destination,
                           std::span<const std::byte> bytes);

  /// True if a retransmitted opening packet of `bytes` bytes is to be dropped, because an earlier one of the same flow
  /// has not left the queue; counts it. Ask before a target is chosen: the flow's target has not received anything yet.
  [[nodiscard]] bool DropDuplicateOpening(TimePoint now, const CookiePacket& packet, std::size_t bytes);

  /// Accounts for a datagram that is sent without waiting, such as a reset or a message to another host.
  void Charge(TimePoint now, std::size_t bytes);

  /// Removes and returns the datagram to send next; empty if none may be sent yet.
  [[nodiscard]] std::optional<EgressDatagram> Take(TimePoint now);

  /// Drops what is known and queued of a flow that was reset.
  void Forget(TimePoint now, const FlowEndpoints& endpoints);

  /// Drops flows that have been silent for `kFlowIdleTimeout`, and gives up what is expected of those that have been
  /// silent for `kExpectationTimeout`; `Offer` and `Take` do so too.
  void RemoveSilentFlows(TimePoint now);

  /// True if packets of a flow with these endpoints were offered within `kFlowIdleTimeout`, and no closing one among
  /// them.
  [[nodiscard]] bool IsOpen(const FlowEndpoints& endpoints) const;

  [[nodiscard]] BulkDemand DemandOf(const Endpoint& service) const;

  /// True from when datagrams have waited without a break for `kSaturationTime` until none has waited for that long.
  [[nodiscard]] bool UpdateSaturation(TimePoint now);

  /// Share of the link rate that was used, over the last one to two seconds.
  [[nodiscard]] double Utilisation(TimePoint now) const;

  [[nodiscard]] bool IsEmpty() const noexcept { return m_queued_packets == 0; }
  [[nodiscard]] std::size_t QueuedPackets() const noexcept { return m_queued_packets; }
  [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_queued_bytes; }
  /// Number of open flows of services whose flows send at least `BulkAdmission::kMinBulkBytes` on average.
  [[nodiscard]] std::size_t OpenBulkFlows() const noexcept { return m_bulk_load.m_flows; }
  [[nodiscard]] const EgressCounters& Counters() const noexcept { return m_counters; }

 private:
  struct OpenLoad {
    std::size_t m_flows = 0;
    // Bytes that these flows are expected to send yet.
    std::uint64_t m_bytes = 0;
  };

  struct Service {
    double m_mean_bytes = 0;
    std::uint64_t m_finished_flows = 0;
    Duration m_objective{0};
    OpenLoad m_open;

    [[nodiscard]] bool IsBulk() const noexcept { return m_mean_bytes >= BulkAdmission::kMinBulkBytes; }
  };

  struct QueuedPacket {
    EgressDatagram m_datagram;
    FlowEndpoints m_endpoints;
    // The flow's `Flow::m_id`; 0 for a packet without a flow.
    std::uint64_t m_flow_id = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_data_bytes = 0;
    bool m_opening = false;
    // Data and closing packets do not overtake each other.
    bool m_keeps_order = false;
  };

  // Flows in order of a time; the id makes the order of equal times definite.
  struct Flow;
  using FlowOrder = std::map<std::pair<TimePoint, std::uint64_t>, Flow*>;

  // A flow from its opening packet until its last packet has left. On a flow with several requests, sizes and times
  // are those of the current request.
  struct Flow {
    FlowEndpoints m_endpoints;
    std::uint64_t m_id = 0;
    // Null if the size of the service's flows is not learned.
    Service* m_service = nullptr;
    TimePoint m_started;
    TimePoint m_last_packet;
    std::uint64_t m_expected_bytes = 0;
    // Data bytes seen, each counted once, and data bytes in the queue.
    std::uint64_t m_seen_bytes = 0;
    std::uint64_t m_queued_bytes = 0;
    // This flow's part of `Service::m_open`.
    std::uint64_t m_remaining_bytes = 0;
    std::optional<std::uint32_t> m_highest_sequence;
    // Short packets in the queue, those of them that keep their order, and the position that the last of these has.
    std::size_t m_short_packets = 0;
    std::size_t m_ordered_short_packets = 0;
    TimePoint m_short_position;
    std::size_t m_queued_openings = 0;
    std::list<QueuedPacket> m_bulk;
    std::unordered_set<std::uint32_t> m_queued_sequences;
    // The map of flows that the flow is in, if any, and its key in `m_finish_limits`. While bytes leave, the limit may
    // become later than the key; it is computed anew when the time of the key has come.
    FlowOrder* m_order = nullptr;
    std::optional<TimePoint> m_finish_limit;
    // In `m_silent_flows`.
    bool m_silent = false;
    bool m_seen_opening = false;
    // The client has sent a packet without data since its last data: it has an answer.
    bool m_answered = false;
    bool m_closed = false;
  };

  // Guarantees the lower of two classes a share of the link while both have packets to send.
  struct ShareCredit {
    // The higher class has sent `bytes` while the lower one waited.
    void Earn(std::size_t bytes);
    // The lower class has sent `bytes`; `contended` if the higher one waited.
    void Spend(std::size_t bytes, bool contended);
    [[nodiscard]] bool IsDue() const { return m_bytes > 0; }

    double m_bytes = 0;
  };

  // Finds or adds the flow of a packet; null if the packet needs none, or if there are too many flows.
  [[nodiscard]] Flow* Track(TimePoint now, const CookiePacket& packet, Duration objective);
  // Moves the flow to the end of one of the lists.
  void SetSilent(TimePoint now, bool silent, std::list<Flow>::iterator flow);
  [[nodiscard]] Flow* AddFlow(TimePoint now, const CookiePacket& packet);
  [[nodiscard]] Flow* Find(const FlowEndpoints& endpoints);
  [[nodiscard]] Service* FindOrAddService(const Endpoint& address);
  void BeginRequest(TimePoint started, Flow* flow);
  [[nodiscard]] static bool HasNewData(const CookiePacket& packet, const Flow& flow);
  // Begins a new request if the packet carries the first data after an answer.
  void BeginRequestIfAnswered(TimePoint now, const CookiePacket& packet, Flow* flow);
  // Counts the packet in its flow, and the size of the flow on its closing packet.
  void Record(const CookiePacket& packet, Flow* flow);
  void AddSample(const Flow& flow);
  void RemoveFlow(TimePoint now, Flow* flow);
  // Accounts for a packet that has left the queue; removes the flow if it is closed and nothing is left of it.
  void AfterDequeue(TimePoint now, const QueuedPacket& packet, Flow* flow);
  void RemoveIfFinished(TimePoint now, Flow* flow);
  void UpdateRemaining(Flow* flow);
  void ChangeOpenLoad(Service* service, std::ptrdiff_t flows, std::int64_t bytes);
  void UpdateOrder(TimePoint now, Flow* flow);
  void RemoveFromOrder(Flow* flow);
  void MoveLateFlows(TimePoint now);
  // The flow with the next bulk packet; null if none waits.
  [[nodiscard]] Flow* NextBulkFlow() const;
  // The flow with bulk data that would finish last; null if there is none.
  [[nodiscard]] Flow* LastBulkFlow() const;

  [[nodiscard]] static EgressClass ClassOf(const Flow* flow, const CookiePacket& packet);
  [[nodiscard]] bool MaySendNow(TimePoint now, EgressClass egress_class) const;
  // `bytes_before` is what the flow had sent before this packet.
  void Enqueue(TimePoint now, Flow* flow, QueuedPacket packet, std::uint64_t bytes_before);
  [[nodiscard]] QueuedPacket RemoveShort(TimePoint now, std::multimap<TimePoint, QueuedPacket>::iterator place);
  [[nodiscard]] EgressDatagram TakeBulk(TimePoint now, Flow* flow);
  // True if a flow with bulk data may be served; a flow whose short data waits does not count.
  [[nodiscard]] bool HasBulkQueued() const { return !m_on_time.empty() || !m_late.empty(); }
  [[nodiscard]] bool IsBulkDue() const;
  void DropShortOfRemovedFlows(TimePoint now);
  // Drops the short packets that have waited for longer than `kMaxShortWait`.
  void DropLateShort(TimePoint now);
  // True if short packets use more of the queue than bulk data leaves to them.
  [[nodiscard]] bool ShortPacketsExceedTheirPart() const;
  void DropExcess(TimePoint now);
  void CountDrop(EgressDropReason reason, std::size_t bytes);
  // Removes a short packet from the queue and counts it as dropped.
  void DropShort(TimePoint now, std::multimap<TimePoint, QueuedPacket>::iterator place, EgressDropReason reason);
  // Accounts for a packet of bulk data that was removed from its flow to be dropped.
  void CountBulkDrop(TimePoint now, const QueuedPacket& packet, EgressDropReason reason);
  void CountSent(TimePoint now, std::size_t bytes);
  // `CountSent` for a datagram that has waited.
  void CountPaced(TimePoint now, std::size_t bytes);
  void ChangeQueued(TimePoint now, std::ptrdiff_t packets, std::ptrdiff_t bytes);
  void UseLink(TimePoint now, std::size_t bytes);
  void EarnBulkCredit(std::size_t bytes);
  [[nodiscard]] Duration LinkTime(double bytes) const;

  double m_link_bytes_per_second;
  double m_bytes_per_second;
  // When the link has sent all that it was given.
  TimePoint m_link_free_at;
  std::map<Endpoint, Service> m_services;
  // Sorted by last packet, the most recent one last. Flows without a packet for `kExpectationTimeout` are in
  // `m_silent_flows`.
  std::list<Flow> m_flows;
  std::list<Flow> m_silent_flows;
  std::unordered_map<FlowEndpoints, std::list<Flow>::iterator> m_flows_by_endpoints;
  std::uint64_t m_last_flow_id = 0;
  std::multimap<TimePoint, QueuedPacket> m_short;
  std::size_t m_short_bytes = 0;
  // Flows with bulk data to send, by start: those that can finish in time, and the others.
  FlowOrder m_on_time;
  FlowOrder m_late;
  // Flows whose bulk data waits for short data of the same flow, which it must not overtake.
  FlowOrder m_blocked;
  // The flows of `m_on_time` with an objective, by the last moment at which they can begin to send the rest.
  FlowOrder m_finish_limits;
  ShareCredit m_bulk_credit;
  ShareCredit m_late_credit;
  OpenLoad m_bulk_load;
  std::size_t m_queued_packets = 0;
  std::size_t m_queued_bytes = 0;
  EgressCounters m_counters;
  // When the queue last became empty or non-empty.
  TimePoint m_queue_switched_at;
  bool m_saturated = false;
  TimePoint m_window_start;
  std::uint64_t m_window_bytes = 0;
  double m_last_utilisation = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_EGRESS_SCHEDULER_H_
