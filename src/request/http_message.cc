#include "fighatch/http_message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace fighatch {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Largest head of a message: start line and header fields.
constexpr std::size_t kMaxHeadBytes = 64 << 10;

bool NameEquals(std::string_view left, std::string_view right) {
  return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

template <typename Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    if (field.name() == http::field::content_length || field.name() == http::field::transfer_encoding) continue;
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

HttpRequest ToMessage(const http::request<http::string_body>& parsed) {
  return {std::string(parsed.method_string()), std::string(parsed.target()), CopyHeaders(parsed), parsed.body()};
}

HttpResponse ToMessage(const http::response<http::string_body>& parsed) {
  return {static_cast<int>(parsed.result_int()), CopyHeaders(parsed), parsed.body()};
}

template <bool kIsRequest, typename Message>
Result<std::optional<ParsedHttpMessage<Message>>> Parse(std::span<const std::byte> bytes, std::size_t limit_bytes,
                                                        std::size_t* missing_bytes) {
  http::parser<kIsRequest, http::string_body> parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(std::min(limit_bytes, kMaxHeadBytes)));
  parser.body_limit(limit_bytes);
  beast::error_code error;
  std::size_t consumed = 0;
  while (!parser.is_done() && consumed < bytes.size()) {
    const std::size_t step = parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
    consumed += step;
    if (error == http::error::need_more) break;
    if (error == http::error::body_limit || error == http::error::header_limit) {
      return MakeError(ErrorCode::kRequestTooLarge, error.message());
    }
    if (error) return MakeError(ErrorCode::kRequestMalformed, error.message());
    if (step == 0) break;
  }
  if (consumed > limit_bytes) return MakeError(ErrorCode::kRequestTooLarge);
  if (!parser.is_done()) {
    if (bytes.size() > limit_bytes) return MakeError(ErrorCode::kRequestTooLarge);
    if (missing_bytes != nullptr) {
      const auto remaining = parser.is_header_done() ? parser.content_length_remaining() : boost::none;
      *missing_bytes = std::max<std::size_t>(remaining ? *remaining : 1, 1);
    }
    return std::optional<ParsedHttpMessage<Message>>();
  }
  const bool keep_alive = parser.get().keep_alive();
  return std::optional<ParsedHttpMessage<Message>>({ToMessage(parser.get()), consumed, keep_alive});
}

void AppendHeaders(const HttpHeaders& headers, std::size_t body_bytes, std::string* out) {
  for (const HttpHeader& header : headers) {
    if (NameEquals(header.m_name, "Content-Length") || NameEquals(header.m_name, "Transfer-Encoding")) continue;
    out->append(header.m_name).append(": ").append(header.m_value).append("\r\n");
  }
  out->append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n\r\n");
}

}  // namespace

std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name) noexcept {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const HttpHeader& header) { return NameEquals(header.m_name, name); });
  if (found == headers.end()) return std::nullopt;
  return std::string_view(found->m_value);
}

void SetHeader(HttpHeaders* headers, std::string_view name, std::string value) {
  std::erase_if(*headers, [name](const HttpHeader& header) { return NameEquals(header.m_name, name); });
  headers->push_back({std::string(name), std::move(value)});
}

Result<std::optional<ParsedHttpMessage<HttpRequest>>> ParseHttpRequest(std::span<const std::byte> bytes,
                                                                       std::size_t limit_bytes,
                                                                       std::size_t* missing_bytes) {
  return Parse<true, HttpRequest>(bytes, limit_bytes, missing_bytes);
}

Result<std::optional<ParsedHttpMessage<HttpResponse>>> ParseHttpResponse(std::span<const std::byte> bytes,
                                                                         std::size_t limit_bytes) {
  return Parse<false, HttpResponse>(bytes, limit_bytes, nullptr);
}

std::string ToString(const HttpRequest& request) {
  std::string text = request.m_method + " " + request.m_path + " HTTP/1.1\r\n";
  if (!FindHeader(request.m_headers, "Host")) text.append("Host: fighatch\r\n");
  AppendHeaders(request.m_headers, request.m_body.size(), &text);
  return text.append(request.m_body);
}

std::string ToString(const HttpResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.m_status) + " ";
  const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.m_status)));
  text.append(reason.data(), reason.size()).append("\r\n");
  AppendHeaders(response.m_headers, response.m_body.size(), &text);
  return text.append(response.m_body);
}

}  // namespace fighatch
