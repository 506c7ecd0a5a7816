#ifndef FIGHATCH_FLOW_DECIDER_H_
#define FIGHATCH_FLOW_DECIDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/decision.h"
#include "fighatch/flow_records.h"
#include "fighatch/flow_records_message.h"
#include "fighatch/forwarding_table.h"
#include "fighatch/packet.h"
#include "fighatch/recent_flows.h"
#include "fighatch/record_transfer.h"
#include "fighatch/stalled_flow_detector.h"
#include "fighatch/time.h"

namespace fighatch {

/// Settings of a `FlowDecider`.
struct FlowDeciderOptions {
  RecordTransferOptions m_transfer;
  /// The most flow records that one shard holds.
  std::size_t m_record_capacity = 131072;
  /// A record is removed when its flow has had no packet for this long.
  Duration m_idle_limit = std::chrono::seconds(300);
  /// The table is stale if the coordinator has not confirmed it for this long.
  Duration m_stale_after = std::chrono::seconds(1);
  /// Packets for targets in other data centres are dropped if no member has been heard for this long.
  Duration m_isolated_after = std::chrono::seconds(3);
};

/// When a balancer last heard from the coordinator and from other members, by its own clock, and which balancer can
/// decide in its place while its table is stale.
struct FlowContact {
  /// When the coordinator last confirmed that the table in use is the newest.
  TimePoint m_table_confirmed;
  /// When another member was last heard.
  TimePoint m_peer_heard;
  /// A balancer of the same data centre with a confirmed table; 0 if none is reachable.
  HostId m_fresh_peer;
};

/// Decides, for one shard of a balancer, where packets go. A packet goes to the owner of its hash slot; while the
/// owners of a slot change, a flow with a record stays with the recorded target.
///
/// The decider does no I/O and reads no clock: the caller passes in packets, messages and the time, and sends the
/// messages that `Tick` and `OnRecords` return. They copy flow records to the keepers on other balancers.
///
/// \code
/// decider.SetTable(table, now);
/// const Decision decision = decider.Decide(MakePacket(header, inner), now);
/// for (const OutgoingRecords& send : decider.Tick(now)) Send(send.m_host, EncodeFlowRecords(send.m_message));
/// \endcode
class FlowDecider {
 public:
  explicit FlowDecider(FlowDeciderOptions options);

  /// Replaces the table by a newer one, and starts to queue records for the balancers that must hold them under it.
  void SetTable(std::shared_ptr<const ForwardingTable> table, TimePoint now);
  /// Sets the latest contact to the coordinator and to other members.
  void SetContact(const FlowContact& contact) noexcept { m_contact = contact; }

  /// Decides where a packet goes. Allocates no memory for packets of settled slots and of recorded flows.
  [[nodiscard]] Decision Decide(const Packet& packet, TimePoint now);

  /// Stores the records in a message of another balancer. The caller sends the acknowledgement to `message.m_sender`.
  [[nodiscard]] FlowRecordsAck OnRecords(const FlowRecordsMessage& message, TimePoint now);
  /// Handles an acknowledgement from another balancer.
  void OnAck(const FlowRecordsAck& ack) { m_transfer.OnAck(ack); }

  /// Expires records and returns the messages that are due. To be called every 5 to 20 ms.
  [[nodiscard]] std::vector<OutgoingRecords> Tick(TimePoint now);

  /// True if the coordinator has not confirmed the table within `m_stale_after`.
  [[nodiscard]] bool IsStale(TimePoint now) const noexcept {
    return now - m_contact.m_table_confirmed > m_options.m_stale_after;
  }
  /// Seconds since a packet last went to a target other than the current owner of its slot, or since the last change of
  /// the service's owners if that is later. Reported in `TableAck`. Data centre 0 stands for level 1, where data
  /// centres own slots.
  [[nodiscard]] std::uint32_t BaseIdleSeconds(ServiceId service, DataCentreId data_centre, TimePoint now) const;
  /// True once every ready balancer of the own data centre has finished the transfer of its records to this one, which
  /// is joining.
  [[nodiscard]] bool HasAllRecords() const;
  /// True if all records that others must hold have been sent and acknowledged. A leaving balancer waits for this after
  /// it has received a table that no longer ranks it as a keeper.
  [[nodiscard]] bool IsTransferDone() const noexcept { return !m_is_scanning && m_transfer.IsIdle(); }

  [[nodiscard]] const FlowRecords& Records() const noexcept { return m_records; }
  [[nodiscard]] const ForwardingTable* Table() const noexcept { return m_table.get(); }
  /// Memory of the records, the stalled-flow detector and the remembered flows in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  /// The shards of another balancer that have finished their transfer of records to this one.
  struct FinishedTransfer {
    /// Digest of the ready balancers that the sender knew.
    std::uint64_t m_keepers_digest = 0;
    /// Number of shards of the sender, and those that have finished.
    std::uint16_t m_shards = 1;
    std::set<std::uint16_t> m_finished_shards;
  };
  /// A table that a change replaced, and the time of the change.
  struct ReplacedTable {
    std::shared_ptr<const ForwardingTable> m_table;
    TimePoint m_replaced;
  };
  /// A service whose table differs from the former one; `m_table` is null if the service was removed.
  struct ChangedService {
    ServiceId m_id;
    const ServiceTable* m_table = nullptr;
  };
  /// The packet that is being decided, its service and the time.
  struct Context {
    const Packet* m_packet;
    const ServiceTable* m_service;
    TimePoint m_now;
  };

