#ifndef FIGHATCH_DAEMON_REACHABILITY_H_
#define FIGHATCH_DAEMON_REACHABILITY_H_

#include <map>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch::daemon {

/// What changed about a data centre.
enum class ReachabilityChange { kNone, kCutOff, kReachable };

/// Keeps which data centres are cut off and which have returned from a cut.
class Reachability {
 public:
  /// Takes whether any member of a data centre is live.
  ReachabilityChange Update(DataCentreId id, bool has_live_members, TimePoint now);

  [[nodiscard]] std::vector<DataCentreId> CutOff() const;
  /// Data centres that came back within the idle limit of flows: flows placed elsewhere meanwhile may still live.
  [[nodiscard]] std::vector<DataCentreId> RecentlyCutOff(TimePoint now) const;

 private:
  /// Unset time points are at the clock's epoch.
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

#endif  // FIGHATCH_DAEMON_REACHABILITY_H_
