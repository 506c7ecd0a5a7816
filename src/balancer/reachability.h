#ifndef FIGHATCH_BALANCER_REACHABILITY_H_
#define FIGHATCH_BALANCER_REACHABILITY_H_

#include <map>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch::daemon {

/// How the reachability of a data centre changed.
enum class ReachabilityChange { kNone, kCutOff, kReachable };

/// Tracks which other data centres are cut off from this balancer and which were until recently. Reads no clock: the
/// caller passes in the time.
class Reachability {
 public:
  /// Updates a data centre by whether any of its members is live. A data centre is cut off after 2 s without live
  /// members.
  ReachabilityChange Update(DataCentreId id, bool has_live_members, TimePoint now);

  /// Data centres that cannot be reached at present.
  [[nodiscard]] std::vector<DataCentreId> CutOff() const;
  /// Data centres that became reachable again within the idle limit of flows. Flows that were opened elsewhere in the
  /// meantime may still be active.
  [[nodiscard]] std::vector<DataCentreId> RecentlyCutOff(TimePoint now) const;

 private:
  /// A time point at the clock's epoch is unset.
  struct Contact {
    bool m_was_reachable = false;
    bool m_cut_off = false;
    TimePoint m_unreachable_since;
    TimePoint m_reachable_again_at;
  };

  static ReachabilityChange OnSilence(Contact* contact, TimePoint now);

  std::map<DataCentreId, Contact> m_contacts;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_REACHABILITY_H_
