#ifndef FIGHATCH_TARGET_MONITOR_H_
#define FIGHATCH_TARGET_MONITOR_H_

#include <cstdint>
#include <set>
#include <vector>

#include "fighatch/sync_server.h"
#include "fighatch/target_directory.h"
#include "fighatch/time.h"

namespace fighatch {

/// Decides what a control host may say about targets: whether it may confirm an announcement, and when it may declare a
/// target silent. Both need messages in both directions with a majority of the voters. A host that only hears the
/// leader may miss all announcements, and others may miss those that it receives: neither its own view nor what targets
/// tell it counts then. It reads no clock: each call gets the time.
class TargetMonitor {
 public:
  /// Both arguments must outlive the monitor.
  TargetMonitor(HostId self, TargetDirectory* directory, SyncServer* server)
      : m_self(self), m_directory(directory), m_server(server) {}

  /// Call it once an interval, with the voters of the log, and whether the log is in contact with a majority of them.
  /// Returns the targets that became silent.
  std::vector<AnnouncedTarget> Tick(TimePoint now, std::set<HostId> voters, bool log_has_quorum);

  /// True if the log and the exchange of targets were in contact with a majority at the last `Tick` and the exchange
  /// still is.
  [[nodiscard]] bool HasMajority(TimePoint now) const;

  /// True if a majority of the voters, this host included, holds the directory change or refresh `sequence`, and
  /// messages still pass in both directions.
  [[nodiscard]] bool IsConfirmed(TimePoint now, std::uint64_t sequence) const;

 private:
  // True if `others` voters and this host, if it is one, are more than half of the voters.
  [[nodiscard]] bool IsMajority(std::size_t others) const;

  HostId m_self;
  TargetDirectory* m_directory;
  SyncServer* m_server;
  // The voters without this host, and whether it is one.
  std::set<HostId> m_other_voters;
  bool m_is_voter = false;
  bool m_log_has_quorum = false;
  bool m_had_majority = false;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_MONITOR_H_
