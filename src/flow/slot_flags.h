#ifndef FIGHATCH_FLOW_SLOT_FLAGS_H_
#define FIGHATCH_FLOW_SLOT_FLAGS_H_

#include <cstddef>
#include <cstdint>

namespace fighatch {

/// Flags of a slot in transition; see the members of `SlotOwners` with the same names.
inline constexpr std::uint16_t kSlotRecordFirst = 1;
inline constexpr std::uint16_t kSlotAskBaseKeeper = 2;
inline constexpr std::uint16_t kSlotBaseCutOff = 4;
inline constexpr std::uint16_t kSlotAskFormerKeeper = 8;

/// The most targets of one service: the highest 16-bit index means "no owner".
inline constexpr std::size_t kMaxTargets = 0xFFFE;

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_SLOT_FLAGS_H_
