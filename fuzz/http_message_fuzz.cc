#include <cstdint>
#include <cstdlib>
#include <span>

#include "fighatch/http_message.h"
#include "fighatch/request_event.h"

// A request that parses must parse again from its text form, with the same body; a valid datagram must parse as a
// request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {  // NOLINT: name fixed by libFuzzer.
  constexpr std::size_t kLimitBytes = 16UL * 1024;
  const std::span<const std::byte> bytes(reinterpret_cast<const std::byte*>(data), size);
  (void)fighatch::ParseHttpResponse(bytes, kLimitBytes);
  const auto parsed = fighatch::ParseHttpRequest(bytes, kLimitBytes);
  if (fighatch::IsOk(fighatch::ParseRequestDatagram(bytes)) && !fighatch::IsOk(parsed)) std::abort();
  if (!fighatch::IsOk(parsed) || !fighatch::ValueOf(parsed)) return 0;
  const fighatch::HttpRequest& message = fighatch::ValueOf(parsed)->m_message;
  const std::string text = ToString(message);
  const auto again = fighatch::ParseHttpRequest(std::as_bytes(std::span(text)), kLimitBytes * 2);
  if (!fighatch::IsOk(again) || !fighatch::ValueOf(again)) std::abort();
  if (fighatch::ValueOf(again)->m_message.m_body != message.m_body) std::abort();
  return 0;
}
