#ifndef FIGHATCH_REQUEST_ANSWER_H_
#define FIGHATCH_REQUEST_ANSWER_H_

#include <string>
#include <string_view>

#include "fighatch/http_message.h"
#include "fighatch/outcome.h"
#include "fighatch/time.h"

namespace fighatch {

/// The response for a caller: the answer with outcome, code, next id and the caller's `X-Request-Id`; empty texts are
/// left out.
[[nodiscard]] HttpResponse BuildAnswer(const RequestAnswer& answer, const std::string& next_id,
                                       const std::string& correlation);

/// The answer that relays a target's response without fields of the connection and without fields of our own; code 5008
/// and an empty body if it does not fit in a datagram.
[[nodiscard]] RequestAnswer RelayAnswer(HttpResponse response);

/// The request as a target gets it: without fields of the caller's connection, with the time left.
[[nodiscard]] HttpRequest BuildTargetRequest(const HttpRequest& request, Duration time_left);

/// True if the response proves that the target did not run the request.
[[nodiscard]] bool ProvesNotRun(const HttpResponse& response, bool shed_means_not_run);

/// True if the response repeats a request id or `X-Request-Id` that is not the one of the request.
[[nodiscard]] bool IsForAnotherRequest(const HttpResponse& response, const HttpRequest& request);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_ANSWER_H_
