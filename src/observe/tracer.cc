#include "observe/tracer.h"

#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <sodium.h>

#include <array>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace fighatch::observe {
namespace {

namespace mocktracer = opentracing::mocktracer;

// Tags that carry the W3C ids of a span to the recorder, which writes them as ids and not as tags.
constexpr const char* kTraceIdTag = "w3c.trace_id";
constexpr const char* kParentIdTag = "w3c.parent_id";
constexpr const char* kSpanIdTag = "w3c.span_id";

std::string StringTag(const mocktracer::SpanData& span, const char* name) {
  const auto found = span.tags.find(name);
  if (found == span.tags.end() || !found->second.is<std::string>()) return {};
  return found->second.get<std::string>();
}

std::int64_t ToMicroseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

// Appends each finished span to a file as one line of Zipkin v2 JSON.
class ZipkinRecorder : public mocktracer::Recorder {
 public:
  ZipkinRecorder(std::ofstream file, std::string service, std::string host)
      : m_file(std::move(file)), m_service(std::move(service)), m_host(std::move(host)) {}

  void RecordSpan(mocktracer::SpanData&& span) noexcept override {  // NOLINT(readability-identifier-naming)
    try {
      const std::string line = ToJson(span);
      const std::lock_guard lock(m_mutex);
      m_file << line << '\n' << std::flush;
    } catch (const std::exception&) {
      // The span is lost. Failing to write it must not affect the request that it describes.
    }
  }

 private:
  [[nodiscard]] std::string ToJson(const mocktracer::SpanData& span) const {
    nlohmann::json tags = {{"host", m_host}};
    for (const auto& [name, value] : span.tags) {
      if (name.starts_with("w3c.") || !value.is<std::string>()) continue;
      tags[name] = value.get<std::string>();
    }
    return nlohmann::json{{"traceId", StringTag(span, kTraceIdTag)},
                          {"parentId", StringTag(span, kParentIdTag)},
                          {"id", StringTag(span, kSpanIdTag)},
                          {"name", span.operation_name},
                          {"timestamp", ToMicroseconds(span.start_timestamp.time_since_epoch())},
                          {"duration", ToMicroseconds(span.duration)},
                          {"localEndpoint", {{"serviceName", m_service}}},
                          {"tags", tags}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }

  std::mutex m_mutex;
  std::ofstream m_file;
  std::string m_service;
  std::string m_host;
};

// A random span id as hexadecimal digits. One bit is set, since W3C Trace Context does not allow an id of zero.
std::string NewSpanId() {
  std::array<unsigned char, 8> bytes;
  randombytes_buf(bytes.data(), bytes.size());
  bytes[0] |= 1U;
  std::array<char, 2 * sizeof(bytes) + 1> text;
  return sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
}

}  // namespace

class Span::Impl {
 public:
  std::unique_ptr<opentracing::Span> m_span;
  TraceContext m_context;
};

Span::Span() noexcept = default;
Span::Span(std::unique_ptr<Impl> impl) noexcept : m_impl(std::move(impl)) {}
Span::~Span() = default;
Span::Span(Span&&) noexcept = default;
Span& Span::operator=(Span&&) noexcept = default;

void Span::SetTag(std::string_view name, std::string_view value) {
  if (m_impl) m_impl->m_span->SetTag({name.data(), name.size()}, std::string(value));
}

const TraceContext& Span::Context() const noexcept {
  static const TraceContext kEmptyContext;
  return m_impl ? m_impl->m_context : kEmptyContext;
}

class Tracer::Impl {
 public:
  std::shared_ptr<mocktracer::MockTracer> m_tracer;
};

Tracer::Tracer(std::unique_ptr<Impl> impl) noexcept : m_impl(std::move(impl)) {}
Tracer::~Tracer() = default;

Result<std::unique_ptr<Tracer>> Tracer::Open(const std::string& path, std::string_view service, std::string_view host) {
  auto impl = std::make_unique<Impl>();
  if (!path.empty()) {
    std::ofstream file(path, std::ios::app);
    if (!file) return MakeError(ErrorCode::kStorageIo, path);
    mocktracer::MockTracerOptions options;
    options.recorder = std::make_unique<ZipkinRecorder>(std::move(file), std::string(service), std::string(host));
    impl->m_tracer = std::make_shared<mocktracer::MockTracer>(std::move(options));
  }
  return std::unique_ptr<Tracer>(new Tracer(std::move(impl)));
}

Span Tracer::StartChildSpan(std::string_view name, std::string_view traceparent) {
  if (!m_impl->m_tracer) return {};
  const std::optional<TraceContext> parent = ParseTraceparent(traceparent);
  if (!parent || !parent->m_sampled) return {};
  auto span = std::make_unique<Span::Impl>();
  span->m_span = m_impl->m_tracer->StartSpan({name.data(), name.size()});
  if (!span->m_span) return {};
  span->m_context = *parent;
  span->m_context.m_span_id = NewSpanId();
  span->m_span->SetTag(kTraceIdTag, parent->m_trace_id);
  span->m_span->SetTag(kParentIdTag, parent->m_span_id);
  span->m_span->SetTag(kSpanIdTag, span->m_context.m_span_id);
  return Span(std::move(span));
}

}  // namespace fighatch::observe
