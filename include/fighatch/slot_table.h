#ifndef FIGHATCH_SLOT_TABLE_H_
#define FIGHATCH_SLOT_TABLE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// The index in an owner map that stands for "no owner".
inline constexpr std::uint16_t kNoOwner = 0xFFFF;

/// The owner of a hash slot by weighted rendezvous hashing, as an index into `owners`; `kNoOwner` if all weights are 0.
/// The result depends only on the ids and weights, not on their order, and uses integers only, so that every host
/// computes the same. A change of one weight moves slots only to or from that owner.
[[nodiscard]] std::uint16_t SlotOwner(std::span<const OwnerEntry> owners, std::uint32_t slot) noexcept;

/// `SlotOwner` for the slots [0, slots), faster than one call for each.
[[nodiscard]] std::vector<std::uint16_t> OwnersOfSlots(std::span<const OwnerEntry> owners, std::uint32_t slots);

}  // namespace fighatch

#endif  // FIGHATCH_SLOT_TABLE_H_
