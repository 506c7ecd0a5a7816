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

/// The new list is learned for at least this time.
inline constexpr Duration kLearningTime = std::chrono::seconds(1);
/// Learning ends after this time, also without the acknowledgement of every live balancer.
inline constexpr Duration kLearningLimit = std::chrono::milliseconds(1500);
/// An acknowledgement counts for the idle time of the base while it is not older than this.
inline constexpr Duration kMaxIdleReportAge = std::chrono::seconds(30);
/// The base retires after this time without packets that went to it.
inline constexpr Duration kDefaultBaseIdleLimit = std::chrono::seconds(300);

/// Moves the owner table of one service from one list of owners to the next: settled, learning, moving, settled.
///
/// A change that is wanted while the table is learning waits until that has ended; in phase `kMoving` it goes through
/// `kLearning` again with the same base.
class OwnerTransition {
 public:
  /// Continues from a table under an epoch that is not lower than the table's.
  OwnerTransition(OwnerTable table, std::uint64_t epoch, Duration base_idle_limit);

  /// Sets the owners that the table is to reach; entries of weight 0 are left out.
  void SetWantedOwners(std::vector<OwnerEntry> owners);

  /// Takes an owner out of all lists at once, for one that is dead or given up: its flows are lost anyway.
  /// Returns true if the table changed.
  bool Remove(std::uint64_t owner);

  /// Raises the version because the description of an owner has changed.
  void RaiseVersion();

  /// Takes an acknowledgement; false if it is for another version.
  bool OnAck(const TableAck& ack, TimePoint now);

  /// Drops a host's acknowledgement, so that the table is sent to it again.
  void ForgetAck(HostId host);

  /// Moves phases on. `live` are the hosts whose acknowledgements count. Returns true if the table changed.
  bool Advance(const std::set<HostId>& live, const std::function<bool(std::uint64_t)>& is_owner_live, TimePoint now);

  /// True if every live host has acknowledged the present version.
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