  [[nodiscard]] Decision DecideChanging(const Context& context, std::uint32_t slot);
  [[nodiscard]] Decision DecideSettled(const Context& context, const TargetEntry& owner);
  [[nodiscard]] Decision DecideAsKeeper(const Context& context, const SlotOwners& owners);
  /// Decides on a packet whose record neither the present nor the former keepers hold.
  [[nodiscard]] Decision DecideWithoutRecord(const Context& context, const SlotOwners& owners);
  /// True if the present keeper, which holds no record, asks this balancer as the keeper before the change.
  [[nodiscard]] bool IsAskedAsFormerKeeper(const Context& context, const SlotOwners& owners) const noexcept;
  /// The first keeper of a flow in a data centre, or the second one if the first is suspect; null if there is none.
  [[nodiscard]] const BalancerEntry* ResponsiveKeeper(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept;
  [[nodiscard]] Decision OpenFlow(const Context& context, const SlotOwners& owners);
  /// Sends a packet without a record to the base owner of its slot.
  [[nodiscard]] Decision SendToBase(const Context& context, const SlotOwners& owners);
  [[nodiscard]] Decision SendToTarget(const Context& context, const TargetEntry& target);
  [[nodiscard]] Decision SendToBalancer(const Context& context, const BalancerEntry* balancer, ForwardReason reason);
  /// Sends a record that has just arrived on to the balancers that the sender may not have known as its holders: to the
  /// present ones if this balancer is none of them, otherwise to those that are joining.
  void PassOnReceivedRecord(const FlowRecord& record);
  /// True if this balancer decides by its own records and table instead of forwarding the packet to a keeper.
  [[nodiscard]] bool ActsAsKeeper(const Context& context, const KeeperPair& keepers) const noexcept;
  /// A balancer with a confirmed table that the packet may be forwarded to; null if there is none.
  [[nodiscard]] const BalancerEntry* FreshPeer(const Context& context) const noexcept;
  /// The target in the flow's record; null if there is no record or its target is gone.
  [[nodiscard]] const TargetEntry* RecordedTarget(const Context& context);
  /// Stores the time for `BaseIdleSeconds` if the target is not the current owner of the slot.
  void UpdateNonCurrentTime(const Context& context, const SlotOwners& owners, const TargetEntry& target);

  /// Remembers the flow of a first packet or datagram that is forwarded without a record.
  void RememberUnrecordedFlow(const Context& context, const TargetEntry& target) noexcept;
  /// Stores a record and queues it for its other holders in the data centre. False if the record table is full.
  [[nodiscard]] bool AddRecord(const FlowRecord& record, DataCentreId keepers, TimePoint now);
  /// Services whose table differs from the former one or for which remembered flows found no room, ascending by id.
  [[nodiscard]] std::vector<ChangedService> ChangedServices(const ForwardingTable* former) const;
  /// Creates records for the remembered flows of these services whose slots change.
  void RecordRecentFlows(const std::vector<ChangedService>& changed, RecentFlows* recent, TimePoint now);
  /// Creates a record for a remembered flow if its slot changes. True if the flow need not be remembered any longer.
  [[nodiscard]] bool RecordRecentFlow(const FlowRecord& record, const ServiceTable* service, TimePoint now);
  void UpdateChangeTimes(const ForwardingTable* former, TimePoint now);
  void RemoveRecordsOfGoneTargets(const ForwardingTable& former);
  /// Starts a scan of all records, which queues each for the balancers that must hold it under the new table only.
  void StartScan(const std::shared_ptr<const ForwardingTable>& former, TimePoint now);
  void ScanRecords();
  void FinishScan();
  /// Resends the records of active flows to their other holders. Only the keeper that serves a flow sees its packets,
  /// so the copies would otherwise expire while the flow is active.
  void RefreshCopies(TimePoint now);
  void TransferRecord(const FlowRecord& record, bool same_ranks);
  /// True if this balancer sends the record to its new holders by the table before the last changes.
  [[nodiscard]] bool IsSenderBeforeChanges(const FlowRecord& record) const;
  [[nodiscard]] bool IsExpired(const FlowRecord& record, std::uint32_t tick) const noexcept;

  FlowDeciderOptions m_options;
  std::shared_ptr<const ForwardingTable> m_table;
  FlowContact m_contact;
  FlowRecords m_records;
  RecordTransfer m_transfer;
  StalledFlowDetector m_stalled_flow_detector;
  /// Ring buffer of first packets that were forwarded without a record. If their slots change, they are recorded, so
  /// that a retransmission does not open the flow at a second target.
  RecentFlows m_recent_first_packets;
  std::size_t m_recent_first_position = 0;
  /// Active UDP flows without a record, indexed by fingerprint; a later flow replaces an earlier one at the same index.
  RecentFlows m_recent_udp_flows;
  /// Services with remembered flows for which `m_records` had no room; retried when the next table is set.
  std::set<ServiceId> m_services_with_unrecorded_flows;
  /// The table under which the last finished scan distributed the records; null if no scan is in progress.
  std::shared_ptr<const ForwardingTable> m_scan_former_table;
  /// The tables that the last changes replaced, the oldest first; empty if there was no change lately.
  std::deque<ReplacedTable> m_replaced_tables;
  std::size_t m_scan_position = 0;
  bool m_is_scanning = false;
  std::size_t m_refresh_position = 0;
  TimePoint m_refresh_started;
  /// When the owners of a service last changed.
  std::map<ServiceId, TimePoint> m_owners_changed_at;
  /// When a packet last went to a target that was not the current owner of its slot; data centre 0 stands for level 1.
  std::map<std::pair<ServiceId, DataCentreId>, TimePoint> m_last_non_current_packet;
  /// Finished transfers of records to this balancer, by sender.
  std::map<HostId, FinishedTransfer> m_finished_transfers;
};

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_DECIDER_H_
