#ifndef FIGHATCH_INCARNATION_H_
#define FIGHATCH_INCARNATION_H_

#include <cstdint>

#include "fighatch/file_store.h"
#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// Chooses the incarnation of a start: above the stored one, and at least the wall clock in microseconds, so that a
/// host whose disk was replaced continues to rise.
///
/// \param stored the incarnation of the last start; 0 without a disk.
[[nodiscard]] Incarnation NextIncarnation(Incarnation stored, std::uint64_t wall_clock_us) noexcept;

/// Reads the stored incarnation, chooses the next one and stores it before it is used. A torn or corrupt file counts as
/// absent. `store` may be null for a host without a disk. Errors: `kStorageIo`, `kStorageSyncFailed`.
[[nodiscard]] Result<Incarnation> AllocateIncarnation(FileStore* store, std::uint64_t wall_clock_us);

}  // namespace fighatch

#endif  // FIGHATCH_INCARNATION_H_
