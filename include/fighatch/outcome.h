#ifndef FIGHATCH_OUTCOME_H_
#define FIGHATCH_OUTCOME_H_

#include <cstdint>
#include <string_view>

#include "fighatch/error.h"
#include "fighatch/http_message.h"

namespace fighatch {

/// What a balancer knows about the execution of a request when it answers.
enum class Outcome : std::uint8_t {
  /// A target ran the request.
  kAnswered = 0,
  /// No target ran it, and none will under this request id.
  kNotRun = 1,
  /// A target may have run it or may still run it.
  kUnknown = 2,
};

/// "answered", "not-run" or "unknown", as in the header `Fighatch-Outcome`.
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

/// A response together with the outcome of the request and a code: `kOk` or one of the 5000s.
struct RequestAnswer {
  Outcome m_outcome = Outcome::kUnknown;
  ErrorCode m_code = ErrorCode::kOk;
  HttpResponse m_response;

  friend bool operator==(const RequestAnswer&, const RequestAnswer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_outcome, m_code, m_response);
  }
};

/// The answer that a balancer gives itself for a code of the 5000s: empty body, outcome and HTTP status by the code.
[[nodiscard]] RequestAnswer MakeErrorAnswer(ErrorCode code);

/// The answer with outcome "unknown" and status 502 for the given code.
[[nodiscard]] RequestAnswer MakeUnknownAnswer(ErrorCode code = ErrorCode::kRequestOutcomeUnknown);

}  // namespace fighatch

#endif  // FIGHATCH_OUTCOME_H_
