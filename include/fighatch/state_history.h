#ifndef FIGHATCH_STATE_HISTORY_H_
#define FIGHATCH_STATE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/time.h"

namespace fighatch {

/// The replicated state, such as a `StateDocument`. Its deltas and snapshots are opaque bytes to the code that
/// distributes them.
class StateMachine {
 public:
  StateMachine() = default;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;
  virtual ~StateMachine() = default;

  /// Applies a delta that moves the state from its present version to `to`. An error leaves it unchanged.
  [[nodiscard]] virtual Status ApplyDelta(Version to, std::span<const std::byte> delta) = 0;
  /// Replaces the state by a snapshot. An error leaves it unchanged.
  [[nodiscard]] virtual Status LoadSnapshot(Version version, std::span<const std::byte> snapshot) = 0;
  /// The whole state, as `LoadSnapshot` takes it.
  [[nodiscard]] virtual std::vector<std::byte> Snapshot() const = 0;
  /// A digest of the content, equal on all hosts with equal state.
  [[nodiscard]] virtual std::uint64_t Digest() const = 0;
};

/// An encoded delta from one version to the next.
struct EncodedDelta {
  Version m_from;
  Version m_to;
  std::vector<std::byte> m_content;
  /// Digest of the state at `m_to`; set by `StateHistory`.
  std::uint64_t m_digest = 0;
};

/// The present version of a `StateMachine` and the latest deltas that led to it, from which peers that are behind are
/// served. The version never goes down.
class StateHistory {
 public:
  /// Most deltas that are kept; a host that is further behind takes a snapshot.
  static constexpr std::size_t kMaxDeltas = 256;
  /// Most content bytes of the deltas that are kept.
  static constexpr std::size_t kMaxDeltaBytes = 4 << 20;

  /// `machine` must outlive the history. `version` is that of its present state, for example as read after a restart
  /// from a `HotFile`, the local copy of the last state.
  explicit StateHistory(StateMachine* machine, Version version = {});

  [[nodiscard]] Version CurrentVersion() const noexcept { return m_version; }
  [[nodiscard]] std::uint64_t CurrentDigest() const noexcept { return m_digest; }

  /// Applies a delta to the machine. Errors: those of the machine; `kMessageMalformed` for a delta that does not start
  /// at the present version or does not end above it. The state is unchanged then.
  [[nodiscard]] Status Apply(EncodedDelta delta);

  /// Records a delta that the machine has applied already, as on control hosts. Errors: `kMessageMalformed` as for
  /// `Apply`.
  [[nodiscard]] Status Record(EncodedDelta delta);

  /// Replaces the state by a snapshot of a version that is not lower, and drops the deltas kept. Errors: those of the
  /// machine; `kMessageMalformed` for a lower version.
  [[nodiscard]] Status Load(Version version, std::span<const std::byte> snapshot);

  /// The delta that starts at `from`; null if it is not kept.
  [[nodiscard]] const EncodedDelta* DeltaFrom(Version from) const noexcept;

  /// The whole state at the present version, encoded at the first use after a change.
  [[nodiscard]] const std::vector<std::byte>& Snapshot() const;

  /// When the present version was last confirmed by a control host; unset before that.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmed_at; }
  /// Records that a control host confirmed the present version at `at`; a confirmation earlier than the last is
  /// ignored.
  void Confirm(TimePoint at) noexcept;

 private:
  void Append(EncodedDelta delta);

  StateMachine* m_machine;
  Version m_version;
  std::uint64_t m_digest;
  std::deque<EncodedDelta> m_deltas;
  std::size_t m_delta_bytes = 0;
  mutable std::optional<std::vector<std::byte>> m_snapshot;
  std::optional<TimePoint> m_confirmed_at;
};

}  // namespace fighatch

#endif  // FIGHATCH_STATE_HISTORY_H_
