#include <algorithm>

#include "fighatch/flow_decider.h"
#include "fighatch/owner_transition.h"
#include "flow/record_holders.h"

namespace fighatch {
namespace {

/// Positions of the record table that one call of `Tick` visits. At a call every 10 ms, a million positions take 2.5 s.
constexpr std::size_t kPositionsPerTick = 4096;
/// Copies are refreshed this often within the idle limit, so that a copy that misses one refresh lasts until the next.
constexpr int kRefreshesInIdleLimit = 3;
/// Remembered flows that were last seen longer ago are not recorded: a caller has sent its second retransmission by
/// then.
constexpr std::uint32_t kRecentFlowTicks = FlowTicks(std::chrono::seconds(4));
/// Records of settled slots are kept until their flow is idle for this long, for balancers that still use an older
/// table.
constexpr std::uint32_t kSettledRecordTicks = FlowTicks(std::chrono::seconds(10));
/// Changes of members and of owners take different ways to the balancers. After this time all that are reachable have
/// both; the learning phase waits as long for their acknowledgements.
constexpr Duration kTableSkew = kLearningLimit;

/// The balancers that hold a record under the table; none if its slot is settled or its service is gone.
RecordHolders RecordHoldersBy(const ForwardingTable& table, const FlowRecord& record, bool with_joining) {
  const ServiceTable* service = table.FindService(record.m_service);
  if (service == nullptr) return {};
  const SlotOwners owners = service->Resolve(service->SlotOf(record.m_fingerprint));
  if (owners.m_settled) return {};
  return RecordHoldersIn(table.Keepers(), owners.m_keeper_data_centre, record.m_fingerprint, with_joining);
}

/// True if a balancer that holds a record sends it to the new holders: only the first former holder that is still a
/// member sends it. A leaving balancer sends all of its records.
bool IsSender(const RecordHolders& former, const KeeperRanks& present, HostId self) {
  if (present.FindBalancer(self) == nullptr) return true;
  for (const HostId host : former) {
    if (host == self) return true;
    if (present.FindBalancer(host) != nullptr) return false;
  }
  return true;
}

}  // namespace

void FlowDecider::SetTable(std::shared_ptr<const ForwardingTable> table, TimePoint now) {
  const std::shared_ptr<const ForwardingTable> former = std::exchange(m_table, std::move(table));
  UpdateChangeTimes(former.get(), now);
  for (const HostId host : m_transfer.Hosts()) {
    if (m_table->Keepers().FindBalancer(host) == nullptr) m_transfer.RemoveHost(host);
  }
  std::erase_if(m_finished_transfers,
                [this](const auto& entry) { return m_table->Keepers().FindBalancer(entry.first) == nullptr; });
  if (former != nullptr) {
    RemoveRecordsOfGoneTargets(*former);
    StartScan(former, now);
  }
  const std::vector<ChangedService> changed = ChangedServices(former.get());
  m_services_with_unrecorded_flows.clear();
  if (changed.empty()) return;
  RecordRecentFlows(changed, &m_recent_first_packets, now);
  RecordRecentFlows(changed, &m_recent_udp_flows, now);
}

void FlowDecider::UpdateChangeTimes(const ForwardingTable* former, TimePoint now) {
  std::erase_if(m_owners_changed_at,
                [this](const auto& entry) { return m_table->FindService(entry.first) == nullptr; });
  std::erase_if(m_last_non_current_packet,
                [this](const auto& entry) { return m_table->FindService(entry.first.first) == nullptr; });
  for (const std::shared_ptr<const ServiceTable>& service : m_table->AllServices()) {
    if (service->ChangingSlots() == 0) continue;
    if (former == nullptr || former->FindService(service->Id()) != service.get())
      m_owners_changed_at[service->Id()] = now;
  }
}

void FlowDecider::RemoveRecordsOfGoneTargets(const ForwardingTable& former) {
  const auto services = former.AllServices();
  const bool any_gone = std::any_of(services.begin(), services.end(), [this](const auto& service) {
    const ServiceTable* present = m_table->FindService(service->Id());
    if (present == service.get()) return false;
    return present == nullptr ||
           std::any_of(service->Targets().begin(), service->Targets().end(),
                       [present](const TargetEntry& target) { return present->FindTarget(target.m_id) == nullptr; });
  });
  if (!any_gone) return;
  m_records.Sweep(m_records.PositionCount() + m_records.size(), [this](const FlowRecord& record) {
    const ServiceTable* service = m_table->FindService(record.m_service);
    return service == nullptr || service->FindTarget(record.m_target) == nullptr;
  });
}

void FlowDecider::StartScan(const std::shared_ptr<const ForwardingTable>& former, TimePoint now) {
  while (!m_replaced_tables.empty() && now - m_replaced_tables.front().m_replaced > kTableSkew) {
    m_replaced_tables.pop_front();
  }
  m_replaced_tables.push_back({former, now});
  // A scan in progress starts again, still from the table under which the records were last distributed.
  if (!m_is_scanning) m_scan_former_table = former;
  m_is_scanning = true;
  m_scan_position = 0;
}

std::vector<FlowDecider::ChangedService> FlowDecider::ChangedServices(const ForwardingTable* former) const {
  std::vector<ChangedService> changed;
  std::span<const std::shared_ptr<const ServiceTable>> old;
  if (former != nullptr) old = former->AllServices();
  // Both lists ascend by id; an unchanged service has the same `ServiceTable` object in both.
  auto before = old.begin();
  for (const std::shared_ptr<const ServiceTable>& service : m_table->AllServices()) {
    for (; before != old.end() && (*before)->Id() < service->Id(); ++before) changed.push_back({(*before)->Id()});
    const bool is_known = before != old.end() && (*before)->Id() == service->Id();
    const bool is_same = is_known && *before == service && !m_services_with_unrecorded_flows.contains(service->Id());
    if (!is_same) changed.push_back({service->Id(), service.get()});
    if (is_known) ++before;
  }
  for (; before != old.end(); ++before) changed.push_back({(*before)->Id()});
  return changed;
}

void FlowDecider::RecordRecentFlows(const std::vector<ChangedService>& changed, RecentFlows* recent, TimePoint now) {
  recent->RemoveIf(FlowTick(now), kRecentFlowTicks, [&](const FlowRecord& record) {
    const auto found =
        std::lower_bound(changed.begin(), changed.end(), record.m_service,
                         [](const ChangedService& service, ServiceId wanted) { return service.m_id < wanted; });
    const bool is_changed = found != changed.end() && found->m_id == record.m_service;
    return is_changed && RecordRecentFlow(record, found->m_table, now);
  });
}

bool FlowDecider::RecordRecentFlow(const FlowRecord& record, const ServiceTable* service, TimePoint now) {
  if (service == nullptr) return true;
  const std::uint32_t slot = service->SlotOf(record.m_fingerprint);
  const TargetEntry* settled = service->SettledOwner(slot);
  if (settled != nullptr && settled->m_id == record.m_target) return false;
  // The flow is forgotten if its target is gone: if the target returned, the flow could have opened elsewhere in the
  // meantime.
  if (service->FindTarget(record.m_target) == nullptr) return true;
  if (settled != nullptr) return false;
  const SlotOwners owners = service->Resolve(slot);
  if (owners.m_settled || !owners.m_record_first) return false;
  if (AddRecord(record, owners.m_keeper_data_centre, now)) return true;
  m_services_with_unrecorded_flows.insert(record.m_service);
  return false;
}

bool FlowDecider::AddRecord(const FlowRecord& record, DataCentreId keepers, TimePoint now) {
  if (!m_records.Insert(record)) return false;
  for (const HostId host : RecordHoldersIn(m_table->Keepers(), keepers, record.m_fingerprint, true)) {
    if (host != m_table->Self()) m_transfer.QueueNew(host, record, now);
  }
  return true;
}

FlowRecordsAck FlowDecider::OnRecords(const FlowRecordsMessage& message, TimePoint now) {
  const std::uint32_t tick = FlowTick(now);
  bool all_taken = true;
  for (const WireFlowRecord& record : message.m_records) {
    const std::uint32_t last_seen = record.m_age < tick ? tick - record.m_age : 0;
    const FlowRecord held{record.m_fingerprint, record.m_target, record.m_service, last_seen};
    if (held.m_target.m_value == 0) continue;
    const bool is_new = m_records.Find(held.m_fingerprint, held.m_service) == nullptr;
    const bool is_taken = m_records.Insert(held);
    if (is_new && is_taken) PassOnReceivedRecord(held);
    all_taken = is_taken && all_taken;
  }
  if (message.m_final) {
    FinishedTransfer& finished = m_finished_transfers[message.m_sender];
    if (finished.m_keepers_digest != message.m_keepers_digest) finished = {message.m_keepers_digest, 1, {}};
    finished.m_shards = message.m_shards;
    finished.m_finished_shards.insert(message.m_shard);
  }
  // Sequence 0 acknowledges no batch, so the sender resends this one until there is room.
  const HostId self = m_table == nullptr ? m_options.m_transfer.m_self : m_table->Self();
  return {kFlowRecordsVersion, self, message.m_shard, all_taken ? message.m_sequence : 0};
}

void FlowDecider::PassOnReceivedRecord(const FlowRecord& record) {
  if (m_table == nullptr) return;
  const RecordHolders present = RecordHoldersBy(*m_table, record, false);
  const bool is_holder = present.Has(m_table->Self());
  if (is_holder && *present.begin() != m_table->Self()) return;
  for (const HostId host : RecordHoldersBy(*m_table, record, true)) {
    if (host != m_table->Self() && !(is_holder && present.Has(host))) m_transfer.QueueBulk(host, record);
  }
}

std::vector<OutgoingRecords> FlowDecider::Tick(TimePoint now) {
  if (m_table == nullptr) return {};
  if (!m_is_scanning && !m_replaced_tables.empty() && now - m_replaced_tables.back().m_replaced > kTableSkew) {
    m_replaced_tables.clear();
  }
  if (m_is_scanning) {
    ScanRecords();
  } else if (m_records.size() > 0) {
    // Erasing moves records to other positions, so expiry waits until a scan has visited all records.
    const std::uint32_t tick = FlowTick(now);
    m_records.Sweep(std::min(kPositionsPerTick, m_records.PositionCount()),
                    [this, tick](const FlowRecord& record) { return IsExpired(record, tick); });
    RefreshCopies(now);
  }
  return m_transfer.Tick(now);
}

void FlowDecider::RefreshCopies(TimePoint now) {
  const Duration period = m_options.m_idle_limit / kRefreshesInIdleLimit;
  if (m_refresh_position == 0) {
    if (now - m_refresh_started < period) return;
    m_refresh_started = now;
  }
  const std::uint32_t tick = FlowTick(now);
  const std::size_t end = std::min(m_refresh_position + kPositionsPerTick, m_records.PositionCount());
  for (; m_refresh_position < end; ++m_refresh_position) {
    const FlowRecord* record = m_records.At(m_refresh_position);
    if (record == nullptr || tick - std::min(tick, record->m_last_seen) > FlowTicks(period)) continue;
    for (const HostId host : RecordHoldersBy(*m_table, *record, true)) {
      if (host != m_table->Self()) m_transfer.QueueBulk(host, *record);
    }
  }
  if (m_refresh_position == m_records.PositionCount()) m_refresh_position = 0;
}

bool FlowDecider::IsExpired(const FlowRecord& record, std::uint32_t tick) const noexcept {
  const std::uint32_t idle = tick - std::min(tick, record.m_last_seen);
  if (idle > FlowTicks(m_options.m_idle_limit)) return true;
  const ServiceTable* service = m_table->FindService(record.m_service);
  if (service == nullptr || service->FindTarget(record.m_target) == nullptr) return true;
  return idle > kSettledRecordTicks && service->Resolve(service->SlotOf(record.m_fingerprint)).m_settled;
}

void FlowDecider::ScanRecords() {
  // Joining balancers count as former holders only if no rank has changed. Otherwise the balancer that was sending them
  // the records may have died before it finished.
  const bool same_ranks = m_scan_former_table->Keepers().Digest() == m_table->Keepers().Digest();
  const std::size_t end = std::min(m_scan_position + kPositionsPerTick, m_records.PositionCount());
  for (; m_scan_position < end; ++m_scan_position) {
    const FlowRecord* record = m_records.At(m_scan_position);
    if (record != nullptr) TransferRecord(*record, same_ranks);
  }
  if (m_scan_position == m_records.PositionCount()) FinishScan();
}

void FlowDecider::TransferRecord(const FlowRecord& record, bool same_ranks) {
  const HostId self = m_table->Self();
  const RecordHolders former = RecordHoldersBy(*m_scan_former_table, record, same_ranks);
  if (!IsSender(former, m_table->Keepers(), self) && !IsSenderBeforeChanges(record)) return;
  for (const HostId host : RecordHoldersBy(*m_table, record, true)) {
    if (host != self && !former.Has(host)) m_transfer.QueueBulk(host, record);
  }
}

bool FlowDecider::IsSenderBeforeChanges(const FlowRecord& record) const {
  // If two changes come close together and balancers get them in different order, then by the tables between the two
  // each holder may take another one for the sender. By the table before both they agree.
  if (m_replaced_tables.empty()) return false;
  const RecordHolders holders = RecordHoldersBy(*m_replaced_tables.front().m_table, record, false);
  return holders.Has(m_table->Self()) && IsSender(holders, m_table->Keepers(), m_table->Self());
}

void FlowDecider::FinishScan() {
  m_is_scanning = false;
  m_scan_former_table = nullptr;
  for (const BalancerEntry& balancer : m_table->Keepers().Joining(m_table->SelfDataCentre())) {
    if (balancer.m_host != m_table->Self())
      m_transfer.QueueFinal(balancer.m_host, m_table->Keepers().ReadyDigest(m_table->SelfDataCentre()));
  }
}

bool FlowDecider::HasAllRecords() const {
  if (m_table == nullptr) return false;
  const std::vector<BalancerEntry> keepers = m_table->Keepers().Ready(m_table->SelfDataCentre());
  const std::uint64_t digest = m_table->Keepers().ReadyDigest(m_table->SelfDataCentre());
  return std::all_of(keepers.begin(), keepers.end(), [this, digest](const BalancerEntry& keeper) {
    if (keeper.m_host == m_table->Self()) return true;
    const auto found = m_finished_transfers.find(keeper.m_host);
    return found != m_finished_transfers.end() && found->second.m_keepers_digest == digest &&
           found->second.m_finished_shards.size() >= found->second.m_shards;
  });
}

std::uint32_t FlowDecider::BaseIdleSeconds(ServiceId service, DataCentreId data_centre, TimePoint now) const {
  TimePoint last;
  if (const auto found = m_owners_changed_at.find(service); found != m_owners_changed_at.end()) last = found->second;
  if (const auto found = m_last_non_current_packet.find({service, data_centre});
      found != m_last_non_current_packet.end()) {
    last = std::max(last, found->second);
  }
  const auto idle = std::chrono::duration_cast<std::chrono::seconds>(now - last).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(idle, 0, 0xFFFFFFFF));
}

std::size_t FlowDecider::Bytes() const noexcept {
  return m_records.Bytes() + m_stalled_flow_detector.Bytes() + m_recent_first_packets.Bytes() +
         m_recent_udp_flows.Bytes();
}

}  // namespace fighatch
