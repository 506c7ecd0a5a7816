#ifndef FIGHATCH_HOT_FILE_H_
#define FIGHATCH_HOT_FILE_H_

#include <cstddef>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// The name of the hot file in the data folder.
inline constexpr const char* kHotFileName = "state.hot";

/// A hot file: a local copy of the last state that a host has applied, so that it can serve after a restart before it
/// reaches a control host.
struct HotFile {
  Version m_version;
  /// The state at `m_version`, as `StateMachine::Snapshot` gives it.
  std::vector<std::byte> m_snapshot;

  friend bool operator==(const HotFile&, const HotFile&) = default;
};

/// Encodes magic, format version, state version, length, snapshot and an XXH3 checksum over all of it.
[[nodiscard]] std::vector<std::byte> EncodeHotFile(const HotFile& file);

/// Decodes a hot file. Errors: `kStorageTornTail` for a file that ends early, `kStorageCorrupt` for any other damage.
[[nodiscard]] Result<HotFile> DecodeHotFile(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_HOT_FILE_H_
