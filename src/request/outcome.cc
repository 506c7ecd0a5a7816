#include "fighatch/outcome.h"

#include <array>

namespace fighatch {
namespace {

int StatusOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kRequestIdMissing:
      return 428;
    case ErrorCode::kRequestIdInvalid:
    case ErrorCode::kRequestMalformed:
      return 400;
    case ErrorCode::kRequestTooLarge:
      return 413;
    case ErrorCode::kRequestDeadlineExpired:
      return 504;
    case ErrorCode::kRequestCancelled:
      return 409;
    case ErrorCode::kRequestOutcomeUnknown:
    case ErrorCode::kRequestAnswerTooLarge:
      return 502;
    default:
      return 503;
  }
}

RequestAnswer MakeAnswer(Outcome outcome, ErrorCode code, int status) {
  RequestAnswer answer;
  answer.m_outcome = outcome;
  answer.m_code = code;
  answer.m_response.m_status = status;
  return answer;
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) noexcept {
  static constexpr std::array<std::string_view, 3> kNames = {"answered", "not-run", "unknown"};
  const auto index = static_cast<std::size_t>(outcome);
  return index < kNames.size() ? kNames[index] : "unknown";
}

RequestAnswer MakeErrorAnswer(ErrorCode code) {
  Outcome outcome = Outcome::kNotRun;
  if (code == ErrorCode::kRequestOutcomeUnknown) outcome = Outcome::kUnknown;
  if (code == ErrorCode::kRequestAnswerTooLarge) outcome = Outcome::kAnswered;
  return MakeAnswer(outcome, code, StatusOf(code));
}

RequestAnswer MakeUnknownAnswer(ErrorCode code) { return MakeAnswer(Outcome::kUnknown, code, 502); }

}  // namespace fighatch
