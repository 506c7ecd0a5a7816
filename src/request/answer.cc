#include "request/answer.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

#include "request/limits.h"

namespace fighatch {
namespace {

/// Hop-by-hop header fields, which apply to one connection and are not relayed.
constexpr std::array<std::string_view, 7> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

/// Header fields of an answer that only a balancer sets; a target's are removed.
constexpr std::array<std::string_view, 5> kBalancerFields = {"Fighatch-Outcome", "Fighatch-Code", "Fighatch-Not-Run",
                                                             "Idempotency-Key", "X-Request-Id"};

template <typename Names>
void RemoveFields(HttpHeaders* headers, const Names& names) {
  std::erase_if(*headers, [&names](const HttpHeader& header) {
    return std::any_of(names.begin(), names.end(), [&header](std::string_view name) {
      return boost::beast::iequals(header.m_name, {name.data(), name.size()});
    });
  });
}

/// True if both messages have the field and the values differ.
bool FieldsDiffer(const HttpResponse& response, const HttpRequest& request, std::string_view field) {
  const auto response_value = FindHeader(response.m_headers, field);
  const auto request_value = FindHeader(request.m_headers, field);
  return response_value && request_value && *response_value != *request_value;
}

}  // namespace

HttpResponse BuildAnswer(const RequestAnswer& answer, const std::string& next_id, const std::string& correlation) {
  HttpResponse response = answer.m_response;
  SetHeader(&response.m_headers, "Fighatch-Outcome", std::string(OutcomeName(answer.m_outcome)));
  SetHeader(&response.m_headers, "Fighatch-Code", std::to_string(static_cast<int>(answer.m_code)));
  if (!next_id.empty()) SetHeader(&response.m_headers, "Idempotency-Key", next_id);
  if (!correlation.empty()) SetHeader(&response.m_headers, "X-Request-Id", correlation);
  return response;
}

RequestAnswer RelayAnswer(HttpResponse response) {
  RemoveFields(&response.m_headers, kConnectionFields);
  RemoveFields(&response.m_headers, kBalancerFields);
  if (ToString(response).size() + kAnswerHeaderReserveBytes > kMaxDatagramBytes) {
    return MakeErrorAnswer(ErrorCode::kRequestAnswerTooLarge);
  }
  return {Outcome::kAnswered, ErrorCode::kOk, std::move(response)};
}

HttpRequest BuildTargetRequest(const HttpRequest& request, Duration time_left) {
  HttpRequest forwarded = request;
  RemoveFields(&forwarded.m_headers, kConnectionFields);
  const auto time_left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  SetHeader(&forwarded.m_headers, "Request-Timeout", std::to_string(time_left_ms));
  return forwarded;
}

bool ProvesNotRun(const HttpResponse& response, bool shed_means_not_run) {
  if (!shed_means_not_run || response.m_status != 503) return false;
  return FindHeader(response.m_headers, "Fighatch-Not-Run") == "1" || FindHeader(response.m_headers, "Retry-After");
}

bool IsForAnotherRequest(const HttpResponse& response, const HttpRequest& request) {
  return FieldsDiffer(response, request, "Idempotency-Key") || FieldsDiffer(response, request, "X-Request-Id");
}

}  // namespace fighatch
