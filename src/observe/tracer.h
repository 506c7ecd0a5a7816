#ifndef FIGHATCH_OBSERVE_TRACER_H_
#define FIGHATCH_OBSERVE_TRACER_H_

#include <memory>
#include <string>
#include <string_view>

#include "fighatch/result.h"
#include "observe/trace_context.h"

namespace fighatch::observe {

/// A started trace span, which is recorded when it is destroyed. An empty span records nothing.
class Span {
 public:
  Span() noexcept;
  ~Span();
  Span(Span&&) noexcept;
  Span& operator=(Span&&) noexcept;

  /// Adds a tag to the span. Values must not contain callers' data.
  void SetTag(std::string_view name, std::string_view value);

  /// The context to send to the next hop, which makes that hop's span a child of this one.
  [[nodiscard]] const TraceContext& Context() const noexcept;

 private:
  friend class Tracer;
  class Impl;
  explicit Span(std::unique_ptr<Impl> impl) noexcept;

  std::unique_ptr<Impl> m_impl;
};

/// Starts spans for the hops of sampled requests and appends finished spans to a file, one Zipkin v2 JSON object a
/// line. It is built on OpenTracing and the mock tracer in that library. Safe to use from several threads.
class Tracer {
 public:
  /// Opens the file for appending; an empty path gives a tracer that records nothing. Errors: `kStorageIo`, with the
  /// path as detail.
  [[nodiscard]] static Result<std::unique_ptr<Tracer>> Open(const std::string& path, std::string_view service,
                                                            std::string_view host);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Starts a span as a child of the span in a `traceparent` header; an empty span if the header is absent, not valid
  /// or not sampled.
  [[nodiscard]] Span StartChildSpan(std::string_view name, std::string_view traceparent);

 private:
  class Impl;
  explicit Tracer(std::unique_ptr<Impl> impl) noexcept;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_TRACER_H_
