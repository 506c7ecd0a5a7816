#ifndef FIGHATCH_TARGET_DIRECTORY_H_
#define FIGHATCH_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/time.h"

namespace fighatch {

/// A record together with how long ago its target was last heard.
struct TargetObservation {
  AnnouncedTarget m_record;
  std::uint32_t m_age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_record, m_age_ms);
  }
};

/// What an announcement led to.
enum class AnnounceOutcome : std::uint8_t {
  /// Nothing that balancers must know.
  kRefreshed = 0,
  /// A new start, a new state or a new address: balancers must hear of it.
  kChanged = 1,
  /// Older than what is known; nothing changed.
  kStale = 2,
};

/// Limits and times of a `TargetDirectory`.
struct DirectoryOptions {
  /// Without an announcement for this long a target counts as silent.
  Duration m_silent_after = std::chrono::milliseconds(4000);
  /// A record that is gone or silent is forgotten after this long, later than any flow to it may last.
  Duration m_forget_after = std::chrono::seconds(90);
};

/// The targets that a control host knows, merged from announcements and from the other control hosts. Merging is
/// commutative and idempotent, so that hosts agree whatever order they hear things in. Changes are numbered by this
/// host; a follower asks for what came after the number that it holds.
class TargetDirectory {
 public:
  explicit TargetDirectory(const DirectoryOptions& options = {}) : m_options(options) {}

  /// Takes an announcement that has just arrived.
  AnnounceOutcome Announce(TimePoint now, const AnnouncedTarget& record);

  /// Takes a record that another control host heard `age_ms` ago.
  AnnounceOutcome Merge(TimePoint now, const TargetObservation& observation);

  /// Marks a start as ended by its own word. An unset `start_unix_ms` means the latest start. Unknown ids are ignored.
  AnnounceOutcome Withdraw(TimePoint now, TargetId id, std::optional<std::uint64_t> start_unix_ms);

  /// Marks targets that fell silent, and forgets old records. Call it only while this host is in contact with the other
  /// control hosts: otherwise it may have missed what they heard. Returns what fell silent.
  std::vector<AnnouncedTarget> Expire(TimePoint now);

  /// Treats every target as heard now, after a time without contact.
  void ResetSilenceTimers(TimePoint now);

  /// The number of the newest change.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// The number of the newest change that balancers must know.
  [[nodiscard]] std::uint64_t LastChange() const noexcept { return m_last_change; }

  /// Records that changed after `sequence`; with `with_refreshes` also those that were only heard again.
  [[nodiscard]] std::vector<TargetObservation> ChangedSince(TimePoint now, std::uint64_t sequence,
                                                            bool with_refreshes) const;

  /// The number of the last change of a target that balancers must know; 0 for an unknown id.
  [[nodiscard]] std::uint64_t ChangeOf(TargetId id) const;

  [[nodiscard]] std::size_t Size() const noexcept { return m_entries.size(); }
  /// The record of an id; null if it is unknown.
  [[nodiscard]] const AnnouncedTarget* Find(TargetId id) const;

 private:
  struct Entry {
    AnnouncedTarget m_record;
    TimePoint m_last_heard;
    TimePoint m_changed_at;
    std::uint64_t m_changed = 0;
    std::uint64_t m_refreshed = 0;
  };

  AnnounceOutcome Store(TimePoint now, TimePoint heard, const AnnouncedTarget& record);
  void MarkChanged(TimePoint now, Entry* entry);
  // Ends the older of two starts that claim one address; false if `record` is the older one.
  bool ClaimAddress(TimePoint now, const AnnouncedTarget& record);

  DirectoryOptions m_options;
  std::unordered_map<TargetId, Entry> m_entries;
  std::map<Endpoint, TargetId> m_owners;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_change = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_DIRECTORY_H_
