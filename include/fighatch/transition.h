#ifndef FIGHATCH_TRANSITION_H_
#define FIGHATCH_TRANSITION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/table_update.h"

namespace fighatch {

/// Lists between `base` and `current` that a table carries at most. Redundant lists are removed, and at the limit the
/// lists are replaced by one for each owner whose weight varies. A further change waits only if these are too many.
inline constexpr std::size_t kMaxPastLists = 32;

/// Starts phase `kLearning` towards `next`, or replaces `next` in that phase, which must then last its full time again.
/// Lists that may hold flows are kept. False, with the table unchanged, if the
/// table has no room for a further past list.
[[nodiscard]] bool BeginLearning(OwnerTable* table, std::vector<OwnerEntry> next);

/// Returns from `kLearning` to the phase before it and takes out the next list.
[[nodiscard]] std::vector<OwnerEntry> CancelLearning(OwnerTable* table);

/// Starts phase `kMoving`: `current` takes the value of `next`, and the former `current` joins the past lists unless
/// they cover it.
void BeginMoving(OwnerTable* table);

/// True if no slot can hold flows at another owner than the one by `current`.
[[nodiscard]] bool HasOneOwnerList(const OwnerTable& table);

/// Ends the transition: every list takes the value of `current`.
void RetireBase(OwnerTable* table);

/// Removes an owner whose flows are given up (a data centre that is out, a dead target) from all lists.
/// Returns true if the table changed.
bool RemoveOwner(OwnerTable* table, std::uint64_t id);

}  // namespace fighatch

#endif  // FIGHATCH_TRANSITION_H_
