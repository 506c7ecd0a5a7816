#ifndef FIGHATCH_TARGET_DIRECTORY_H_
#define FIGHATCH_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/announced_target.h"
#include "fighatch/time.h"

namespace fighatch {

/// A target record with the age of the target's last announcement.
struct TargetObservation {
  AnnouncedTarget m_record;
  std::uint32_t m_age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_record, m_age_ms);
  }
};

/// Effect of an announcement or a deregistration on the directory.
enum class AnnounceOutcome : std::uint8_t {
  /// Nothing changed that balancers must know of.
  kRefreshed = 0,
  /// The target is new, or its start, state, address or another property changed: balancers must be told.
  kChanged = 1,
  /// Not newer than the known records; nothing changed.
  kStale = 2,
  /// A deregistration that names no start and may have been sent before the latest one; nothing changed.
  kOutdated = 3,
};

/// Targets give up a call, and turn to another control host, after this long without a response.
inline constexpr Duration kTargetCallTimeout = std::chrono::seconds(1);

/// Timeouts of a `TargetDirectory`.
struct DirectoryOptions {
  /// A target counts as silent this long after its last announcement.
  Duration m_silent_after = std::chrono::milliseconds(4000);
  /// A record that is gone or silent is removed after this long, which exceeds the lifetime of any flow to the target.
  Duration m_forget_after = std::chrono::seconds(90);
};

/// The targets that a control host knows, merged from announcements and from the other control hosts. Merging is
/// commutative and idempotent, so that hosts converge whatever the order of messages. This host numbers its changes; a
/// follower requests the changes after the number that it holds.
class TargetDirectory {
 public:
  explicit TargetDirectory(const DirectoryOptions& options = {}) : m_options(options) {}

  /// Sets the services that the operator's document names; until the first call every service counts as named. A record
  /// of another service may come from a program that is no target, or precede the document that names the service. It
  /// is kept, but it is no proof that a target at the same address or with the same id has ended. Its next announcement
  /// after the service was named is.
  void SetServices(std::set<std::string> services) { m_services = std::move(services); }

  /// Merges an announcement from the target, which sent it at most `max_age` ago. An old announcement is no proof that
  /// the target still runs: the target counts as heard at the time of sending.
  AnnounceOutcome Announce(TimePoint now, const AnnouncedTarget& record, Duration max_age = {});

  /// Merges a record from another control host, whose age tells when the target was last heard.
  AnnounceOutcome Merge(TimePoint now, const TargetObservation& observation);

  /// The records to keep for a restart of this host; `now` is the time from which their warm-up times count. Ended
  /// targets are among them, so that a restart of all control hosts does not bring them back, silent ones are not.
  [[nodiscard]] std::vector<AnnouncedTarget> Snapshot(TimePoint now) const;

  /// Merges records of a `Snapshot`. It is not known how long ago that was, nor what balancers hold: warm-up times
  /// count from now, and the next announcement of a cold target counts as a change.
  void Restore(TimePoint now, const std::vector<AnnouncedTarget>& records);

  /// Deregisters a target at its own request, which it sent at most `max_age` ago. With `start_unix_ms`, that start is
  /// gone for good. Without it, the latest start is deregistered, but only if the request cannot come from an earlier
  /// one: it is younger than `kTargetCallTimeout`, after which its sender has given up, and than this host's knowledge
  /// of the latest start. Otherwise the outcome is `kOutdated`. Unknown ids are ignored.
  AnnounceOutcome Withdraw(TimePoint now, TargetId id, std::optional<std::uint64_t> start_unix_ms,
                           Duration max_age = {});

  /// True if a deregistration with these arguments is in force: the latest known start has ended, or came after the
  /// given one. False after `Withdraw` without a start if this host has learned of a later start meanwhile, which may
  /// have sent the request.
  [[nodiscard]] bool IsWithdrawn(TargetId id, std::optional<std::uint64_t> start_unix_ms) const;

  /// Marks ready targets without recent announcements as silent, and removes old records. A draining target keeps its
  /// state, since its drain must not be forgotten. Call it only while this host is in contact with the other control
  /// hosts: otherwise it may have missed announcements that they received. Returns the targets that became silent.
  std::vector<AnnouncedTarget> Expire(TimePoint now);

  /// Treats every target as heard now, after a time without contact to the other control hosts.
  void ResetSilenceTimers(TimePoint now);

  /// Uses up a number without a change. A follower that confirms a later number has thereby received a message that was
  /// sent after this call.
  void AdvanceSequence() noexcept { ++m_sequence; }

  /// The number of the newest change.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// The number of the newest change that balancers must know of.
  [[nodiscard]] std::uint64_t LastChange() const noexcept { return m_last_change; }

  /// Records that changed after `sequence`. For control hosts, with `with_refreshes`, also those that were only
  /// announced again, and with the warm-up times that targets announced; for balancers with those that balancers were
  /// told last.
  [[nodiscard]] std::vector<TargetObservation> ChangedSince(TimePoint now, std::uint64_t sequence,
                                                            bool with_refreshes) const;

  /// The number of a target's last change or announcement; 0 for an unknown id.
  [[nodiscard]] std::uint64_t SequenceOf(TargetId id) const;

  [[nodiscard]] std::size_t Size() const noexcept { return m_entries.size(); }
  /// The record of an id; null if it is unknown.
  [[nodiscard]] const AnnouncedTarget* Find(TargetId id) const;

 private:
  struct Entry {
    AnnouncedTarget m_record;
    TimePoint m_last_heard;
    // Until when the target is cold, and until when balancers take it for cold. The latter is unset if it is not known.
    TimePoint m_cold_until;
    std::optional<TimePoint> m_told_cold_until;
    // When this host learned of the start.
    TimePoint m_start_known_at;
    // Time of the last change that balancers must know of, and its number.
    TimePoint m_changed_at;
    std::uint64_t m_changed = 0;
    // Number of the last change or announcement.
    std::uint64_t m_refreshed = 0;
  };

  // `heard` is when the target sent the record at the earliest, `cold_until` until when it is cold at the latest.
  AnnounceOutcome Store(TimePoint now, TimePoint heard, TimePoint cold_until, const AnnouncedTarget& record);
  // True if balancers take the target for warm too early, or for cold for much too long.
  [[nodiscard]] static bool IsColdTimeOutdated(TimePoint now, const Entry& entry);
  // A record as another host gets it, with the age of the announcement and a warm-up time that counts from then.
  [[nodiscard]] static TargetObservation Observe(TimePoint now, const Entry& entry, TimePoint cold_until);
  void MarkChanged(TimePoint now, Entry* entry);
  [[nodiscard]] bool IsNamed(const std::string& service) const {
    return !m_services.has_value() || m_services->contains(service);
  }
  // Marks earlier starts at the record's address as gone. Returns false, and changes nothing, if a later start of a
  // named service is known there.
  bool ClaimAddress(TimePoint now, const AnnouncedTarget& record);
  void RemoveFromAddress(const AnnouncedTarget& record);

  DirectoryOptions m_options;
  std::unordered_map<TargetId, Entry> m_entries;
  // The targets whose records hold each address.
  std::map<Endpoint, std::set<TargetId>> m_by_endpoint;
  std::optional<std::set<std::string>> m_services;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_change = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_DIRECTORY_H_
