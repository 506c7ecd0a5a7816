#ifndef FIGHATCH_FORWARDING_TABLE_H_
#define FIGHATCH_FORWARDING_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/flow_key.h"
#include "fighatch/ids.h"
#include "fighatch/keeper_ranks.h"
#include "fighatch/member.h"
#include "fighatch/state_document.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// A target as the data path needs it.
struct TargetEntry {
  TargetId m_id;
  /// Always the service of the table that holds the entry; checked again before a packet is sent.
  ServiceId m_service;
  DataCentreId m_data_centre;
  Endpoint m_gue_endpoint;
};

/// The owners of a hash slot. The pointers live as long as the table.
struct SlotOwners {
  /// True if the slot has one owner and its packets need no record; the owner is `m_current`.
  bool m_settled = false;
  /// True if new flows open at another owner than `m_base`, or soon will: first packets are recorded.
  bool m_record_first = false;
  /// True if the slot changes at level 1 and its data centre by base has several owners for it.
  bool m_ask_base_keeper = false;
  /// True if later packets without record are dropped: their data centre is cut off.
  bool m_base_cut_off = false;
  /// Where TCP flows without record belong; null if there is none.
  const TargetEntry* m_base = nullptr;
  /// Where new flows open; null if there is none.
  const TargetEntry* m_current = nullptr;
  /// The owner announced in phase `kLearning`; null in the other phases.
  const TargetEntry* m_next = nullptr;
  /// The data centre whose balancers keep the records.
  DataCentreId m_keeper_data_centre;
  /// The data centre by base.
  DataCentreId m_base_data_centre;
};

/// The slots of one service with the targets that own them. Immutable.
class ServiceTable {
 public:
  [[nodiscard]] ServiceId Id() const noexcept { return m_id; }
  [[nodiscard]] ServiceMode Mode() const noexcept { return m_mode; }
  /// The slot of a flow.
  [[nodiscard]] std::uint32_t SlotOf(std::uint64_t flow_hash) const noexcept {
    return static_cast<std::uint32_t>(flow_hash) & m_slot_mask;
  }
  [[nodiscard]] std::uint32_t Slots() const noexcept { return m_slot_mask + 1; }
  /// The owner of a settled slot; null if the slot changes or has no owner.
  [[nodiscard]] const TargetEntry* SettledOwner(std::uint32_t slot) const noexcept {
    const std::uint32_t index = PackedIndex(slot);
    return index < m_targets.size() ? &m_targets[index] : nullptr;
  }
  /// All owners of a slot.
  [[nodiscard]] SlotOwners Resolve(std::uint32_t slot) const noexcept;
  /// The live target of this id; null if it is gone.
  [[nodiscard]] const TargetEntry* FindTarget(TargetId id) const noexcept;
  [[nodiscard]] std::span<const TargetEntry> Targets() const noexcept { return m_targets; }
  /// Number of slots that are not settled.
  [[nodiscard]] std::size_t ChangingSlots() const noexcept { return m_changing.size(); }
  /// Memory in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  friend class ServiceTableBuilder;

  struct ChangingSlot {
    std::uint16_t m_slot_low = 0;
    std::uint16_t m_slot_high = 0;
    std::uint16_t m_base = 0;
    std::uint16_t m_current = 0;
    std::uint16_t m_next = 0;
    std::uint16_t m_keeper_data_centre = 0;
    std::uint16_t m_base_data_centre = 0;
    std::uint16_t m_flags = 0;

    [[nodiscard]] std::uint32_t Slot() const noexcept {
      return (static_cast<std::uint32_t>(m_slot_high) << 16U) | m_slot_low;
    }
  };

  /// Indexes are packed in 2^m_width_log2 bits each; a value at or above the number of targets means "not settled".
  [[nodiscard]] std::uint32_t PackedIndex(std::uint32_t slot) const noexcept {
    const std::uint32_t bit = slot << m_width_log2;
    return (m_packed[bit >> 5U] >> (bit & 31U)) & m_width_mask;
  }
  [[nodiscard]] const TargetEntry* TargetAt(std::uint16_t index) const noexcept {
    return index < m_targets.size() ? &m_targets[index] : nullptr;
  }

