#include "fighatch/forwarding_table.h"

#include <algorithm>
#include <bit>
#include <cstring>

#include "fighatch/hash.h"
#include "flow/service_table_builder.h"
#include "flow/slot_flags.h"

namespace fighatch {
namespace {

std::size_t AddressHash(const Endpoint& endpoint, Transport transport) noexcept {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::memcpy(&high, endpoint.m_address.m_bytes.data(), sizeof(high));
  std::memcpy(&low, endpoint.m_address.m_bytes.data() + sizeof(high), sizeof(low));
  const std::uint64_t port = endpoint.m_port + (static_cast<std::uint64_t>(transport) << 16U);
  return static_cast<std::size_t>(MixHash(high + port, low));
}

/// Pointers to all values, ordered by service id.
template <typename T>
std::vector<const T*> SortByService(std::span<const T> all) {
  std::vector<const T*> sorted;
  sorted.reserve(all.size());
  for (const T& value : all) sorted.push_back(&value);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const T* left, const T* right) { return left->m_service.m_value < right->m_service.m_value; });
  return sorted;
}

/// The part of the result of `SortByService` that belongs to one service.
template <typename T>
std::span<const T* const> EntriesOfService(const std::vector<const T*>& sorted, ServiceId id) {
  const auto first = std::lower_bound(sorted.begin(), sorted.end(), id, [](const T* value, ServiceId wanted) {
    return value->m_service.m_value < wanted.m_value;
  });
  auto last = first;
  while (last != sorted.end() && (*last)->m_service == id) ++last;
  return {first, last};
}

std::vector<const Service*> ServicesById(const StateDocument& state) {
  std::vector<const Service*> services;
  for (const auto& [name, service] : state.m_services) services.push_back(&service);
  std::sort(services.begin(), services.end(),
            [](const Service* left, const Service* right) { return left->m_id.m_value < right->m_id.m_value; });
  return services;
}

std::size_t CountAddresses(const StateDocument& state) {
  std::size_t count = 0;
  for (const auto& [name, service] : state.m_services) count += service.m_addresses.size();
  return count;
}

}  // namespace

SlotOwners ServiceTable::Resolve(std::uint32_t slot) const noexcept {
  SlotOwners owners;
  const TargetEntry* settled = SettledOwner(slot);
  const auto found =
      settled != nullptr
          ? m_changing.end()
          : std::lower_bound(m_changing.begin(), m_changing.end(), slot,
                             [](const ChangingSlot& entry, std::uint32_t wanted) { return entry.Slot() < wanted; });
  if (found == m_changing.end() || found->Slot() != slot) {
    owners.m_settled = true;
    owners.m_base = settled;
    owners.m_current = settled;
    return owners;
  }
  owners.m_record_first = (found->m_flags & kSlotRecordFirst) != 0;
  owners.m_ask_base_keeper = (found->m_flags & kSlotAskBaseKeeper) != 0;
  owners.m_ask_former_keeper = (found->m_flags & kSlotAskFormerKeeper) != 0;
  owners.m_base_cut_off = (found->m_flags & kSlotBaseCutOff) != 0;
  owners.m_base = TargetAt(found->m_base);
  owners.m_current = TargetAt(found->m_current);
  owners.m_next = TargetAt(found->m_next);
  owners.m_keeper_data_centre = DataCentreId{found->m_keeper_data_centre};
  owners.m_base_data_centre = DataCentreId{found->m_base_data_centre};
  return owners;
}

const TargetEntry* ServiceTable::FindTarget(TargetId id) const noexcept {
  const auto found =
      std::lower_bound(m_targets.begin(), m_targets.end(), id,
                       [](const TargetEntry& entry, TargetId wanted) { return entry.m_id.m_value < wanted.m_value; });
  return found != m_targets.end() && found->m_id == id ? &*found : nullptr;
}

std::size_t ServiceTable::Bytes() const noexcept {
  return sizeof(ServiceTable) + m_targets.capacity() * sizeof(TargetEntry) +
         m_packed.capacity() * sizeof(std::uint32_t) + m_changing.capacity() * sizeof(ChangingSlot) +
         m_excluded_data_centres.capacity() * sizeof(DataCentreId);
}

std::shared_ptr<const ForwardingTable> ForwardingTable::Build(const ForwardingTableInput& input) {
  auto table = std::make_shared<ForwardingTable>();
  table->m_self = input.m_self;
  table->m_self_data_centre = input.m_self_data_centre;
  table->m_state_version = input.m_state->m_version;
  table->m_keepers = KeeperRanks(input.m_members);
  table->m_addresses.resize(std::bit_ceil(CountAddresses(*input.m_state) * 3 / 2 + 1));
  const std::vector<const OwnerTable*> tables = SortByService(input.m_tables);
  const std::vector<const TargetInfo*> targets = SortByService(input.m_targets);
  for (const Service* service : ServicesById(*input.m_state)) {
    ServiceTableBuilder::Input service_input{&input, service, EntriesOfService(tables, service->m_id),
                                             EntriesOfService(targets, service->m_id), nullptr};
    if (input.m_previous != nullptr) service_input.m_previous = input.m_previous->FindSharedService(service->m_id);
    table->m_services.push_back(ServiceTableBuilder(std::move(service_input)).Build());
    for (const ServiceAddress& address : service->m_addresses) {
      table->AddAddress(address, static_cast<std::uint32_t>(table->m_services.size()));
    }
  }
  return table;
}

void ForwardingTable::AddAddress(const ServiceAddress& address, std::uint32_t service) noexcept {
  const std::size_t mask = m_addresses.size() - 1;
  std::size_t position = AddressHash(address.m_endpoint, address.m_transport) & mask;
  while (m_addresses[position].m_service != 0) {
    if (m_addresses[position].m_address == address) return;
    position = (position + 1) & mask;
  }
  m_addresses[position] = {address, service};
}

const ServiceTable* ForwardingTable::FindService(const Endpoint& endpoint, Transport transport) const noexcept {
  const std::size_t mask = m_addresses.size() - 1;
  std::size_t position = AddressHash(endpoint, transport) & mask;
  for (; m_addresses[position].m_service != 0; position = (position + 1) & mask) {
    const AddressEntry& entry = m_addresses[position];
    if (entry.m_address.m_endpoint != endpoint || entry.m_address.m_transport != transport) continue;
    return m_services[entry.m_service - 1].get();
  }
  return nullptr;
}

std::shared_ptr<const ServiceTable> ForwardingTable::FindSharedService(ServiceId id) const noexcept {
  const auto found = std::lower_bound(m_services.begin(), m_services.end(), id,
                                      [](const std::shared_ptr<const ServiceTable>& service, ServiceId wanted) {
                                        return service->Id().m_value < wanted.m_value;
                                      });
  return found != m_services.end() && (*found)->Id() == id ? *found : nullptr;
}

const ServiceTable* ForwardingTable::FindService(ServiceId id) const noexcept { return FindSharedService(id).get(); }

std::size_t ForwardingTable::Bytes() const noexcept {
  std::size_t bytes = sizeof(ForwardingTable) + m_keepers.Bytes() + m_addresses.capacity() * sizeof(AddressEntry) +
                      m_services.capacity() * sizeof(m_services[0]);
  for (const auto& service : m_services) bytes += service->Bytes();
  return bytes;
}

}  // namespace fighatch
