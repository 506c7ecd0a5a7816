#ifndef FIGHATCH_DAEMON_REPLICATED_STATE_MACHINE_H_
#define FIGHATCH_DAEMON_REPLICATED_STATE_MACHINE_H_

#include <any>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"

namespace fighatch::daemon {

/// The state behind a replicated log. Every host applies the same entries in the same order, so `Apply` must depend on
/// nothing else.
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;

  /// Applies a payload entry. Returns the answer for the host that proposed it, of a type that the machine defines.
  virtual std::any Apply(const LogEntry& entry) = 0;

  /// Applies payload entries at the start of the process, in ascending order, with the same result as `Apply`.
  virtual void Replay(const std::vector<LogEntry>& entries) {
    for (const LogEntry& entry : entries) (void)Apply(entry);
  }

  /// The whole state, which `Restore` takes.
  [[nodiscard]] virtual std::string EncodeSnapshot() const = 0;

  /// Replaces the state. Errors: `kMessageMalformed`.
  [[nodiscard]] virtual Status Restore(std::span<const std::byte> bytes) = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_REPLICATED_STATE_MACHINE_H_
