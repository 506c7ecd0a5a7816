#ifndef FIGHATCH_FLOW_SERVICE_TABLE_BUILDER_H_
#define FIGHATCH_FLOW_SERVICE_TABLE_BUILDER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "fighatch/forwarding_table.h"

namespace fighatch {

/// The owner maps of one `OwnerTable`, which is of level 1 (data centres) or level 2 (targets). Lists that are equal
/// share a map.
struct LevelMaps {
  /// For each list the owner of each slot, as an index of a target or data centre, or `kNoOwner`.
  std::vector<std::vector<std::uint16_t>> m_maps;
  /// Indexes into `m_maps`.
  std::size_t m_base = 0;
  std::size_t m_current = 0;
  /// Equal to `m_current` unless the phase is `kLearning`.
  std::size_t m_next = 0;
  bool m_learning = false;
};

/// Builds the `ServiceTable` of one service from its owner tables of both levels: level 1 gives the data centre of a
/// slot, level 2 the target within it. Used by `ForwardingTable::Build`.
class ServiceTableBuilder {
 public:
  /// The part of a `ForwardingTableInput` that concerns one service.
  struct Input {
    const ForwardingTableInput* m_common = nullptr;
    const Service* m_service = nullptr;
    std::span<const OwnerTable* const> m_tables;
    std::span<const TargetInfo* const> m_targets;
    /// The service's table in use; may be null.
    std::shared_ptr<const ServiceTable> m_previous;
  };

  explicit ServiceTableBuilder(Input input) : m_input(std::move(input)) {}

  /// Returns the table, or the previous one if that was built from equal input.
  [[nodiscard]] std::shared_ptr<const ServiceTable> Build();

 private:
  /// A data centre with the owner maps of its level 2 table.
  struct DataCentreOwners {
    DataCentreId m_id;
    bool m_cut_off = false;
    bool m_recently_cut_off = false;
    LevelMaps m_owners;
  };
  /// The different owners of a slot that exist. It keeps the first `kMaxOwners`: with two the slot is in transition
  /// already.
  struct OwnerSet {
    static constexpr std::size_t kMaxOwners = 4;
    std::array<std::uint16_t, kMaxOwners> m_owners{};
    std::size_t m_size = 0;
    void Add(std::uint16_t owner) noexcept;
  };

  void LoadShares();
  void FindExcludedDataCentres();
  [[nodiscard]] bool IsExcluded(DataCentreId id) const noexcept;
  [[nodiscard]] std::uint64_t Digest() const;
  void AddTargets();
  void AddDataCentreOwners();
  void BuildShareMaps();
  void BuildFallback();
  void ChooseIndexWidth();
  [[nodiscard]] bool HasSingleOwnerPerSlot() const noexcept;
  void AddSlot(std::uint32_t slot);
  void SetSettledOwner(std::uint32_t slot, std::uint16_t owner) noexcept;
  [[nodiscard]] ServiceTable::ChangingSlot OwnersOf(std::uint32_t slot) const;
  [[nodiscard]] bool IsSettled(std::uint32_t slot, const ServiceTable::ChangingSlot& owners) const;
  /// The target that owns a slot by a list of a data centre.
  [[nodiscard]] std::uint16_t Owner(std::uint16_t data_centre_index, std::size_t LevelMaps::*list,
                                    std::uint32_t slot) const;
  void CollectOwners(std::uint16_t data_centre_index, std::uint32_t slot, OwnerSet* owners) const;
  [[nodiscard]] std::uint16_t DataCentreIndex(std::uint64_t id) const noexcept;
  [[nodiscard]] std::uint16_t TargetIndex(std::uint64_t id, DataCentreId data_centre) const noexcept;

  Input m_input;
  /// The level 1 table, without excluded data centres.
  OwnerTable m_shares;
  bool m_has_share_table = false;
  std::vector<DataCentreOwners> m_data_centres;
  LevelMaps m_share_maps;
  /// Data centre of each slot by the `current` shares of the reachable data centres; empty if all can be reached.
  std::vector<std::uint16_t> m_fallback;
  std::shared_ptr<ServiceTable> m_table;
};

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_SERVICE_TABLE_BUILDER_H_
