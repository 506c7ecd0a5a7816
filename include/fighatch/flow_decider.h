#ifndef FIGHATCH_FLOW_DECIDER_H_
#define FIGHATCH_FLOW_DECIDER_H_

#include <cstddef>
#include <cstdint>
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
  /// Records of flows that one shard holds at most.
  std::size_t m_record_capacity = 131072;
  /// A record without packets for this long is removed.
  Duration m_idle_limit = std::chrono::seconds(300);
  /// The table is stale if it was not confirmed for this long.
  Duration m_stale_after = std::chrono::seconds(1);
  /// Without contact to any member for this long, packets for other data centres are dropped.
  Duration m_isolated_after = std::chrono::seconds(3);
};

/// What a balancer knows of its contact to the others. Times are on its own clock.
struct FlowContact {
  /// When the coordinator last confirmed that the table in use is the newest.
  TimePoint m_table_confirmed;
  /// When another member was last heard.
  TimePoint m_peer_heard;
  /// A balancer of the same data centre with a confirmed table; 0 if none is reachable.
  HostId m_fresh_peer;
};

/// Decides on the packets of one shard. It holds the shard's flow records and talks to the same part of other
/// balancers.
///
/// \code
/// decider.SetTable(table, now);
/// const Decision decision = decider.Decide(MakePacket(header, inner), now);
/// for (const OutgoingRecords& send : decider.Tick(now)) Send(send.m_host, EncodeFlowRecords(send.m_message));
/// \endcode
class FlowDecider {
 public:
  explicit FlowDecider(FlowDeciderOptions options);

  /// Takes a newer table into use. Records that other balancers must hold by it are queued for them.
  void SetTable(std::shared_ptr<const ForwardingTable> table, TimePoint now);
  /// Takes note of the contact to other members.
  void SetContact(const FlowContact& contact) noexcept { m_contact = contact; }

  /// Decides on a packet. It allocates nothing for packets of settled slots and of recorded flows.
  [[nodiscard]] Decision Decide(const Packet& packet, TimePoint now);

  /// Takes records of another balancer; the answer goes back to `message.m_sender`.
  [[nodiscard]] FlowRecordsAck OnRecords(const FlowRecordsMessage& message, TimePoint now);
  /// Handles an acknowledgement from another balancer.
  void OnAck(const FlowRecordsAck& ack) { m_transfer.OnAck(ack); }

  /// Expires records and returns the messages that are due. To be called every 5 to 20 ms.
  [[nodiscard]] std::vector<OutgoingRecords> Tick(TimePoint now);

  /// True if the table was not confirmed in time.
  [[nodiscard]] bool IsStale(TimePoint now) const noexcept {
    return now - m_contact.m_table_confirmed > m_options.m_stale_after;
  }
  /// Seconds since a packet last went to a target that is not the owner of its slot by the current list, counted from
  /// the last change of the service's owners if there was none; for `TableAck`. Data centre 0 stands for level 1.
  [[nodiscard]] std::uint32_t BaseIdleSeconds(ServiceId service, DataCentreId data_centre, TimePoint now) const;
  /// True once every keeper of the own data centre has transferred its records to this joining balancer.
  [[nodiscard]] bool HasAllRecords() const;
  /// True if all records that others must hold have been sent and acknowledged; a leaving balancer waits for it after
  /// it has taken a table that no longer ranks it.
  [[nodiscard]] bool IsTransferDone() const noexcept { return !m_is_scanning && m_transfer.IsIdle(); }

