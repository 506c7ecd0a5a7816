#ifndef FIGHATCH_LEASE_TIMES_H_
#define FIGHATCH_LEASE_TIMES_H_

#include <chrono>

#include "fighatch/time.h"

namespace fighatch {

/// A lease is valid for this long by the holder's clock, counted from when it asked.
inline constexpr Duration kLeaseTerm = std::chrono::seconds(1);
/// A holder asks this often.
inline constexpr Duration kLeaseRenewal = std::chrono::milliseconds(400);
/// The shortest time between two requests of a holder whose demand has risen.
inline constexpr Duration kLeaseMinInterval = std::chrono::milliseconds(100);
/// The longest time that a request may be in progress at a target. It outlives the lease under which it began.
inline constexpr Duration kMaxRequestTime = std::chrono::seconds(10);
/// A coordinator that hears no majority stops granting after this time.
inline constexpr Duration kMajorityLossTimeout = std::chrono::seconds(5);
/// A member is declared gone after this silence, if a majority misses it.
inline constexpr Duration kMemberRemovedAfter = std::chrono::seconds(8);

/// The longest that a span on another host's clock can take on one's own, with a drift of 10%.
[[nodiscard]] constexpr Duration WithDrift(Duration span) noexcept { return span + span / 10; }

/// Time after which a token that was granted by another coordinator, or to a holder that is no longer heard, cannot be
/// in use any more: a minority renews it until it stops, then the lease and the request run out in turn. The drift
/// counts twice because the clocks of two other hosts take part.
inline constexpr Duration kMaxUnreportedUseTime =
    WithDrift(WithDrift(kMajorityLossTimeout + kLeaseTerm + kMaxRequestTime));

}  // namespace fighatch

#endif  // FIGHATCH_LEASE_TIMES_H_
