#ifndef FIGHATCH_LEASE_TIMES_H_
#define FIGHATCH_LEASE_TIMES_H_

#include <chrono>

#include "fighatch/time.h"

namespace fighatch {

/// Validity of a lease by the holder's clock, counted from when it sent the request.
inline constexpr Duration kLeaseTerm = std::chrono::seconds(1);
/// Interval at which a holder renews its leases.
inline constexpr Duration kLeaseRenewal = std::chrono::milliseconds(400);
/// Minimum interval between requests of a holder that does not wait for the next renewal, such as after new demand or a
/// shed.
inline constexpr Duration kLeaseMinInterval = std::chrono::milliseconds(100);
/// Maximum time that a request may be in progress at a target. It may outlast the lease under which it began.
inline constexpr Duration kMaxRequestTime = std::chrono::seconds(10);
/// A coordinator stops granting after this time without a majority of members that follow it.
inline constexpr Duration kMajorityLossTimeout = std::chrono::seconds(5);
/// A member that does not follow the coordinator is removed after this time, if a majority reports it as missing.
inline constexpr Duration kMemberRemovedAfter = std::chrono::seconds(8);

/// Upper bound, on this host's clock, of a time span measured by another host's clock, with a drift of 10%.
[[nodiscard]] constexpr Duration WithDrift(Duration span) noexcept { return span + span / 10; }

/// Time after which a token that was granted by another coordinator, or to a holder that no longer follows, cannot be
/// in use any more: a coordinator in the minority renews it until `kMajorityLossTimeout`, then the lease and the
/// request end in turn. The drift counts twice because the clocks of two other hosts are involved.
inline constexpr Duration kMaxUnreportedUseTime =
    WithDrift(WithDrift(kMajorityLossTimeout + kLeaseTerm + kMaxRequestTime));

}  // namespace fighatch

#endif  // FIGHATCH_LEASE_TIMES_H_
