#ifndef FIGHATCH_OBSERVE_TRACE_CONTEXT_H_
#define FIGHATCH_OBSERVE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace fighatch::observe {

/// The fields of a `traceparent` header, version 00 (W3C Trace Context).
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string m_trace_id;
  /// The sender's span: 16 lower-case hexadecimal digits, not all zero.
  std::string m_span_id;
  /// Whether the sender records the trace.
  bool m_sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Parses the value of a `traceparent` header; empty if it is not valid, in which case no trace is continued.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(std::string_view text);

/// Formats the context as the value of a `traceparent` header.
[[nodiscard]] std::string ToTraceparent(const TraceContext& context);

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_TRACE_CONTEXT_H_
