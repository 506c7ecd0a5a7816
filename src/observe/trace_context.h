#ifndef FIGHATCH_OBSERVE_TRACE_CONTEXT_H_
#define FIGHATCH_OBSERVE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace fighatch::observe {

/// The fields of a `traceparent` header, version 00 (W3C Trace Context).
struct TraceContext {
  /// 32 hexadecimal digits.
  std::string m_trace_id;
  /// 16 hexadecimal digits: the span of the sender.
  std::string m_span_id;
  bool m_sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Parses a header value; empty if it is not valid, which means that no trace is continued.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(std::string_view text);

/// The header value.
[[nodiscard]] std::string ToTraceparent(const TraceContext& context);

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_TRACE_CONTEXT_H_
