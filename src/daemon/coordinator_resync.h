#ifndef FIGHATCH_DAEMON_COORDINATOR_RESYNC_H_
#define FIGHATCH_DAEMON_COORDINATOR_RESYNC_H_

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch::daemon {

/// Says when the coordinator has to be told the tables and target facts that this balancer holds: a coordinator that
/// has just started or taken over knows none, and would publish tables without targets.
class CoordinatorResync {
 public:
  /// Takes who coordinates now.
  void SetCoordinator(HostId host, Incarnation incarnation, TimePoint now);

  /// True if the coordinator is to be told now.
  [[nodiscard]] bool TakeDue(TimePoint now);

 private:
  HostId m_host;
  Incarnation m_incarnation;
  int m_sends_left = 0;
  TimePoint m_next;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_COORDINATOR_RESYNC_H_