  ServiceId m_id;
  ServiceMode m_mode = ServiceMode::kFlow;
  std::uint32_t m_slot_mask = 0;
  std::uint32_t m_width_log2 = 0;
  std::uint32_t m_width_mask = 0;
  /// Digest of all that the table was built from; a new table with the same digest shares it.
  std::uint64_t m_digest = 0;
  Version m_share_version;
  /// Data centres that were out under `m_share_version`.
  std::vector<DataCentreId> m_excluded_data_centres;
  /// Ascending by id.
  std::vector<TargetEntry> m_targets;
  std::vector<std::uint32_t> m_packed;
  /// Ascending by slot.
  std::vector<ChangingSlot> m_changing;
};

class ForwardingTable;

/// What a forwarding table is built from. Tables of unknown services, targets of other services than their table's and
/// targets of data centres that are out are left aside.
struct ForwardingTableInput {
  const StateDocument* m_state = nullptr;
  /// Both levels: a table with data centre 0 holds the shares of data centres. Without one the shares are those of the
  /// ticket.
  std::span<const OwnerTable> m_tables;
  std::span<const TargetInfo> m_targets;
  std::span<const Member> m_members;
  HostId m_self;
  DataCentreId m_self_data_centre;
  /// Data centres that cannot be reached now.
  std::span<const DataCentreId> m_cut_off;
  /// Data centres that were cut off within the idle limit: flows that were opened elsewhere meanwhile keep their
  /// targets.
  std::span<const DataCentreId> m_recently_cut_off;
  /// The table in use, whose unchanged services are shared; may be null.
  const ForwardingTable* m_previous = nullptr;
};

/// The immutable table of all services that a balancer forwards by.
class ForwardingTable {
 public:
  /// Builds a table.
  [[nodiscard]] static std::shared_ptr<const ForwardingTable> Build(const ForwardingTableInput& input);

  /// The service that callers reach at this endpoint; null if there is none.
  [[nodiscard]] const ServiceTable* FindService(const Endpoint& endpoint, Transport transport) const noexcept;
  /// The service of this id; null if there is none.
  [[nodiscard]] const ServiceTable* FindService(ServiceId id) const noexcept;
  /// The service of this id with shared ownership; null if there is none.
  [[nodiscard]] std::shared_ptr<const ServiceTable> FindSharedService(ServiceId id) const noexcept;
  [[nodiscard]] const KeeperRanks& Keepers() const noexcept { return m_keepers; }
  [[nodiscard]] HostId Self() const noexcept { return m_self; }
  [[nodiscard]] DataCentreId SelfDataCentre() const noexcept { return m_self_data_centre; }
  /// Version of the state document.
  [[nodiscard]] Version StateVersion() const noexcept { return m_state_version; }
  /// All services, ascending by id.
  [[nodiscard]] std::span<const std::shared_ptr<const ServiceTable>> AllServices() const noexcept { return m_services; }
  /// Memory in bytes, including what is shared with the previous table.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  struct AddressEntry {
    ServiceAddress m_address;
    /// Index of the service plus 1; 0 if the entry is free.
    std::uint32_t m_service = 0;
  };

  void AddAddress(const ServiceAddress& address, std::uint32_t service) noexcept;

  HostId m_self;
  DataCentreId m_self_data_centre;
  Version m_state_version;
  KeeperRanks m_keepers;
  /// Ascending by id.
  std::vector<std::shared_ptr<const ServiceTable>> m_services;
  /// Open addressing; the size is a power of two.
  std::vector<AddressEntry> m_addresses;
};

}  // namespace fighatch

#endif  // FIGHATCH_FORWARDING_TABLE_H_
