#include <cstdint>
#include <cstdlib>
#include <span>

#include "fighatch/request_message.h"

// No input may crash a decoder of messages between balancers, and a decoded handover must survive encoding and
// decoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {  // NOLINT: name fixed by libFuzzer.
  const std::span<const std::byte> bytes(reinterpret_cast<const std::byte*>(data), size);
  (void)fighatch::DecodeForwardedRequest(bytes);
  (void)fighatch::DecodeForwardedAnswer(bytes);
  const auto part = fighatch::DecodeHandover(bytes);
  if (!fighatch::IsOk(part)) return 0;
  const auto again = fighatch::DecodeHandover(EncodeRequestMessage(fighatch::ValueOf(part)));
  if (!fighatch::IsOk(again) || fighatch::ValueOf(again) != fighatch::ValueOf(part)) std::abort();
  return 0;
}
