#ifndef FIGHATCH_FLOW_SLOT_FLAGS_H_
#define FIGHATCH_FLOW_SLOT_FLAGS_H_

#include <cstddef>
#include <cstdint>

namespace fighatch {

inline constexpr std::uint16_t kSlotRecordFirst = 1;
inline constexpr std::uint16_t kSlotAskBaseKeeper = 2;
inline constexpr std::uint16_t kSlotBaseCutOff = 4;

/// Targets of one service at most: the highest 16-bit index means "no owner".
inline constexpr std::size_t kMaxTargets = 0xFFFE;

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_SLOT_FLAGS_H_
