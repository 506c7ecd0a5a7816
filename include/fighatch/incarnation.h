#ifndef FIGHATCH_INCARNATION_H_
#define FIGHATCH_INCARNATION_H_

#include <cstdint>

#include "fighatch/file_store.h"
#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// Computes the incarnation of a process start: above the stored one, and at least the wall clock, so that incarnations
/// keep increasing on a host whose disk was replaced.
///
/// \param stored the incarnation of the previous start; 0 without a disk.
/// \param wall_clock_us the wall clock in microseconds.
[[nodiscard]] Incarnation NextIncarnation(Incarnation stored, std::uint64_t wall_clock_us) noexcept;

/// Reads the stored incarnation, computes the next one and makes it durable before it returns it. A torn or corrupt
/// file counts as absent. `store` may be null for a host without a disk. Errors: `kStorageIo`, `kStorageSyncFailed`.
[[nodiscard]] Result<Incarnation> AllocateIncarnation(FileStore* store, std::uint64_t wall_clock_us);

}  // namespace fighatch

#endif  // FIGHATCH_INCARNATION_H_
