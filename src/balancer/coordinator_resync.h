#ifndef FIGHATCH_BALANCER_COORDINATOR_RESYNC_H_
#define FIGHATCH_BALANCER_COORDINATOR_RESYNC_H_

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch::daemon {

/// Schedules when a balancer sends its owner tables and target facts to a new coordinator. A coordinator that has just
/// started or taken over knows none, and would publish tables without targets. The caller passes in the time.
class CoordinatorResync {
 public:
  /// Sets the present coordinator. A new host or incarnation starts a new series of sends.
  void SetCoordinator(HostId host, Incarnation incarnation, TimePoint now);

  /// True if a send is due now; the send then counts as done.
  [[nodiscard]] bool TakeDue(TimePoint now);

 private:
  HostId m_host;
  Incarnation m_incarnation;
  int m_sends_left = 0;
  TimePoint m_next;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_COORDINATOR_RESYNC_H_
