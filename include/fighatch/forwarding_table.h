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

/// The fields of a target that the data path needs.
struct TargetEntry {
  TargetId m_id;
  /// Always the service of the table that holds the entry; checked again before a packet is sent.
  ServiceId m_service;
  DataCentreId m_data_centre;
  Endpoint m_gue_endpoint;
};

/// The owners of a hash slot by the owner lists of its service. Data centres own slots at level 1, targets of a data
/// centre at level 2. `base` is the list by which flows were opened before the transition, `current` the one by which
/// new flows open, `next` the one that is announced. The pointers live as long as the table.
struct SlotOwners {
  /// True if the slot is not in transition: its flows need no record, and its only owner is `m_current`, null if none.
  bool m_settled = false;
  /// True if new flows open at another owner than `m_base`, or soon will. A record is made for each first packet.
  bool m_record_first = false;
  /// True if a keeper in the base data centre must decide on later packets without a record: the slot's keepers are in
  /// another data centre, and the slot had several owners in the base data centre.
  bool m_ask_base_keeper = false;
  /// True if the keepers have just changed and may still miss records: the slot is in phase `kLearning`, and its
  /// keepers before were in the data centre of `m_current`. They are asked before a flow counts as one without a
  /// record.
  bool m_ask_former_keeper = false;
  /// True if the base data centre is cut off. Later packets without a record are dropped.
  bool m_base_cut_off = false;
  /// The owner of TCP flows without a record; null if there is none.
  const TargetEntry* m_base = nullptr;
  /// The owner that new flows open at; null if there is none.
  const TargetEntry* m_current = nullptr;
  /// The owner announced in phase `kLearning`; null in the other phases.
  const TargetEntry* m_next = nullptr;
  /// The data centre whose balancers keep the records.
  DataCentreId m_keeper_data_centre;
  /// The data centre that owns the slot by the base list of level 1.
  DataCentreId m_base_data_centre;
};

/// The hash slots of one service with the targets that own them. Immutable. Settled slots are packed as target indexes;
/// slots in transition are listed one by one.
class ServiceTable {
 public:
  [[nodiscard]] ServiceId Id() const noexcept { return m_id; }
  [[nodiscard]] ServiceMode Mode() const noexcept { return m_mode; }
  /// The slot of a flow.
  [[nodiscard]] std::uint32_t SlotOf(std::uint64_t flow_hash) const noexcept {
    return static_cast<std::uint32_t>(flow_hash) & m_slot_mask;
  }
  [[nodiscard]] std::uint32_t Slots() const noexcept { return m_slot_mask + 1; }
  /// The owner of a settled slot; null if the slot is in transition or has no owner.
  [[nodiscard]] const TargetEntry* SettledOwner(std::uint32_t slot) const noexcept {
    const std::uint32_t index = PackedIndex(slot);
    return index < m_targets.size() ? &m_targets[index] : nullptr;
  }
  /// All owners of a slot.
  [[nodiscard]] SlotOwners Resolve(std::uint32_t slot) const noexcept;
  /// The live target of this id; null if it is gone.
  [[nodiscard]] const TargetEntry* FindTarget(TargetId id) const noexcept;
  [[nodiscard]] std::span<const TargetEntry> Targets() const noexcept { return m_targets; }
  /// Number of slots in transition.
  [[nodiscard]] std::size_t ChangingSlots() const noexcept { return m_changing.size(); }
  /// Memory in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  friend class ServiceTableBuilder;

  /// A slot in transition. Owners are indexes into `m_targets`; the slot number is stored in two halves.
  struct ChangingSlot {
    std::uint16_t m_slot_low = 0;
    std::uint16_t m_slot_high = 0;
    std::uint16_t m_base = 0;
    std::uint16_t m_current = 0;
    std::uint16_t m_next = 0;
    std::uint16_t m_keeper_data_centre = 0;
    std::uint16_t m_base_data_centre = 0;
    /// Bits of flow/slot_flags.h.
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
  /// Digest of the build input. If it is equal for the next table, that table shares this one.
  std::uint64_t m_digest = 0;
  /// Version of the level 1 table.
  Version m_share_version;
  /// Data centres that were out of service under `m_share_version`.
  std::vector<DataCentreId> m_excluded_data_centres;
  /// Ascending by id.
  std::vector<TargetEntry> m_targets;
  /// Indexes of the owners of settled slots, see `PackedIndex`.
  std::vector<std::uint32_t> m_packed;
  /// Ascending by slot.
  std::vector<ChangingSlot> m_changing;
};

class ForwardingTable;

/// What a forwarding table is built from. Tables of unknown services, targets of another service than their table's and
/// targets of data centres that are out of service are ignored.
struct ForwardingTableInput {
  const StateDocument* m_state = nullptr;
  /// Owner tables of both levels. A table with data centre 0 is of level 1: it holds the shares of the data centres.
  /// Without one, the shares are the weights of the service in `m_state`, which come from the ticket.
  std::span<const OwnerTable> m_tables;
  std::span<const TargetInfo> m_targets;
  std::span<const Member> m_members;
  HostId m_self;
  DataCentreId m_self_data_centre;
  /// Data centres that cannot be reached at present.
  std::span<const DataCentreId> m_cut_off;
  /// Data centres that can be reached again after being cut off within the idle limit. Their slots stay in transition,
  /// so that flows that were opened elsewhere in the meantime keep their targets.
  std::span<const DataCentreId> m_recently_cut_off;
  /// The table in use; the new table shares its unchanged services. May be null.
  const ForwardingTable* m_previous = nullptr;
};

/// The immutable table by which a balancer forwards packets: all services with the owners of their hash slots, and the
/// ranks of the keepers.
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
  /// Memory in bytes, including services that are shared with the previous table.
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
