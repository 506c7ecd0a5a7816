#ifndef FIGHATCH_CONTROL_REPLICATED_STATE_MACHINE_H_
#define FIGHATCH_CONTROL_REPLICATED_STATE_MACHINE_H_

#include <any>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"

namespace fighatch::daemon {

/// The state machine behind a replicated log. Every host applies the same entries in the same order, so `Apply` must
/// depend on nothing but the state and the entry.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;

  /// Applies a payload entry. Returns the result for the submitter, of a type that the state machine defines.
  virtual std::any Apply(const LogEntry& entry) = 0;

  /// Applies payload entries at the start of the process, in ascending order, with the same resulting state as one
  /// call of `Apply` for each.
  virtual void Replay(const std::vector<LogEntry>& entries) {
    for (const LogEntry& entry : entries) (void)Apply(entry);
  }

  /// The whole state, in the format that `Restore` reads.
  [[nodiscard]] virtual std::string EncodeSnapshot() const = 0;

  /// Replaces the state. Errors: `kMessageMalformed`.
  [[nodiscard]] virtual Status Restore(std::span<const std::byte> bytes) = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_REPLICATED_STATE_MACHINE_H_
