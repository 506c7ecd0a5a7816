#ifndef FIGHATCH_OBSERVE_TRACER_H_
#define FIGHATCH_OBSERVE_TRACER_H_

#include <memory>
#include <string>
#include <string_view>

#include "fighatch/result.h"
#include "observe/trace_context.h"

namespace fighatch::observe {

/// A span that has been started and is recorded when it is destroyed. An empty span records nothing.
class Span {
 public:
  Span() noexcept;
  ~Span();
  Span(Span&&) noexcept;
  Span& operator=(Span&&) noexcept;

  /// Adds a tag. Values must not contain callers' data.
  void SetTag(std::string_view name, std::string_view value);

  /// What to pass on to the next hop, so that its span becomes a child of this one.
  [[nodiscard]] const TraceContext& Context() const noexcept;

 private:
  friend class Tracer;
  class Impl;
  explicit Span(std::unique_ptr<Impl> impl) noexcept;

  std::unique_ptr<Impl> m_impl;
};

/// Starts spans for the hops of sampled requests and appends them to a file, one span a line, in the Zipkin v2 JSON
/// form. It uses the OpenTracing interface with the tracer that comes with it. Safe from several threads.
class Tracer {
 public:
  /// Opens the file for appending; an empty path makes a tracer that records nothing. Errors: `kStorageIo`.
  [[nodiscard]] static Result<std::unique_ptr<Tracer>> Open(const std::string& path, std::string_view service,
                                                            std::string_view host);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Continues the trace of a `traceparent` header; an empty span if there is none or it is not sampled.
  [[nodiscard]] Span StartChildSpan(std::string_view name, std::string_view traceparent);

 private:
  class Impl;
  explicit Tracer(std::unique_ptr<Impl> impl) noexcept;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_TRACER_H_
