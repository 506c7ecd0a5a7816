#ifndef FIGHATCH_OWNER_TRANSITION_H_
#define FIGHATCH_OWNER_TRANSITION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fighatch/table_update.h"
#include "fighatch/time.h"

namespace fighatch {

/// Minimum duration of phase `kLearning`.
inline constexpr Duration kLearningTime = std::chrono::seconds(1);
/// Phase `kLearning` ends after this time even if a live balancer has not acknowledged it.
inline constexpr Duration kLearningLimit = std::chrono::milliseconds(1500);
/// The idle time of the base in an acknowledgement counts while the acknowledgement is younger than this.
inline constexpr Duration kMaxIdleReportAge = std::chrono::seconds(30);
/// The base is retired after this time without packets to an owner other than the current one.
inline constexpr Duration kDefaultBaseIdleLimit = std::chrono::seconds(300);

/// Moves the owner table of one service from one list of owners to the next through the phases settled, learning,
/// moving and settled. The coordinator that publishes a table keeps one of these for it. Each change raises the
/// version, and acknowledgements count only for the current version.
///
/// A change that is requested in phase `kLearning` waits until that phase has ended; in phase `kMoving` the table goes
/// through `kLearning` again with the same base.
class OwnerTransition {
 public:
  /// Continues from a table under an epoch that is not lower than the table's.
  OwnerTransition(OwnerTable table, std::uint64_t epoch, Duration base_idle_limit);

  /// Sets the owners that the table is to reach; entries of weight 0 are left out.
  void SetWantedOwners(std::vector<OwnerEntry> owners);

  /// Removes an owner that is dead or given up from all lists at once, since its flows are lost in any case. Returns
  /// true if the table changed.
  bool Remove(std::uint64_t owner);

  /// Raises the version without a change of phase, after an owner was removed or its description changed.
  void RaiseVersion();

  /// Records an acknowledgement; returns false if it is for another version.
  bool OnAck(const TableAck& ack, TimePoint now);

  /// Drops a host's acknowledgement, so that the table is sent to it again.
  void ForgetAck(HostId host);

  /// Enters the next phase if it is due. `live` holds the hosts whose acknowledgements are awaited. Returns true if the
  /// table changed.
  bool Advance(const std::set<HostId>& live, const std::function<bool(std::uint64_t)>& is_owner_live, TimePoint now);

  /// True if every live host has acknowledged the current version.
  [[nodiscard]] bool IsAcknowledged(const std::set<HostId>& live) const;
  [[nodiscard]] bool HasAcknowledged(HostId host) const { return m_acks.contains(host); }

  [[nodiscard]] const OwnerTable& Table() const noexcept { return m_table; }

 private:
  struct Ack {
    std::uint32_t m_base_idle_s = 0;
    TimePoint m_at;
  };

  void EnterPhase(TimePoint now);
  bool StartLearning(TimePoint now);
  bool StartMoving(const std::set<HostId>& live, TimePoint now);
  bool TrySettle(const std::set<HostId>& live, const std::function<bool(std::uint64_t)>& is_owner_live, TimePoint now);
  [[nodiscard]] bool AllFormerOwnersDead(const std::function<bool(std::uint64_t)>& is_owner_live) const;
  [[nodiscard]] bool HasNoLiveFormerOwner(const std::vector<OwnerEntry>& list,
                                          const std::function<bool(std::uint64_t)>& is_owner_live) const;
  [[nodiscard]] bool IsBaseIdle(const std::set<HostId>& live, TimePoint now) const;

  OwnerTable m_table;
  Duration m_base_idle_limit;
  std::optional<std::vector<OwnerEntry>> m_wanted;
  TimePoint m_phase_since;
  std::map<HostId, Ack> m_acks;
};

}  // namespace fighatch

#endif  // FIGHATCH_OWNER_TRANSITION_H_
