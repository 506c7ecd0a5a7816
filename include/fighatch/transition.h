#ifndef FIGHATCH_TRANSITION_H_
#define FIGHATCH_TRANSITION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/table_update.h"

namespace fighatch {

// The steps by which the coordinator changes the owners in an `OwnerTable`. In phase `kLearning`, first packets of
// changed slots are recorded, while new flows still open by `current`. In `kMoving`, new flows open by the new
// `current`, and flows without a record belong to `base`. In `kSettled` there is one list, and no records are needed.

/// The most past lists, between `base` and `current`, in a table. Redundant ones are removed, and at the limit the
/// lists are replaced by one for each owner whose weight varies. A further change waits only if these are too many.
inline constexpr std::size_t kMaxPastLists = 32;

/// Starts phase `kLearning` towards `next`, or replaces `next` in that phase, which must then last its full time again.
/// Lists by which flows may have been opened are kept. False, with the table unchanged, if it has no room for a further
/// past list.
[[nodiscard]] bool BeginLearning(OwnerTable* table, std::vector<OwnerEntry> next);

/// Returns from `kLearning` to the phase before it; removes and returns the next list.
[[nodiscard]] std::vector<OwnerEntry> CancelLearning(OwnerTable* table);

/// Starts phase `kMoving`: `current` takes the value of `next`, and the former `current` becomes a past list unless the
/// other lists cover it.
void BeginMoving(OwnerTable* table);

/// True if `current` is the only list by which flows can have been opened, so that every flow is at the current owner.
[[nodiscard]] bool HasOneOwnerList(const OwnerTable& table);

/// Ends the transition: every list takes the value of `current`.
void RetireBase(OwnerTable* table);

/// Removes an owner from all lists; its flows are lost (a data centre that is out of service, a dead target).
/// Returns true if the table changed.
bool RemoveOwner(OwnerTable* table, std::uint64_t id);

}  // namespace fighatch

#endif  // FIGHATCH_TRANSITION_H_
