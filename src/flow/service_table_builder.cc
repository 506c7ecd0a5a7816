#include "flow/service_table_builder.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fighatch/hash.h"
#include "fighatch/slot_table.h"
#include "flow/slot_flags.h"

namespace fighatch {
namespace {

template <typename T>
bool Contains(std::span<const T> values, const T& value) noexcept {
  return std::find(values.begin(), values.end(), value) != values.end();
}

void MixOwnerList(const std::vector<OwnerEntry>& list, std::uint64_t* digest) {
  *digest = MixHash(*digest, list.size());
  for (const OwnerEntry& entry : list) *digest = MixHash(MixHash(*digest, entry.m_id), entry.m_weight);
}

void MixOwnerTable(const OwnerTable& table, std::uint64_t* digest) {
  *digest = MixHash(*digest, table.m_data_centre.m_value);
  *digest = MixHash(MixHash(*digest, table.m_version.m_epoch), table.m_version.m_generation);
  *digest = MixHash(*digest, static_cast<std::uint64_t>(table.m_phase) + (table.m_past.size() << 8U));
  MixOwnerList(table.m_base, digest);
  for (const std::vector<OwnerEntry>& list : table.m_past) MixOwnerList(list, digest);
  MixOwnerList(table.m_current, digest);
  MixOwnerList(table.m_next, digest);
}

void MixTarget(const TargetInfo& target, std::uint64_t* digest) {
  *digest = MixHash(MixHash(*digest, target.m_id.m_value), target.m_incarnation.m_value);
  *digest = MixHash(*digest, static_cast<std::uint64_t>(target.m_state) + (target.m_data_centre.m_value << 8U));
  const std::uint64_t address = HashBytes(std::as_bytes(std::span(target.m_gue_endpoint.m_address.m_bytes)));
  *digest = MixHash(MixHash(*digest, address), target.m_gue_endpoint.m_port);
}

/// Computes the owner maps of a table; `index_of` converts owner ids to indexes.
template <typename IndexOf>
LevelMaps BuildLevelMaps(const OwnerTable& table, std::uint32_t slots, const IndexOf& index_of) {
  LevelMaps maps;
  std::vector<const std::vector<OwnerEntry>*> lists;
  const auto add_list = [&](const std::vector<OwnerEntry>& list) {
    for (std::size_t index = 0; index < lists.size(); ++index) {
      if (*lists[index] == list) return index;
    }
    lists.push_back(&list);
    std::vector<std::uint16_t> map = OwnersOfSlots(list, slots);
    std::vector<std::uint16_t> indexes;
    indexes.reserve(list.size());
    for (const OwnerEntry& entry : list) indexes.push_back(index_of(entry.m_id));
    for (std::uint16_t& owner : map) owner = owner == kNoOwner ? kNoOwner : indexes[owner];
    maps.m_maps.push_back(std::move(map));
    return lists.size() - 1;
  };
  maps.m_learning = table.m_phase == TransitionPhase::kLearning;
  maps.m_current = add_list(table.m_current);
  maps.m_base = table.m_phase == TransitionPhase::kSettled ? maps.m_current : add_list(table.m_base);
  if (table.m_phase != TransitionPhase::kSettled) {
    for (const std::vector<OwnerEntry>& list : table.m_past) add_list(list);
  }
  maps.m_next = maps.m_learning ? add_list(table.m_next) : maps.m_current;
  return maps;
}

}  // namespace

void ServiceTableBuilder::OwnerSet::Add(std::uint16_t owner) noexcept {
  if (owner == kNoOwner || m_size == kMaxOwners) return;
  const auto end = m_owners.begin() + static_cast<std::ptrdiff_t>(m_size);
  if (std::find(m_owners.begin(), end, owner) == end) m_owners[m_size++] = owner;
}

std::shared_ptr<const ServiceTable> ServiceTableBuilder::Build() {
  m_table = std::make_shared<ServiceTable>();
  m_table->m_id = m_input.m_service->m_id;
  m_table->m_mode = m_input.m_service->m_mode;
  m_table->m_slot_mask = std::max(m_input.m_service->m_hash_slots, 1U) - 1;
  LoadShares();
  FindExcludedDataCentres();
  m_table->m_digest = Digest();
  const std::shared_ptr<const ServiceTable>& previous = m_input.m_previous;
  if (previous != nullptr && previous->m_digest == m_table->m_digest) return previous;
  AddTargets();
  ChooseIndexWidth();
  if (m_table->m_targets.empty() || m_table->m_mode != ServiceMode::kFlow) return m_table;
  AddDataCentreOwners();
  BuildShareMaps();
  BuildFallback();
  const bool is_simple = HasSingleOwnerPerSlot();
  for (std::uint32_t slot = 0; slot <= m_table->m_slot_mask; ++slot) {
    if (is_simple) {
      SetSettledOwner(slot, Owner(m_share_maps.m_maps[0][slot], &LevelMaps::m_current, slot));
    } else {
      AddSlot(slot);
    }
  }
  m_table->m_changing.shrink_to_fit();
  return m_table;
}

void ServiceTableBuilder::LoadShares() {
  for (const OwnerTable* table : m_input.m_tables) {
    if (table->m_data_centre.m_value != 0) continue;
    m_shares = *table;
    m_has_share_table = true;
  }
  if (m_has_share_table) return;
  const auto& data_centres = m_input.m_common->m_state->m_data_centres;
  for (const DataCentreWeight& weight : m_input.m_service->m_weights) {
    const auto found = data_centres.find(weight.m_data_centre);
    if (found == data_centres.end()) continue;
    const auto share = static_cast<std::uint16_t>(std::min(weight.m_weight, 0xFFFFU));
    m_shares.m_current.push_back({found->second.m_id.m_value, share});
  }
  m_shares.m_base = m_shares.m_current;
}

void ServiceTableBuilder::FindExcludedDataCentres() {
  for (const auto& [name, data_centre] : m_input.m_common->m_state->m_data_centres) {
    if (data_centre.m_state == DataCentreState::kOut) m_table->m_excluded_data_centres.push_back(data_centre.m_id);
  }
  // A data centre that returns stays excluded until the region coordinator has written a new table: the flows of its
  // slots are at other data centres by now, so the slots must go through a transition.
  const ServiceTable* previous = m_input.m_previous.get();
  m_table->m_share_version = m_shares.m_version;
  if (m_has_share_table && previous != nullptr && previous->m_share_version == m_shares.m_version) {
    for (const DataCentreId id : previous->m_excluded_data_centres) {
      if (!IsExcluded(id)) m_table->m_excluded_data_centres.push_back(id);
    }
  }
  std::sort(m_table->m_excluded_data_centres.begin(), m_table->m_excluded_data_centres.end());
  for (const DataCentreId id : m_table->m_excluded_data_centres) {
    for (auto* list : {&m_shares.m_base, &m_shares.m_current, &m_shares.m_next}) {
      std::erase_if(*list, [id](const OwnerEntry& entry) { return entry.m_id == id.m_value; });
    }
    for (std::vector<OwnerEntry>& list : m_shares.m_past) {
      std::erase_if(list, [id](const OwnerEntry& entry) { return entry.m_id == id.m_value; });
    }
  }
}

bool ServiceTableBuilder::IsExcluded(DataCentreId id) const noexcept {
  return Contains(std::span<const DataCentreId>(m_table->m_excluded_data_centres), id);
}

std::uint64_t ServiceTableBuilder::Digest() const {
  std::uint64_t digest = MixHash(m_table->m_id.m_value, m_table->m_slot_mask);
  digest = MixHash(digest, static_cast<std::uint64_t>(m_table->m_mode));
  MixOwnerTable(m_shares, &digest);
  for (const OwnerTable* table : m_input.m_tables) {
    if (table->m_data_centre.m_value != 0) MixOwnerTable(*table, &digest);
  }
  for (const TargetInfo* target : m_input.m_targets) MixTarget(*target, &digest);
  for (const DataCentreId id : m_table->m_excluded_data_centres) digest = MixHash(digest, id.m_value);
  for (const DataCentreId id : m_input.m_common->m_cut_off) digest = MixHash(digest, id.m_value + 0x10000U);
  for (const DataCentreId id : m_input.m_common->m_recently_cut_off) digest = MixHash(digest, id.m_value + 0x20000U);
  return MixHash(digest, m_input.m_common->m_self_data_centre.m_value);
}

void ServiceTableBuilder::AddTargets() {
  std::vector<TargetEntry>& targets = m_table->m_targets;
  for (const TargetInfo* target : m_input.m_targets) {
    if (target->m_state == TargetState::kStopped || IsExcluded(target->m_data_centre)) continue;
    targets.push_back({target->m_id, target->m_service, target->m_data_centre, target->m_gue_endpoint});
  }
  std::sort(targets.begin(), targets.end(),
            [](const TargetEntry& left, const TargetEntry& right) { return left.m_id.m_value < right.m_id.m_value; });
  const auto same_id = [](const TargetEntry& left, const TargetEntry& right) { return left.m_id == right.m_id; };
  targets.erase(std::unique(targets.begin(), targets.end(), same_id), targets.end());
  if (targets.size() > kMaxTargets) targets.resize(kMaxTargets);
  targets.shrink_to_fit();
}

void ServiceTableBuilder::ChooseIndexWidth() {
  // Smallest power of two of bits per index in which all indexes fit. The highest value marks a slot that is not
  // settled.
  while ((1U << (1U << m_table->m_width_log2)) - 1U < m_table->m_targets.size()) ++m_table->m_width_log2;
  const std::uint32_t width = 1U << m_table->m_width_log2;
  m_table->m_width_mask = (1U << width) - 1U;
  m_table->m_packed.assign((static_cast<std::size_t>(m_table->Slots()) * width + 31U) / 32U, ~0U);
}

void ServiceTableBuilder::AddDataCentreOwners() {
  for (const OwnerTable* table : m_input.m_tables) {
    if (table->m_data_centre.m_value == 0 || IsExcluded(table->m_data_centre)) continue;
    const DataCentreId id = table->m_data_centre;
    const auto index_of = [this, id](std::uint64_t owner) { return TargetIndex(owner, id); };
    DataCentreOwners data_centre{
        id, Contains(m_input.m_common->m_cut_off, id), Contains(m_input.m_common->m_recently_cut_off, id), {}};
    data_centre.m_owners = BuildLevelMaps(*table, m_table->Slots(), index_of);
    m_data_centres.push_back(std::move(data_centre));
  }
}

void ServiceTableBuilder::BuildShareMaps() {
  m_share_maps = BuildLevelMaps(m_shares, m_table->Slots(), [this](std::uint64_t id) { return DataCentreIndex(id); });
}

void ServiceTableBuilder::BuildFallback() {
  if (std::none_of(m_data_centres.begin(), m_data_centres.end(),
                   [](const DataCentreOwners& data_centre) { return data_centre.m_cut_off; }))
    return;
  std::vector<OwnerEntry> reachable;
  for (const OwnerEntry& entry : m_shares.m_current) {
    const std::uint16_t data_centre_index = DataCentreIndex(entry.m_id);
    if (data_centre_index != kNoOwner && !m_data_centres[data_centre_index].m_cut_off) reachable.push_back(entry);
  }
  m_fallback = OwnersOfSlots(reachable, m_table->Slots());
  for (std::uint16_t& owner : m_fallback) owner = owner == kNoOwner ? kNoOwner : DataCentreIndex(reachable[owner].m_id);
}

std::uint16_t ServiceTableBuilder::DataCentreIndex(std::uint64_t id) const noexcept {
  const auto found = std::find_if(m_data_centres.begin(), m_data_centres.end(),
                                  [id](const DataCentreOwners& data_centre) { return data_centre.m_id.m_value == id; });
  return found == m_data_centres.end() ? kNoOwner : static_cast<std::uint16_t>(found - m_data_centres.begin());
}

std::uint16_t ServiceTableBuilder::TargetIndex(std::uint64_t id, DataCentreId data_centre) const noexcept {
  const TargetEntry* entry = m_table->FindTarget(TargetId{id});
  if (entry == nullptr || entry->m_data_centre != data_centre) return kNoOwner;
  return static_cast<std::uint16_t>(entry - m_table->m_targets.data());
}

std::uint16_t ServiceTableBuilder::Owner(std::uint16_t data_centre_index, std::size_t LevelMaps::*list,
                                         std::uint32_t slot) const {
  if (data_centre_index == kNoOwner) return kNoOwner;
  const LevelMaps& maps = m_data_centres[data_centre_index].m_owners;
  return maps.m_maps[maps.*list][slot];
}

void ServiceTableBuilder::CollectOwners(std::uint16_t data_centre_index, std::uint32_t slot, OwnerSet* owners) const {
  if (data_centre_index == kNoOwner) return;
  for (const std::vector<std::uint16_t>& map : m_data_centres[data_centre_index].m_owners.m_maps)
    owners->Add(map[slot]);
}

ServiceTable::ChangingSlot ServiceTableBuilder::OwnersOf(std::uint32_t slot) const {
  const auto data_centre_by = [&](std::size_t list) { return m_share_maps.m_maps[list][slot]; };
  const std::uint16_t base_index = data_centre_by(m_share_maps.m_base);
  const std::uint16_t next_index = data_centre_by(m_share_maps.m_next);
  std::uint16_t current_index = data_centre_by(m_share_maps.m_current);
  const auto cut_off = [&](std::uint16_t data_centre_index) {
    return data_centre_index != kNoOwner && m_data_centres[data_centre_index].m_cut_off;
  };
  if (cut_off(current_index)) current_index = m_fallback[slot];

  ServiceTable::ChangingSlot owners;
  owners.m_slot_low = static_cast<std::uint16_t>(slot);
  owners.m_slot_high = static_cast<std::uint16_t>(slot >> 16U);
  const bool is_learning =
      m_share_maps.m_learning || (next_index != kNoOwner && m_data_centres[next_index].m_owners.m_learning);
  owners.m_next = is_learning ? Owner(next_index, &LevelMaps::m_next, slot) : kNoOwner;
  owners.m_current = Owner(current_index, &LevelMaps::m_current, slot);
  if (owners.m_current == kNoOwner) owners.m_current = Owner(current_index, &LevelMaps::m_next, slot);
  if (owners.m_current == kNoOwner) owners.m_current = owners.m_next;
  owners.m_base = Owner(base_index, &LevelMaps::m_base, slot);
  if (owners.m_base == kNoOwner) owners.m_base = Owner(base_index, &LevelMaps::m_current, slot);
  if (owners.m_base == kNoOwner) owners.m_base = owners.m_current;

  const std::uint16_t self = m_input.m_common->m_self_data_centre.m_value;
  const std::uint16_t keeper_index = is_learning && next_index != kNoOwner ? next_index : current_index;
  const bool keeper_known =
      keeper_index != kNoOwner && !cut_off(keeper_index) && !m_data_centres[keeper_index].m_recently_cut_off;
  owners.m_keeper_data_centre = keeper_known ? m_data_centres[keeper_index].m_id.m_value : self;
  owners.m_base_data_centre = base_index == kNoOwner ? self : m_data_centres[base_index].m_id.m_value;

  const bool keepers_move = is_learning && next_index != kNoOwner && current_index != kNoOwner &&
                            current_index != keeper_index && !cut_off(current_index);
  if (keepers_move) owners.m_flags |= kSlotAskFormerKeeper;

  const bool follows_base = owners.m_next == kNoOwner || owners.m_next == owners.m_base;
  if (owners.m_current != owners.m_base || !follows_base) owners.m_flags |= kSlotRecordFirst;
  if (cut_off(base_index)) owners.m_flags |= kSlotBaseCutOff | kSlotRecordFirst;
  OwnerSet base_owners;
  CollectOwners(base_index, slot, &base_owners);
  const bool other_keeper = owners.m_base_data_centre != owners.m_keeper_data_centre;
  if (other_keeper && base_owners.m_size > 1 && !cut_off(base_index)) owners.m_flags |= kSlotAskBaseKeeper;
  return owners;
}

bool ServiceTableBuilder::IsSettled(std::uint32_t slot, const ServiceTable::ChangingSlot& owners) const {
  OwnerSet all;
  for (const std::vector<std::uint16_t>& map : m_share_maps.m_maps) {
    const std::uint16_t data_centre_index = map[slot];
    if (data_centre_index != kNoOwner &&
        (m_data_centres[data_centre_index].m_cut_off || m_data_centres[data_centre_index].m_recently_cut_off))
      return false;
    CollectOwners(data_centre_index, slot, &all);
  }
  return all.m_size == 0 || (all.m_size == 1 && owners.m_current == all.m_owners[0]);
}

void ServiceTableBuilder::AddSlot(std::uint32_t slot) {
  const ServiceTable::ChangingSlot owners = OwnersOf(slot);
  if (!IsSettled(slot, owners)) {
    m_table->m_changing.push_back(owners);
    return;
  }
  SetSettledOwner(slot, owners.m_current);
}

bool ServiceTableBuilder::HasSingleOwnerPerSlot() const noexcept {
  return m_share_maps.m_maps.size() == 1 &&
         std::all_of(m_data_centres.begin(), m_data_centres.end(), [](const DataCentreOwners& data_centre) {
           return data_centre.m_owners.m_maps.size() == 1 && !data_centre.m_cut_off && !data_centre.m_recently_cut_off;
         });
}

void ServiceTableBuilder::SetSettledOwner(std::uint32_t slot, std::uint16_t owner) noexcept {
  if (owner == kNoOwner) return;
  const std::uint32_t bit = slot << m_table->m_width_log2;
  std::uint32_t& word = m_table->m_packed[bit >> 5U];
  word &= ~(m_table->m_width_mask << (bit & 31U));
  word |= static_cast<std::uint32_t>(owner) << (bit & 31U);
}

}  // namespace fighatch
