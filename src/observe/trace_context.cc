#include "observe/trace_context.h"

#include <algorithm>

namespace fighatch::observe {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// A version 00 header is "00-", trace id, "-", span id, "-" and two hexadecimal digits of flags.
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kSpanIdOffset = kTraceIdOffset + kTraceIdDigits + 1;
constexpr std::size_t kFlagsOffset = kSpanIdOffset + kSpanIdDigits + 1;
constexpr std::size_t kTraceparentLength = kFlagsOffset + 2;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

bool IsAllZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (text.size() != kTraceparentLength || text.substr(0, kTraceIdOffset) != "00-") return std::nullopt;
  if (text[kSpanIdOffset - 1] != '-' || text[kFlagsOffset - 1] != '-') return std::nullopt;
  const std::string_view trace_id = text.substr(kTraceIdOffset, kTraceIdDigits);
  const std::string_view span_id = text.substr(kSpanIdOffset, kSpanIdDigits);
  const std::string_view flags = text.substr(kFlagsOffset);
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id) || !IsLowerHex(flags)) return std::nullopt;
  if (IsAllZero(trace_id) || IsAllZero(span_id)) return std::nullopt;
  // The lowest bit of the flags is the sampled flag.
  const std::string_view odd_digits = "13579bdf";
  return TraceContext{std::string(trace_id), std::string(span_id), odd_digits.find(flags[1]) != std::string_view::npos};
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + context.m_trace_id + "-" + context.m_span_id + (context.m_sampled ? "-01" : "-00");
}

}  // namespace fighatch::observe