  [[nodiscard]] const FlowRecords& Records() const noexcept { return m_records; }
  [[nodiscard]] const ForwardingTable* Table() const noexcept { return m_table.get(); }
  /// Memory of records, detector and recent first packets in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  struct FinishedTransfer {
    std::uint64_t m_keepers_digest = 0;
    /// Shards of the sender, and those that have finished.
    std::uint16_t m_shards = 1;
    std::set<std::uint16_t> m_finished_shards;
  };
  struct ChangedService {
    ServiceId m_id;
    const ServiceTable* m_table = nullptr;
  };
  struct Context {
    const Packet* m_packet;
    const ServiceTable* m_service;
    TimePoint m_now;
  };

  [[nodiscard]] Decision DecideChanging(const Context& context, std::uint32_t slot);
  [[nodiscard]] Decision DecideSettled(const Context& context, const TargetEntry& owner);
  [[nodiscard]] Decision DecideAsKeeper(const Context& context, const SlotOwners& owners);
  [[nodiscard]] Decision OpenFlow(const Context& context, const SlotOwners& owners);
  [[nodiscard]] Decision SendToBase(const Context& context, const SlotOwners& owners);
  [[nodiscard]] Decision SendToTarget(const Context& context, const TargetEntry& target);
  [[nodiscard]] Decision SendToBalancer(const Context& context, const BalancerEntry* balancer, ForwardReason reason);
  [[nodiscard]] bool ActsAsKeeper(const Context& context, const KeeperPair& keepers) const noexcept;
  [[nodiscard]] const BalancerEntry* FreshPeer(const Context& context) const noexcept;
  [[nodiscard]] const TargetEntry* RecordedTarget(const Context& context);
  void UpdateNonCurrentTime(const Context& context, const SlotOwners& owners, const TargetEntry& target);

  /// Remembers a packet that was forwarded without a record.
  void RememberUnrecordedFlow(const Context& context, const TargetEntry& target) noexcept;
  [[nodiscard]] bool AddRecord(const FlowRecord& record, DataCentreId keepers, TimePoint now);
  /// Services whose table differs from the former one, ascending by id; those that are gone have no table.
  [[nodiscard]] std::vector<ChangedService> ChangedServices(const ForwardingTable* former) const;
  /// Records the remembered flows of these services whose slots change.
  void RecordRecentFlows(const std::vector<ChangedService>& changed, RecentFlows* recent, TimePoint now);
  /// True if the flow needs no place among the remembered ones any more.
  [[nodiscard]] bool RecordRecentFlow(const FlowRecord& record, const ServiceTable* service, TimePoint now);
  void UpdateChangeTimes(const ForwardingTable* former, TimePoint now);
  void RemoveRecordsOfGoneTargets(const ForwardingTable& former);
  void StartScan(const std::shared_ptr<const ForwardingTable>& former);
  void ScanRecords();
  void FinishScan();
  /// Sends the records of active flows to their other keepers again. Only the keeper that serves a flow sees its
  /// packets, so without this the copies would expire under it.
  void RefreshCopies(TimePoint now);
  void TransferRecord(const FlowRecord& record, bool same_ranks);
  [[nodiscard]] bool IsExpired(const FlowRecord& record, std::uint32_t tick) const noexcept;

  FlowDeciderOptions m_options;
  std::shared_ptr<const ForwardingTable> m_table;
  FlowContact m_contact;
  FlowRecords m_records;
  RecordTransfer m_transfer;
  StalledFlowDetector m_stalled_flow_detector;
  /// First packets that were forwarded without a record, as a ring. If their slots change, they are recorded, so that a
  /// retransmission does not open the flow again elsewhere.
  RecentFlows m_recent_first_packets;
  std::size_t m_recent_first_position = 0;
  /// Active UDP flows without a record, by fingerprint; a later flow replaces an earlier one in the same place.
  RecentFlows m_recent_udp_flows;
  /// Services with remembered flows for which there was no room in `m_records`; tried again with the next table.
  std::set<ServiceId> m_services_with_unrecorded_flows;
  /// The table by which the records were last placed on keepers; null if no transfer is in progress.
  std::shared_ptr<const ForwardingTable> m_scan_former_table;
  std::size_t m_scan_position = 0;
  bool m_is_scanning = false;
  std::size_t m_refresh_position = 0;
  TimePoint m_refresh_started;
  std::map<ServiceId, TimePoint> m_owners_changed_at;
  std::map<std::pair<ServiceId, DataCentreId>, TimePoint> m_last_non_current_packet;
  /// Transfers of other balancers to this one that are finished.
  std::map<HostId, FinishedTransfer> m_finished_transfers;
};

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_DECIDER_H_
