#include "fighatch/flow_decider.h"

#include <algorithm>

#include "fighatch/gue.h"
#include "flow/record_holders.h"

namespace fighatch {
namespace {

/// First packets that one shard remembers: 4 s at 4,000 per second. A caller has sent its second retransmission by
/// then.
constexpr std::size_t kRecentFirstPackets = 16384;
/// Active UDP flows that one shard remembers, fewer if fingerprints share an index.
constexpr std::size_t kRecentUdpFlows = 16384;

Decision Drop(const ServiceTable* service, ErrorCode code) noexcept {
  Decision decision;
  decision.m_code = code;
  if (service != nullptr) decision.m_service = service->Id();
  return decision;
}

bool IsFromKeeperLookup(ForwardReason reason) noexcept {
  return reason == ForwardReason::kKeeper || reason == ForwardReason::kSecondKeeper;
}

}  // namespace

FlowDecider::FlowDecider(FlowDeciderOptions options)
    : m_options(options),
      m_records(options.m_record_capacity),
      m_transfer(options.m_transfer),
      m_recent_first_packets(kRecentFirstPackets),
      m_recent_udp_flows(kRecentUdpFlows) {}

Decision FlowDecider::Decide(const Packet& packet, TimePoint now) {
  const ServiceTable* service =
      m_table == nullptr ? nullptr : m_table->FindService(packet.m_key.m_destination, packet.m_key.m_transport);
  if (service == nullptr) return Drop(nullptr, ErrorCode::kPacketUnknownService);
  const Context context{&packet, service, now};
  if (service->Mode() == ServiceMode::kRequest) {
    Decision decision;
    decision.m_kind = DecisionKind::kRequest;
    decision.m_service = service->Id();
    return decision;
  }
  if (IsStale(now)) {
    // The record may come from a balancer with a newer table, in which the slot is in transition.
    const TargetEntry* recorded = RecordedTarget(context);
    if (recorded != nullptr) return SendToTarget(context, *recorded);
    const BalancerEntry* peer = FreshPeer(context);
    if (peer != nullptr) {
      // All packets of a flow must reach the same balancer, so a keeper with a stale table forwards to the second
      // keeper and not to an arbitrary peer with a confirmed table.
      const KeeperPair keepers = m_table->Keepers().Find(m_table->SelfDataCentre(), packet.m_flow_hash);
      const bool is_keeper = keepers.m_first != nullptr && keepers.m_first->m_host == m_table->Self();
      if (is_keeper && keepers.m_second != nullptr && !keepers.m_second->m_suspect) {
        return SendToBalancer(context, keepers.m_second, ForwardReason::kSecondKeeper);
      }
      return SendToBalancer(context, peer, ForwardReason::kStaleTable);
    }
  }
  const std::uint32_t slot = service->SlotOf(packet.m_flow_hash);
  const TargetEntry* settled = service->SettledOwner(slot);
  return settled != nullptr ? DecideSettled(context, *settled) : DecideChanging(context, slot);
}

Decision FlowDecider::DecideSettled(const Context& context, const TargetEntry& owner) {
  // A packet that another balancer forwarded to the keeper may belong to a recorded flow: the slot is settled in this
  // table, but not in the sender's.
  if (IsFromKeeperLookup(context.m_packet->m_reason)) {
    const TargetEntry* recorded = RecordedTarget(context);
    if (recorded != nullptr) return SendToTarget(context, *recorded);
  }
  RememberUnrecordedFlow(context, owner);
  return SendToTarget(context, owner);
}

Decision FlowDecider::DecideChanging(const Context& context, std::uint32_t slot) {
  const SlotOwners owners = context.m_service->Resolve(slot);
  if (owners.m_settled) return Drop(context.m_service, ErrorCode::kPacketNoTarget);
  // The target in a record never changes, so any balancer that holds a record may decide by it.
  const TargetEntry* recorded = RecordedTarget(context);
  if (recorded != nullptr) {
    UpdateNonCurrentTime(context, owners, *recorded);
    return SendToTarget(context, *recorded);
  }
  const KeeperPair keepers = m_table->Keepers().Find(owners.m_keeper_data_centre, context.m_packet->m_flow_hash);
  if (ActsAsKeeper(context, keepers)) return DecideAsKeeper(context, owners);
  // A datagram without a record goes back to the present keeper, which opens the flow and holds its record.
  const bool is_later = context.m_packet->m_kind == PacketKind::kLater;
  if (is_later && IsAskedAsFormerKeeper(context, owners)) return DecideWithoutRecord(context, owners);
  // A keeper in another data centre forwarded the packet to the base data centre, whose level 2 table gives the owner
  // of flows without a record.
  const bool is_base_keeper = owners.m_ask_base_keeper && IsFromKeeperLookup(context.m_packet->m_reason) &&
                              m_table->SelfDataCentre() == owners.m_base_data_centre;
  if (is_base_keeper && is_later) return SendToBase(context, owners);
  if (keepers.m_first->m_suspect && keepers.m_second != nullptr) {
    return SendToBalancer(context, keepers.m_second, ForwardReason::kSecondKeeper);
  }
  return SendToBalancer(context, keepers.m_first, ForwardReason::kKeeper);
}

bool FlowDecider::ActsAsKeeper(const Context& context, const KeeperPair& keepers) const noexcept {
  const HostId self = m_table->Self();
  if (keepers.m_first == nullptr || keepers.m_first->m_host == self) return true;
  // Balancers with different tables may disagree about the keeper. The last balancer within the hop limit decides.
  if (context.m_packet->m_hop_count + 1 >= kMaxHops) return true;
  // With two hops, the balancer that forwarded the packet for this reason was its keeper, had a stale table and held no
  // record.
  if (context.m_packet->m_reason == ForwardReason::kStaleTable && context.m_packet->m_hop_count >= 2) return true;
  if (keepers.m_second == nullptr || keepers.m_second->m_host != self) return false;
  return keepers.m_first->m_suspect || context.m_packet->m_reason == ForwardReason::kSecondKeeper;
}

bool FlowDecider::IsAskedAsFormerKeeper(const Context& context, const SlotOwners& owners) const noexcept {
  // After one hop the packet comes from a balancer with an older table, by which this one is still the keeper: the
  // present keepers are asked first then.
  constexpr std::uint8_t kHopsByPresentKeeper = 2;
  return owners.m_ask_former_keeper && owners.m_current != nullptr && IsFromKeeperLookup(context.m_packet->m_reason) &&
         context.m_packet->m_hop_count >= kHopsByPresentKeeper &&
         m_table->SelfDataCentre() == owners.m_current->m_data_centre;
}

const BalancerEntry* FlowDecider::ResponsiveKeeper(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept {
  const KeeperPair keepers = m_table->Keepers().Find(data_centre, flow_hash);
  const bool use_second = keepers.m_first != nullptr && keepers.m_first->m_suspect && keepers.m_second != nullptr;
  return use_second ? keepers.m_second : keepers.m_first;
}

Decision FlowDecider::DecideAsKeeper(const Context& context, const SlotOwners& owners) {
  const Packet& packet = *context.m_packet;
  const bool may_have_record = packet.m_kind != PacketKind::kFirst;
  if (owners.m_ask_former_keeper && may_have_record && packet.m_hop_count + 1 < kMaxHops &&
      owners.m_current != nullptr) {
    const BalancerEntry* keeper = ResponsiveKeeper(owners.m_current->m_data_centre, packet.m_flow_hash);
    if (keeper != nullptr) return SendToBalancer(context, keeper, ForwardReason::kKeeper);
  }
  return DecideWithoutRecord(context, owners);
}

Decision FlowDecider::DecideWithoutRecord(const Context& context, const SlotOwners& owners) {
  if (context.m_packet->m_kind != PacketKind::kLater) return OpenFlow(context, owners);
  const bool asks_base = owners.m_ask_base_keeper && owners.m_base_data_centre != m_table->SelfDataCentre();
  if (asks_base && context.m_packet->m_hop_count + 1 < kMaxHops) {
    const BalancerEntry* keeper = ResponsiveKeeper(owners.m_base_data_centre, context.m_packet->m_flow_hash);
    if (keeper != nullptr) return SendToBalancer(context, keeper, ForwardReason::kKeeper);
  }
  return SendToBase(context, owners);
}

Decision FlowDecider::OpenFlow(const Context& context, const SlotOwners& owners) {
  const TargetEntry* target = owners.m_current;
  if (target == nullptr) return Drop(context.m_service, ErrorCode::kPacketNoTarget);
  if (!owners.m_record_first) {
    RememberUnrecordedFlow(context, *target);
    return SendToTarget(context, *target);
  }
  const FlowRecord record{context.m_packet->m_flow_hash, target->m_id, context.m_service->Id(),
                          FlowTick(context.m_now)};
  // Without a record, later packets would go to the base owner. If the record table is full, the first packet is
  // therefore dropped, rather than the flow broken later.
  if (!AddRecord(record, owners.m_keeper_data_centre, context.m_now)) {
    return Drop(context.m_service, ErrorCode::kPacketNoRecordSpace);
  }
  UpdateNonCurrentTime(context, owners, *target);
  return SendToTarget(context, *target);
}

Decision FlowDecider::SendToBase(const Context& context, const SlotOwners& owners) {
  if (owners.m_base_cut_off || owners.m_base == nullptr) return Drop(context.m_service, ErrorCode::kPacketNoTarget);
  UpdateNonCurrentTime(context, owners, *owners.m_base);
  return SendToTarget(context, *owners.m_base);
}

Decision FlowDecider::SendToTarget(const Context& context, const TargetEntry& target) {
  if (target.m_service != context.m_service->Id()) return Drop(context.m_service, ErrorCode::kPacketWrongService);
  const bool is_remote = target.m_data_centre != m_table->SelfDataCentre();
  if (is_remote && context.m_now - m_contact.m_peer_heard > m_options.m_isolated_after) {
    return Drop(context.m_service, ErrorCode::kPacketNoTarget);
  }
  Decision decision;
  decision.m_kind = DecisionKind::kTarget;
  decision.m_service = target.m_service;
  decision.m_target = target.m_id;
  decision.m_endpoint = target.m_gue_endpoint;
  if (m_stalled_flow_detector.IsStalled(*context.m_packet, target.m_id, context.m_now)) {
    decision.m_kind = DecisionKind::kReset;
    m_records.Erase(context.m_packet->m_flow_hash, target.m_service);
  }
  return decision;
}

Decision FlowDecider::SendToBalancer(const Context& context, const BalancerEntry* balancer, ForwardReason reason) {
  if (context.m_packet->m_hop_count >= kMaxHops) return Drop(context.m_service, ErrorCode::kPacketLoop);
  Decision decision;
  decision.m_kind = DecisionKind::kBalancer;
  decision.m_reason = reason;
  decision.m_service = context.m_service->Id();
  decision.m_balancer = balancer->m_host;
  decision.m_endpoint = balancer->m_data_endpoint;
  return decision;
}

const BalancerEntry* FlowDecider::FreshPeer(const Context& context) const noexcept {
  // A packet that was already forwarded because of a stale table is decided here: the sender knew no balancer with a
  // newer table.
  const bool is_forwarded_as_stale = context.m_packet->m_reason == ForwardReason::kStaleTable;
  if (is_forwarded_as_stale || context.m_packet->m_hop_count + 1 >= kMaxHops) return nullptr;
  if (m_contact.m_fresh_peer == HostId{} || m_contact.m_fresh_peer == m_table->Self()) return nullptr;
  return m_table->Keepers().FindBalancer(m_contact.m_fresh_peer);
}

const TargetEntry* FlowDecider::RecordedTarget(const Context& context) {
  if (m_records.size() == 0) return nullptr;
  const FlowRecord* record =
      m_records.Touch(context.m_packet->m_flow_hash, context.m_service->Id(), FlowTick(context.m_now));
  if (record == nullptr) return nullptr;
  const TargetEntry* target = context.m_service->FindTarget(record->m_target);
  // The target is gone and the flow with it. Without the record, the next flow with the same key can open elsewhere.
  if (target == nullptr) m_records.Erase(record->m_fingerprint, record->m_service);
  return target;
}

void FlowDecider::UpdateNonCurrentTime(const Context& context, const SlotOwners& owners, const TargetEntry& target) {
  if (&target == owners.m_current) return;
  m_last_non_current_packet[{context.m_service->Id(), target.m_data_centre}] = context.m_now;
  const bool is_other_data_centre =
      owners.m_current == nullptr || owners.m_current->m_data_centre != target.m_data_centre;
  if (is_other_data_centre) m_last_non_current_packet[{context.m_service->Id(), DataCentreId{}}] = context.m_now;
}

void FlowDecider::RememberUnrecordedFlow(const Context& context, const TargetEntry& target) noexcept {
  const Packet& packet = *context.m_packet;
  if (packet.m_kind == PacketKind::kLater) return;
  const FlowRecord record{packet.m_flow_hash, target.m_id, target.m_service, FlowTick(context.m_now)};
  if (packet.m_kind == PacketKind::kDatagram) {
    m_recent_udp_flows.Put(packet.m_flow_hash >> 32U, record);
    return;
  }
  m_recent_first_packets.Put(m_recent_first_position, record);
  m_recent_first_position = (m_recent_first_position + 1) % m_recent_first_packets.size();
}

}  // namespace fighatch
