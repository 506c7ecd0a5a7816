#ifndef FIGHATCH_TRANSITION_H_
#define FIGHATCH_TRANSITION_H_

#include <cstdint>
#include <vector>

#include "fighatch/table_update.h"

namespace fighatch {

/// Lists between `base` and `current` that a table carries at most; a further change waits until the base retires.
inline constexpr std::size_t kMaxPastLists = 32;

/// Starts phase `kLearning` towards `next`, or replaces `next` in that phase, which must then last its full time again.
/// Lists that may hold flows are kept. False, with the table unchanged, if the
/// table has no room for a further past list.
[[nodiscard]] bool BeginLearning(OwnerTable* table, std::vector<OwnerEntry> next);

/// Starts phase `kMoving`: `current` takes the value of `next`, and the former `current` joins the past lists.
void BeginMoving(OwnerTable* table);

/// Ends the transition: every list takes the value of `current`.
void RetireBase(OwnerTable* table);

/// Removes an owner whose flows are given up (a data centre that is out, a dead target) from all lists.
void RemoveOwner(OwnerTable* table, std::uint64_t id);

}  // namespace fighatch

#endif  // FIGHATCH_TRANSITION_H_
