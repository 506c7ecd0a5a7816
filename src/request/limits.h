#ifndef FIGHATCH_REQUEST_LIMITS_H_
#define FIGHATCH_REQUEST_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "fighatch/time.h"

namespace fighatch {

inline constexpr std::size_t kMaxDatagramBytes = 16UL * 1024;
/// Room for the header fields that the engine adds to a target's response: outcome, code, next id, `X-Request-Id`.
/// It is fixed, so that a resend of a request never gets another answer because its fields are longer.
inline constexpr std::size_t kAnswerHeaderReserveBytes = 512;
inline constexpr std::size_t kMaxCorrelationBytes = 128;
inline constexpr Duration kDefaultRequestTimeout = std::chrono::milliseconds(2000);
inline constexpr Duration kMaxRequestTimeout = std::chrono::milliseconds(10'000);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_LIMITS_H_
