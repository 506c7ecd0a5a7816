#ifndef FIGHATCH_REQUEST_LIMITS_H_
#define FIGHATCH_REQUEST_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "fighatch/time.h"

namespace fighatch {

/// Maximum size of a request datagram and of an answer datagram.
inline constexpr std::size_t kMaxDatagramBytes = 16UL * 1024;
/// Space reserved for the header fields that the engine adds to a target's response: outcome, code, next id and
/// `X-Request-Id`. It is fixed, so that a resend with longer fields never gets a different answer.
inline constexpr std::size_t kAnswerHeaderReserveBytes = 512;
/// Maximum length of a caller's `X-Request-Id`.
inline constexpr std::size_t kMaxCorrelationBytes = 128;
/// Time until the deadline of a request without `Request-Timeout`.
inline constexpr Duration kDefaultRequestTimeout = std::chrono::milliseconds(2000);
/// Upper limit of `Request-Timeout`; larger values are reduced to it.
inline constexpr Duration kMaxRequestTimeout = std::chrono::milliseconds(10'000);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_LIMITS_H_
