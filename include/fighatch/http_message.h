#ifndef FIGHATCH_HTTP_MESSAGE_H_
#define FIGHATCH_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/result.h"

namespace fighatch {

/// One header field of an HTTP/1.1 message. This header defines requests and responses as values, with a parser that
/// works on a byte buffer and the conversion back to text.
struct HttpHeader {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_value);
  }
};

/// Header fields in message order.
using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first field of this name, compared without regard to case; empty if there is none.
[[nodiscard]] std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name) noexcept;

/// Replaces all fields of this name by one, which is appended at the end.
void SetHeader(HttpHeaders* headers, std::string_view name, std::string value);

/// An HTTP/1.1 request. `ToString` derives `Content-Length` from the body.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_path = "/";
  HttpHeaders m_headers;
  std::string m_body;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_method, m_path, m_headers, m_body);
  }
};

/// An HTTP/1.1 response. `ToString` derives `Content-Length` from the body.
struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_status, m_headers, m_body);
  }
};

/// A message parsed from the start of a byte stream.
template <typename Message>
struct ParsedHttpMessage {
  Message m_message;
  /// Length of the message in the stream.
  std::size_t m_consumed_bytes = 0;
  /// False if the sender closes the connection after the message.
  bool m_keep_alive = true;
};

/// Parses a request from the start of the bytes. The value is empty while the message is incomplete; `missing_bytes`,
/// if given, is then set to the least number of bytes that are missing, so that a caller need not parse before. Errors:
/// `kRequestMalformed`, `kRequestTooLarge` if the message exceeds `limit_bytes` or its head exceeds 64 KiB.
[[nodiscard]] Result<std::optional<ParsedHttpMessage<HttpRequest>>> ParseHttpRequest(
    std::span<const std::byte> bytes, std::size_t limit_bytes, std::size_t* missing_bytes = nullptr);

/// Parses a response from the start of the bytes. The value is empty while the message is incomplete. Errors: those of
/// `ParseHttpRequest`.
[[nodiscard]] Result<std::optional<ParsedHttpMessage<HttpResponse>>> ParseHttpResponse(std::span<const std::byte> bytes,
                                                                                       std::size_t limit_bytes);

/// The wire form, with `Content-Length` and, for a request without one, a `Host` field.
[[nodiscard]] std::string ToString(const HttpRequest& request);
/// \copydoc ToString(const HttpRequest&)
[[nodiscard]] std::string ToString(const HttpResponse& response);

}  // namespace fighatch

#endif  // FIGHATCH_HTTP_MESSAGE_H_
