#ifndef FIGHATCH_REQUEST_ANSWER_H_
#define FIGHATCH_REQUEST_ANSWER_H_

#include <string>
#include <string_view>

#include "fighatch/http_message.h"
#include "fighatch/outcome.h"
#include "fighatch/time.h"

namespace fighatch {

/// The response for a caller: the answer with the header fields for outcome, code, next request id and the caller's
/// `X-Request-Id`. The last two are omitted if empty.
[[nodiscard]] HttpResponse BuildAnswer(const RequestAnswer& answer, const std::string& next_id,
                                       const std::string& correlation);

/// The answer that relays a target's response, without hop-by-hop fields and the fields that only a balancer sets. Code
/// 5008 and an empty body if the response does not fit in a datagram.
[[nodiscard]] RequestAnswer RelayAnswer(HttpResponse response);

/// The request as it is sent to a target: without hop-by-hop fields, and with the time left in `Request-Timeout`.
[[nodiscard]] HttpRequest BuildTargetRequest(const HttpRequest& request, Duration time_left);

/// True if the response proves that the target did not run the request: a 503 with `Fighatch-Not-Run: 1` or
/// `Retry-After`, provided that the service is set to count these as proof (`shed_means_not_run`).
[[nodiscard]] bool ProvesNotRun(const HttpResponse& response, bool shed_means_not_run);

/// True if the response has an `Idempotency-Key` or `X-Request-Id` that differs from the request's.
[[nodiscard]] bool IsForAnotherRequest(const HttpResponse& response, const HttpRequest& request);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ANSWER_H_
